// Counts from quotients of floating-point amounts.
#pragma once

#include <cmath>
#include <cstdint>

namespace beaconsill::scheduler {

// Amounts are sums of floating-point numbers: a quotient this little above an integer counts as that integer.
constexpr double kRoundingSlack = 1e-6;

// The least count that is not below `quotient`; 0 for negative ones.
inline std::uint32_t ceil_count(double quotient) {
  return quotient <= 0 ? 0 : static_cast<std::uint32_t>(std::ceil(quotient - kRoundingSlack));
}

}  // namespace beaconsill::scheduler
