// A hash function whose values are the same on all controllers.
#pragma once

#include <cstdint>
#include <string_view>

namespace beaconsill {

// Returns a 64-bit hash: FNV-1a followed by one more mixing step. Unlike std::hash, the result is the same on
// every controller and in every build.
std::uint64_t stable_hash(std::string_view text);

}  // namespace beaconsill
