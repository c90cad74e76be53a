// The event loop, settings and clients that all components of a controller share.
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

// Owned by the Controller, which sets the clients before it creates the components. The event loop and the
// clock must outlive it. Used on the event loop's single thread.
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
  std::shared_ptr<const protocol::Catalogue> catalogue;  // null until the first fetch has succeeded

  PauseDetector pause_detector;

  // Whether the view's roles were read after the last pause of this process. Transactions don't need this,
  // since they are conditional on the revision of a role. Renting and deleting machines are not conditional,
  // and may be done only if this is true.
  bool roles_read_since_pause() {
    pause_detector.observe(now());
    auto read_at = watch_cache->up_to_date_at();
    auto pause_end = pause_detector.last_pause_end();
    return read_at && (!pause_end || *read_at > *pause_end);
  }
  // Whether the view includes all changes that were made more than `age` ago.
  bool view_is_newer_than(Duration age) const {
    auto read_at = watch_cache->up_to_date_at();
    return read_at && now() - *read_at < age;
  }
  const state_store::StateView& view() const { return watch_cache->view(); }
  Instant now() const { return clock.now(); }
};

}  // namespace beaconsill::controller
