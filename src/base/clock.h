// Times, durations and the clocks that tell them.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/strong.h"

namespace beaconsill {

// Of this process's monotonic clock: means nothing to any other process.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
// Wall time in milliseconds since 1970.
using WallMs = Strong<struct WallTag, std::int64_t>;

constexpr Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
constexpr double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The two clocks, behind an interface so that tests can move time by hand.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual WallMs wall() const = 0;
};

// The clocks of the operating system.
class SystemClock : public Clock {
 public:
  Instant now() const override { return std::chrono::steady_clock::now(); }
  WallMs wall() const override {
    auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return WallMs(std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count());
  }
};

}  // namespace beaconsill
