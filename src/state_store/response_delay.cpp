#include "state_store/response_delay.h"

#include <algorithm>
#include <cmath>

namespace beaconsill::state_store {
namespace {

constexpr Duration kMinTimeout = std::chrono::milliseconds(100);
constexpr Duration kMaxTimeout = std::chrono::milliseconds(400);

}  // namespace

void ResponseDelay::add_sample(Duration delay) {
  const double delay_s = to_seconds(delay);
  if (!mean_s_) {
    mean_s_ = delay_s;
    variation_s_ = delay_s / 2;
    return;
  }
  variation_s_ += (std::abs(delay_s - *mean_s_) - variation_s_) / 4;
  *mean_s_ += (delay_s - *mean_s_) / 8;
}

Duration ResponseDelay::timeout() const {
  return std::clamp(from_seconds(mean_s_.value_or(0) + 4 * variation_s_), kMinTimeout, kMaxTimeout);
}

}  // namespace beaconsill::state_store
