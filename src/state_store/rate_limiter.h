// A token bucket for a limit that the whole service shares: each controller keeps to its part of it.
#pragma once

#include <algorithm>

#include "base/types.h"

namespace beaconsill::state_store {

class RateLimiter {
 public:
  // `rate` a second, with bursts of `burst_s` seconds' worth.
  RateLimiter(double rate, double burst_s, Instant now)
      : rate_(rate), burst_s_(burst_s), level_(rate * burst_s), at_(now) {}

  void set_rate(double rate, Instant now);
  // Takes `n`, or nothing. An urgent caller may overdraw by one more burst.
  bool take(double n, bool urgent, Instant now);
  // When `n` could be taken, at the earliest.
  Instant ready_at(double n, bool urgent, Instant now);
  double level(Instant now) const {
    return std::min(rate_ * burst_s_, level_ + rate_ * std::max(0.0, to_seconds(now - at_)));
  }
  // After a refusal for too many requests: starts again from nothing.
  void drain(Instant now);

 private:
  void refill(Instant now);
  double need(double n, bool urgent) const;

  double rate_, burst_s_, level_;
  Instant at_;
};

}  // namespace beaconsill::state_store
