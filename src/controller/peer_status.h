// What the heartbeats of the other controllers show, as an interface: components run in tests without peers.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::controller {

// A peer is reachable for so long after it has answered a heartbeat.
constexpr Duration kReachableTimeout = std::chrono::milliseconds(1700);

// A controller that leads a shard, as it says in its heartbeats.
struct AdvertisedLeader {
  ControllerName controller;
  Term term;
};

// Throws nothing; one thread.
class PeerStatus {
 public:
  virtual ~PeerStatus() = default;
  // Whether the controller has answered a recent heartbeat; this controller itself always has.
  virtual bool reachable(const ControllerName& controller) const = 0;
  // Some reachable peer says that the state store answers it.
  virtual bool others_reach_state_store() const = 0;
  // The controller under the highest term that any peer has advertised for the shard.
  virtual std::optional<AdvertisedLeader> shard_leader(ShardId shard) const = 0;
};

}  // namespace beaconsill::controller
