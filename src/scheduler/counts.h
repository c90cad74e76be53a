// Conversion of floating-point amounts to integer counts.
#pragma once

#include <cmath>
#include <cstdint>

namespace beaconsill::scheduler {

// Amounts are sums of floating-point numbers, so that a quotient may differ from an integer by a rounding
// error. A quotient that differs from an integer by at most this much counts as that integer.
constexpr double kRoundingSlack = 1e-6;

// Returns `quotient` rounded up to an integer, after kRoundingSlack has been subtracted; 0 if `quotient` is
// negative.
inline std::uint32_t ceil_count(double quotient) {
  return quotient <= 0 ? 0 : static_cast<std::uint32_t>(std::ceil(quotient - kRoundingSlack));
}

}  // namespace beaconsill::scheduler
