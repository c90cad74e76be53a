// Types for points in time and durations, and the interface to the clocks.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/strong.h"

namespace beaconsill {

// A point in time of this process's monotonic clock. It can't be compared with the clock of another process.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
// Wall-clock time in milliseconds since the Unix epoch (1970-01-01 UTC).
using WallMs = Strong<struct WallTag, std::int64_t>;

constexpr Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
constexpr double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Access to the monotonic clock and the wall clock. It is an interface so that tests can control the time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual WallMs wall() const = 0;
};

// Reads the clocks of the operating system.
class SystemClock : public Clock {
 public:
  Instant now() const override { return std::chrono::steady_clock::now(); }
  WallMs wall() const override {
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return WallMs(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
  }
};

}  // namespace beaconsill
