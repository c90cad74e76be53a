// A token bucket that limits this controller to its share of a rate limit. The limit applies to the service
// as a whole and is divided among the controllers.
#pragma once

#include <algorithm>

#include "base/types.h"

namespace beaconsill::state_store {

// Not thread-safe. The caller passes in the current time.
class RateLimiter {
 public:
  // `rate`: tokens per second; `burst_s`: the capacity of the bucket in seconds of `rate`. The bucket starts
  // full.
  RateLimiter(double rate, double burst_s, Instant now)
      : rate_(rate), burst_s_(burst_s), level_(rate * burst_s), updated_(now) {}

  void set_rate(double rate, Instant now);
  // Tokens per second.
  double rate() const { return rate_; }
  // Takes `tokens` and returns true, or takes none and returns false. An urgent caller may overdraw the
  // bucket by its capacity.
  bool take(double tokens, bool urgent, Instant now);
  // The earliest time at which `tokens` can be taken.
  Instant ready_at(double tokens, bool urgent, Instant now);
  // The tokens in the bucket; negative while it is overdrawn.
  double level(Instant now) const {
    return std::min(rate_ * burst_s_, level_ + rate_ * std::max(0.0, to_seconds(now - updated_)));
  }
  // Removes all tokens. To be called after a response with status 429 (too many requests).
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
