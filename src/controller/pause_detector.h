// Notices that the process has stood still while its clocks ran on: frozen, or starved of processor time.
#pragma once

#include "base/types.h"

namespace beaconsill::controller {

// The duty that wakes up most often calls `observe`, and so does whoever is to act on a right. What a
// controller knew before it stood still gives it no right afterwards: another may have taken its roles
// meanwhile. And that it heard nobody says nothing of others.
class PauseDetector {
 public:
  void observe(Instant now) {
    if (observed_ != Instant{} && now - observed_ > kMaxObservationGap) over_ = now;
    observed_ = now;
  }
  // When it stood still last, or the epoch. A right holds only by what was read later than that.
  Instant over() const { return over_; }

 private:
  static constexpr Duration kMaxObservationGap = std::chrono::seconds(1);
  Instant observed_{}, over_{};
};

}  // namespace beaconsill::controller
