// Test fixture for a single component of a controller. Other components are fakes, no sockets are used, and
// the test controls the clock.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "base/log.h"
#include "controller/controller_context.h"
#include "fakes/peers.h"
#include "fakes/watch_cache.h"

namespace beaconsill::controller {

inline const ControllerName kSelf("n1");
inline const ControllerName kPeer("n2");
inline const ControllerName kOtherPeer("n3");
inline const ShardId kShard(0);

class FakeClock : public Clock {
 public:
  Instant now() const override { return now_; }
  WallMs wall() const override { return WallMs(1'000'000); }
  void advance(Duration duration) { now_ += duration; }

 private:
  Instant now_ = Instant{} + std::chrono::hours(1);
};

inline config::Settings component_settings() {
  config::Settings settings;
  settings.controller = kSelf;
  settings.zone = Zone("a");
  settings.zones = {Zone("a"), Zone("b"), Zone("c")};
  settings.peers = {{kPeer, Zone("b"), "127.0.0.1:1"}, {kOtherPeer, Zone("c"), "127.0.0.1:1"}};
  settings.teams = {{Team("blue"), 0, 0, 0, 0}};
  settings.worker_heartbeat_period_s = 1;
  settings.lease_s = 10;
  settings.cancel_s = 40;
  settings.txn_ops = 16;
  settings.value_kb = 8;
  settings.state_rps = settings.next_state_rps = 100;
  settings.state_write_rps = settings.next_state_write_rps = 100;
  settings.max_connections = 100;
  return settings;
}

// The context of a component, with fakes of the other components. The state store client sends no requests:
// components only read its size and rate limits.
struct ComponentFixture : testing::Test {
  explicit ComponentFixture(config::Settings settings = component_settings())
      : context(io, clock, settings, config::load_policy("", settings)) {
    spdlog::set_level(spdlog::level::err);
    context.store = std::make_shared<state_store::StoreClient>(
        io, clock, *net::parse_endpoint("127.0.0.1:1"),
        state_store::StoreLimits{settings.state_rps, settings.state_write_rps, settings.txn_ops,
                                 settings.value_bytes()},
        state_store::StoreLimits{settings.next_state_rps, settings.next_state_write_rps, {}, {}}, 1.0);
    cache = std::make_shared<fakes::WatchCache>(io, clock, context.store);
    context.watch_cache = cache;
  }

  // Gives the controller the role of shard leader under this term and returns the revision of the write.
  Revision set_shard_role(const ControllerName& controller, Term term) {
    return cache->put(state_store::shard_role_key(kShard), to_json(state_store::Role{controller, term}));
  }
  // Gives the controller the role of leader under this term and returns the revision of the write.
  Revision set_leader(const ControllerName& controller, Term term) {
    return cache->put(state_store::leader_role_key(), to_json(state_store::Role{controller, term}));
  }
  void set_alive(const ControllerName& controller) {
    cache->put(state_store::alive_key(controller), state_store::alive_value());
  }

  asio::io_context io;
  FakeClock clock;
  ControllerContext context;
  std::shared_ptr<fakes::WatchCache> cache;
  fakes::PeerMessenger messenger;
  fakes::PeerStatus peers;
};

// Returns the record of a job with this number of tasks, each of which requests one CPU.
inline protocol::Json job_record_json(const JobId& id, std::uint32_t tasks) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.job_class = "train";
  spec.team = Team("blue");
  spec.tasks = tasks;
  spec.each = {1, 0, 1};
  spec.image = ImageName("img");
  return to_json(state_store::JobRecord{std::make_shared<const protocol::JobSpec>(spec), WallMs(1)});
}

}  // namespace beaconsill::controller
