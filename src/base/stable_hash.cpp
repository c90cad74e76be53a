#include "base/stable_hash.h"

namespace beaconsill {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ull;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;
// Constants of one step of MurmurHash3's finalizer.
constexpr unsigned kMixShift = 33;
constexpr std::uint64_t kMixMultiplier = 0xff51afd7ed558ccdull;

}  // namespace

std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (unsigned char byte : text) {
    hash ^= byte;
    hash *= kFnvPrime;
  }
  // FNV-1a alone distributes names that differ only in their last digit poorly in its low bits.
  hash ^= hash >> kMixShift;
  hash *= kMixMultiplier;
  hash ^= hash >> kMixShift;
  return hash;
}

}  // namespace beaconsill
