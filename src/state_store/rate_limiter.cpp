#include "state_store/rate_limiter.h"

namespace beaconsill::state_store {
namespace {

// Compensates for rounding errors of the token level.
constexpr double kLevelTolerance = 1e-9;
// Added to each computed wait, so that the next attempt does not fail because of rounding.
constexpr double kWaitMarginSeconds = 0.001;

}  // namespace

void RateLimiter::refill(Instant now) {
  if (now <= updated_) return;
  level_ = std::min(rate_ * burst_s_, level_ + rate_ * to_seconds(now - updated_));
  updated_ = now;
}

void RateLimiter::set_rate(double rate, Instant now) {
  refill(now);
  rate_ = rate;
  level_ = std::min(level_, rate_ * burst_s_);
}

// A request for more tokens than the capacity waits for a full bucket; otherwise it would never succeed.
double RateLimiter::required_level(double tokens, bool urgent) const {
  const double capacity = rate_ * burst_s_;
  const double required = std::min(tokens, capacity);
  return urgent ? required - capacity : required;
}

bool RateLimiter::take(double tokens, bool urgent, Instant now) {
  refill(now);
  if (level_ + kLevelTolerance < required_level(tokens, urgent)) return false;
  level_ -= tokens;
  return true;
}

Instant RateLimiter::ready_at(double tokens, bool urgent, Instant now) {
  refill(now);
  const double missing = required_level(tokens, urgent) - level_;
  return missing <= 0 ? now : now + from_seconds(missing / rate_ + kWaitMarginSeconds);
}

void RateLimiter::drain(Instant now) {
  refill(now);
  level_ = std::min(level_, 0.0);
}

}  // namespace beaconsill::state_store
