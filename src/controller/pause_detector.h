// Detects that the process was paused while its clocks ran on: frozen, or starved of processor time.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::controller {

// A pause is a gap of more than a second between two observations. The component with the shortest timer
// calls observe(), and so does whoever is about to act on a role: what a controller knew before a pause gives
// it no right to act afterwards, since another controller may have taken its roles meanwhile. Nor does the
// silence of others during a pause say anything about them.
class PauseDetector {
 public:
  void observe(Instant now) {
    if (last_observed_ && now - *last_observed_ > kMaxObservationGap) last_pause_end_ = now;
    last_observed_ = now;
  }
  // When the last pause was noticed; none if there was none. Only what was read later than that counts.
  std::optional<Instant> last_pause_end() const { return last_pause_end_; }

 private:
  static constexpr Duration kMaxObservationGap = std::chrono::seconds(1);
  std::optional<Instant> last_observed_;
  std::optional<Instant> last_pause_end_;
};

}  // namespace beaconsill::controller
