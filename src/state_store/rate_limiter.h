// A token bucket for a rate limit that the whole service shares: each controller keeps to its share of it.
#pragma once

#include <algorithm>

#include "base/types.h"

namespace beaconsill::state_store {

// Not thread-safe; its owner passes the time in.
class RateLimiter {
 public:
  // `rate`: tokens a second, with bursts of `burst_s` seconds' worth. It starts full.
  RateLimiter(double rate, double burst_s, Instant now)
      : rate_(rate), burst_s_(burst_s), level_(rate * burst_s), updated_(now) {}

  void set_rate(double rate, Instant now);
  // Tokens a second.
  double rate() const { return rate_; }
  // Takes `tokens`, or none of them (false). An urgent caller may overdraw by one more burst.
  bool take(double tokens, bool urgent, Instant now);
  // The earliest time at which `tokens` can be taken.
  Instant ready_at(double tokens, bool urgent, Instant now);
  // The tokens that are there; negative while overdrawn.
  double level(Instant now) const {
    return std::min(rate_ * burst_s_, level_ + rate_ * std::max(0.0, to_seconds(now - updated_)));
  }
  // After a refusal for too many requests: starts again from no tokens.
  void drain(Instant now);

 private:
  void refill(Instant now);
  double required_level(double tokens, bool urgent) const;

  double rate_;
  double burst_s_;
  double level_;
  Instant updated_;
};

}  // namespace beaconsill::state_store
