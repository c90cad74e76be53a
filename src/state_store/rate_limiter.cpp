#include "state_store/rate_limiter.h"

namespace beaconsill::state_store {

void RateLimiter::refill(Instant now) {
  if (now <= at_) return;
  level_ = std::min(rate_ * burst_s_, level_ + rate_ * to_seconds(now - at_));
  at_ = now;
}

void RateLimiter::set_rate(double rate, Instant now) {
  refill(now);
  rate_ = rate;
  level_ = std::min(level_, rate_ * burst_s_);
}

// What must be there before `n` may be taken. More than a whole burst waits for a full bucket, or it would
// never be served.
double RateLimiter::need(double n, bool urgent) const {
  double full = rate_ * burst_s_;
  double wanted = std::min(n, full);
  return urgent ? wanted - full : wanted;
}

bool RateLimiter::take(double n, bool urgent, Instant now) {
  refill(now);
  if (level_ + 1e-9 < need(n, urgent)) return false;
  level_ -= n;
  return true;
}

Instant RateLimiter::ready_at(double n, bool urgent, Instant now) {
  refill(now);
  double missing = need(n, urgent) - level_;
  return missing <= 0 ? now : now + from_seconds(missing / rate_ + 0.001);
}

void RateLimiter::drain(Instant now) {
  refill(now);
  level_ = std::min(level_, 0.0);
}

}  // namespace beaconsill::state_store
