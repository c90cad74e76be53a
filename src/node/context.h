// What the duties of a node share.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "cloud/client.h"
#include "config/policy.h"
#include "config/settings.h"
#include "part/parting.h"
#include "store/mirror.h"

namespace beaconsill::node {

struct Context {
  Context(asio::io_context& io_, const Clock& clock_, config::Settings settings_, config::Policy policy_)
      : io(io_), clock(clock_), settings(std::move(settings_)), policy(policy_), parting(settings) {}

  asio::io_context& io;
  const Clock& clock;
  config::Settings settings;
  config::Policy policy;
  part::Parting parting;
  std::shared_ptr<store::StoreClient> store;
  std::shared_ptr<store::Mirror> mirror;
  std::shared_ptr<cloud::CloudClient> cloud;
  std::shared_ptr<const wire::Catalogue> catalogue;

  const store::View& view() const { return mirror->view(); }
  Instant now() const { return clock.now(); }
};

// A long-lived duty that wakes up again and again until it is stopped.
class Repeater {
 public:
  Repeater(asio::io_context& io, std::function<void()> work) : timer_(io), work_(std::move(work)) {}
  // Runs the work now and then every `period`.
  void start(Duration period) {
    period_ = period;
    run();
  }
  void stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void run() {
    if (stopped_) return;
    work_();
    if (stopped_) return;
    timer_.expires_after(period_);
    timer_.async_wait([this](std::error_code ec) {
      if (!ec) run();
    });
  }
  asio::steady_timer timer_;
  std::function<void()> work_;
  Duration period_{};
  bool stopped_ = false;
};

}  // namespace beaconsill::node
