// The simulation's event queue, which also provides its clock and its random numbers. All times are in
// seconds of simulated time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "base/types.h"

namespace beaconsill::sim {

class EventQueue {
 public:
  EventQueue(std::uint64_t seed, bool noise) : rng_(seed), noise_(noise) {}

  double now() const { return now_; }
  Instant instant() const { return instant(now_); }
  static Instant instant(double time) { return Instant{} + from_seconds(1000 + time); }
  WallMs wall() const { return WallMs(static_cast<std::int64_t>(now_ * 1000)); }

  std::uint64_t draw() { return rng_(); }
  // Draws an integer from 0 to `bound` - 1.
  int draw_below(int bound) { return static_cast<int>(draw() % static_cast<std::uint64_t>(bound)); }
  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(draw() % 100000) / 100000;
  }
  bool draw_bool(double probability) { return uniform(0, 1) < probability; }
  // Draws whether a rare fault of a single message occurs. If noise is disabled, this returns false without
  // drawing a random number.
  bool random_fault(double probability) { return noise_ && draw_bool(probability); }

  void at(double time, std::function<void()> callback) {
    events_.emplace(std::max(time, now_), std::move(callback));
  }
  void after(double delay, std::function<void()> callback) { at(now_ + delay, std::move(callback)); }
  void every(double period, const std::function<void()>& callback) {
    after(period, [this, period, callback] {
      callback();
      every(period, callback);
    });
  }

  bool empty() const { return events_.empty(); }
  // Advances the clock to the next event and runs it.
  void step() {
    auto event = events_.begin();
    now_ = event->first;
    auto callback = std::move(event->second);
    events_.erase(event);
    callback();
  }

 private:
  std::mt19937_64 rng_;
  bool noise_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
};

// Implements the production code's clock interface with the simulated time.
class ServiceClock : public Clock {
 public:
  explicit ServiceClock(const EventQueue& queue) : queue_(queue) {}
  Instant now() const override { return queue_.instant(); }
  WallMs wall() const override { return queue_.wall(); }

 private:
  const EventQueue& queue_;
};

// A period, ending at `until` (s), during which each message of one kind is affected by a fault with
// probability `share`.
struct FaultWindow {
  double until = 0;
  double share = 0;
  // Draws whether the fault affects one message. Draws no random number after the period has ended.
  bool draw_fault(EventQueue& queue) const { return queue.now() < until && queue.draw_bool(share); }
};

}  // namespace beaconsill::sim
