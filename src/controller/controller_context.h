// What the components of a controller share.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "cloud/client.h"
#include "config/policy.h"
#include "config/settings.h"
#include "controller/pause_detector.h"
#include "shard/partitioning.h"
#include "state_store/watch_cache.h"

namespace beaconsill::controller {

// Owned by the Controller, which fills in the clients before it makes the components. Event loop and clock
// have to outlive it. One thread.
struct ControllerContext {
  ControllerContext(asio::io_context& event_loop, const Clock& controller_clock,
                    config::Settings controller_settings, const config::Policy& controller_policy)
      : io_context(event_loop),
        clock(controller_clock),
        settings(std::move(controller_settings)),
        policy(controller_policy),
        partitioning(settings) {}

  asio::io_context& io_context;
  const Clock& clock;
  config::Settings settings;
  config::Policy policy;
  shard::Partitioning partitioning;
  std::shared_ptr<state_store::StoreClient> store;
  std::shared_ptr<state_store::WatchCache> watch_cache;
  std::shared_ptr<cloud::CloudClient> cloud;
  std::shared_ptr<const protocol::Catalogue> catalogue;  // none until the cloud has answered

  PauseDetector pause_detector;

  // Whether the view shows the roles as they were after the last pause of this process. Whatever isn't
  // conditional on a role's version, as transactions are, needs that: renting and deleting machines.
  bool roles_read_since_pause() {
    pause_detector.observe(now());
    auto read_at = watch_cache->up_to_date_at();
    auto pause_end = pause_detector.last_pause_end();
    return read_at && (!pause_end || *read_at > *pause_end);
  }
  // Whether the view holds all changes but those made within the last `age`.
  bool view_is_newer_than(Duration age) const {
    auto read_at = watch_cache->up_to_date_at();
    return read_at && now() - *read_at < age;
  }
  const state_store::StateView& view() const { return watch_cache->view(); }
  Instant now() const { return clock.now(); }
};

}  // namespace beaconsill::controller
