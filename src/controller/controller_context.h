// What the duties of a controller share.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <system_error>

#include "cloud/client.h"
#include "config/policy.h"
#include "config/settings.h"
#include "controller/pause_detector.h"
#include "controller/rate_limit_share.h"
#include "shard/partitioning.h"
#include "state_store/watch_cache.h"

namespace beaconsill::controller {

struct ControllerContext {
  ControllerContext(asio::io_context& event_loop, const Clock& controller_clock,
                    config::Settings controller_settings, const config::Policy& controller_policy)
      : io(event_loop),
        clock(controller_clock),
        settings(std::move(controller_settings)),
        policy(controller_policy),
        partitioning(settings) {}

  asio::io_context& io;
  const Clock& clock;
  config::Settings settings;
  config::Policy policy;
  shard::Partitioning partitioning;
  std::shared_ptr<state_store::StoreClient> store;
  std::shared_ptr<state_store::WatchCache> watch_cache;
  std::shared_ptr<cloud::CloudClient> cloud;
  std::shared_ptr<const protocol::Catalogue> catalogue;

  PauseDetector pause_detector;

  // The view shows the roles as they were after this process last stood still. What isn't conditional on a
  // role's version, as transactions are, needs that: rentals, deletions.
  bool roles_read_since_pause() {
    pause_detector.observe(now());
    return watch_cache->as_of() > pause_detector.over();
  }
  const state_store::StateView& view() const { return watch_cache->view(); }
  Instant now() const { return clock.now(); }
};

// Runs its work once at a time set. Guards against a handler that Asio has queued already when its owner
// ends: cancelling the timer doesn't take it out of the queue, and it would run on what was freed.
class OneShotTimer {
 public:
  OneShotTimer(asio::io_context& io, std::function<void()> work)
      : state_(std::make_shared<State>(asio::steady_timer(io), std::move(work))) {}
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;
  ~OneShotTimer() { stop(); }
  // Sets it anew; an earlier time no longer counts.
  void set(Duration d) {
    if (state_->stopped) return;
    state_->pending = true;
    state_->timer.expires_after(d);
    state_->timer.async_wait([state = state_, n = ++state_->sets](std::error_code ec) {
      if (ec || state->stopped || n != state->sets) return;
      state->pending = false;
      state->work();
    });
  }
  bool pending() const { return state_->pending; }
  void stop() {
    state_->stopped = true;
    try {
      state_->timer.cancel();
    } catch (const std::system_error&) {
      return;  // the handler still runs when the time is up, and finds it stopped
    }
  }

 private:
  struct State {
    State(asio::steady_timer t, std::function<void()> w) : timer(std::move(t)), work(std::move(w)) {}
    asio::steady_timer timer;
    std::function<void()> work;
    std::uint64_t sets = 0;
    bool pending = false;
    bool stopped = false;
  };
  std::shared_ptr<State> state_;
};

// A long-lived duty that wakes up again and again until it is stopped.
class PeriodicTimer {
 public:
  PeriodicTimer(asio::io_context& io, std::function<void()> work)
      : work_(std::move(work)), timer_(io, [this] { run(); }) {}
  // Runs the work now and then every `period`.
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
