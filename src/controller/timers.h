// Provides one-shot and periodic timers whose callbacks never run after the timer was stopped or destroyed.
//
// All components of the controller run on the single thread of the io_context. A component has its timers as
// members and passes them a lambda that captures `this`:
//
//   class Component {
//     explicit Component(asio::io_context& io) : timer_(io, [this] { run(); }) {}
//     void start() { timer_.start(kPeriod); }
//     void stop() { timer_.stop(); }
//     PeriodicTimer timer_;
//   };
//
// Cancelling an asio timer doesn't remove a handler that is already queued. Such a handler would run after
// its component was destroyed, which happened when a controller was stopped just as one of its timers
// expired. The state that a handler needs is therefore shared between the timer and the handler, and says
// whether the timer was stopped: after stop() or the destructor, the callback never runs again.
//
// Callbacks of requests to the state store, the cloud and workers need no such protection: a client calls all
// its outstanding callbacks when it is stopped, and the Controller stops all clients before it destroys its
// components.
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

// Runs a callback once after a delay, and can be set again. Methods don't throw, and the callback must not
// throw either.
class OneShotTimer {
 public:
  OneShotTimer(asio::io_context& io_context, std::function<void()> callback)
      : state_(std::make_shared<State>(asio::steady_timer(io_context), std::move(callback))) {}
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;
  ~OneShotTimer() { stop(); }

  // Runs the callback after `delay`. Replaces a delay that was set earlier. Does nothing after stop().
  void set(Duration delay) {
    if (state_->stopped) return;
    state_->pending = true;
    state_->timer.expires_after(delay);
    state_->timer.async_wait(
        [state = state_, generation = ++state_->current_generation](std::error_code error) {
          if (error || state->stopped || generation != state->current_generation) return;
          state->pending = false;
          state->callback();
        });
  }
  // Returns whether a delay is set and the callback hasn't started yet.
  bool pending() const { return state_->pending; }
  // Stops the timer permanently: the callback never runs again, and set() has no effect.
  void stop() {
    state_->stopped = true;
    try {
      state_->timer.cancel();
    } catch (const std::system_error&) {
      return;  // the handler still runs when the timer expires, but does nothing because `stopped` is set
    }
  }

 private:
  struct State {
    State(asio::steady_timer asio_timer, std::function<void()> callback_to_run)
        : timer(std::move(asio_timer)), callback(std::move(callback_to_run)) {}
    asio::steady_timer timer;
    std::function<void()> callback;
    // Incremented by each set(), so that the handlers of earlier calls do nothing.
    std::uint64_t current_generation = 0;
    bool pending = false;
    bool stopped = false;
  };
  std::shared_ptr<State> state_;
};

// Runs a callback periodically until it is stopped. The period counts from the end of the callback.
class PeriodicTimer {
 public:
  PeriodicTimer(asio::io_context& io_context, std::function<void()> callback)
      : callback_(std::move(callback)), timer_(io_context, [this] { run(); }) {}
  // Runs the callback within this call and then every `period`.
  void start(Duration period) {
    period_ = period;
    run();
  }
  void stop() { timer_.stop(); }

 private:
  void run() {
    callback_();
    timer_.set(period_);
  }
  std::function<void()> callback_;
  Duration period_{};
  OneShotTimer timer_;
};

}  // namespace beaconsill::controller
