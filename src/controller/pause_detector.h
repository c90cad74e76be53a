// Detects that the process was paused while its clocks continued, because it was frozen or got no CPU time.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::controller {

// A pause is a gap of more than one second between two observations. observe() is called by the component
// with the shortest timer, and by every component that is about to act on a role. Another controller may have
// acquired this controller's roles during a pause, so information from before the pause doesn't entitle it to
// act on them. A lack of messages from other processes during a pause doesn't mean that they failed.
class PauseDetector {
 public:
  void observe(Instant now) {
    if (last_observed_ && now - *last_observed_ > kMaxObservationGap) last_pause_end_ = now;
    last_observed_ = now;
  }
  // Returns when the end of the last pause was detected, or std::nullopt if there was none. Roles are valid
  // only if they were read from the state store after that time.
  std::optional<Instant> last_pause_end() const { return last_pause_end_; }

 private:
  static constexpr Duration kMaxObservationGap = std::chrono::seconds(1);
  std::optional<Instant> last_observed_;
  std::optional<Instant> last_pause_end_;
};

}  // namespace beaconsill::controller
