// A hash that all controllers agree on.
#pragma once

#include <cstdint>
#include <string_view>

namespace beaconsill {

// A 64-bit hash (FNV-1a, with its bits mixed once more): the same at every controller and in every build,
// unlike std::hash.
std::uint64_t stable_hash(std::string_view text);

}  // namespace beaconsill
