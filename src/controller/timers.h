// The two kinds of timer of this package, and how work on the event loop ends in an orderly way.
//
// Everything in this package runs on the one thread of the io_context. A component holds its timers as
// members and passes them a lambda that captures `this`:
//
//   class Component {
//     explicit Component(asio::io_context& io) : timer_(io, [this] { run(); }) {}
//     void start() { timer_.start(kPeriod); }
//     void stop() { timer_.stop(); }
//     PeriodicTimer timer_;
//   };
//
// Cancelling an asio timer doesn't take a handler out of the queue that has been queued already: it would run
// after its component was destroyed. (Found when a controller was ended just as one of its timers had come
// due.) So the state that a handler needs is shared between timer and handler, and says whether the timer was
// stopped: after stop() or the destructor the work never runs again.
//
// Callbacks of requests (state store, cloud, workers) aren't timers: their clients call them at the latest
// when they are stopped, which the Controller does before it destroys its components.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>
#include <utility>

#include "base/types.h"

namespace beaconsill::controller {

// Runs its work once for each time that is set. Throws nothing; the work must not either.
class OneShotTimer {
 public:
  OneShotTimer(asio::io_context& io_context, std::function<void()> work)
      : state_(std::make_shared<State>(asio::steady_timer(io_context), std::move(work))) {}
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;
  ~OneShotTimer() { stop(); }

  // Runs the work after `delay`. A time set earlier no longer counts. Does nothing once stopped.
  void set(Duration delay) {
    if (state_->stopped) return;
    state_->pending = true;
    state_->timer.expires_after(delay);
    state_->timer.async_wait([state = state_, set_number = ++state_->times_set](std::error_code error) {
      if (error || state->stopped || set_number != state->times_set) return;
      state->pending = false;
      state->work();
    });
  }
  // A time is set and the work hasn't begun.
  bool pending() const { return state_->pending; }
  // The work doesn't run any more; there is no way back.
  void stop() {
    state_->stopped = true;
    try {
      state_->timer.cancel();
    } catch (const std::system_error&) {
      return;  // the handler still runs when the time is up, and finds the timer stopped
    }
  }

 private:
  struct State {
    State(asio::steady_timer asio_timer, std::function<void()> work_to_run)
        : timer(std::move(asio_timer)), work(std::move(work_to_run)) {}
    asio::steady_timer timer;
    std::function<void()> work;
    std::uint64_t times_set = 0;
    bool pending = false;
    bool stopped = false;
  };
  std::shared_ptr<State> state_;
};

// Runs its work again and again until it is stopped. The period counts from the end of the work.
class PeriodicTimer {
 public:
  PeriodicTimer(asio::io_context& io_context, std::function<void()> work)
      : work_(std::move(work)), timer_(io_context, [this] { run(); }) {}
  // Runs the work within this call and then every `period`.
  void start(Duration period) {
    period_ = period;
    run();
  }
  void stop() { timer_.stop(); }

 private:
  void run() {
    work_();
    timer_.set(period_);
  }
  std::function<void()> work_;
  Duration period_{};
  OneShotTimer timer_;
};

}  // namespace beaconsill::controller
