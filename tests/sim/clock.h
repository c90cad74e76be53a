// The event queue, the time and the randomness. All times are in seconds of simulated time.
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
  // From 0 to n - 1.
  int draw_below(int bound) { return static_cast<int>(draw() % static_cast<std::uint64_t>(bound)); }
  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(draw() % 100000) / 100000;
  }
  bool chance(double probability) { return uniform(0, 1) < probability; }
  // Whether a rare fault of a single message occurs. Never if the schedule is without noise.
  bool random_fault(double probability) { return noise_ && chance(probability); }

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
  // Runs the next event.
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

// The service's own interface to the clocks.
class ServiceClock : public Clock {
 public:
  explicit ServiceClock(const EventQueue& queue) : queue_(queue) {}
  Instant now() const override { return queue_.instant(); }
  WallMs wall() const override { return queue_.wall(); }

 private:
  const EventQueue& queue_;
};

// Until a time, a share of the messages of some kind is subject to a fault.
struct Window {
  double until = 0;
  double share = 0;
  bool hits(EventQueue& queue) const { return queue.now() < until && queue.chance(share); }
};

}  // namespace beaconsill::sim
