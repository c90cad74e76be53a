// Interface to the status that the heartbeats of the other controllers report. It lets tests run components
// without peers.
#pragma once

#include <optional>

#include "base/types.h"

namespace beaconsill::controller {

// A peer counts as reachable if it has echoed a heartbeat that was sent to it within this time.
constexpr Duration kReachableTimeout = std::chrono::milliseconds(1700);

// A controller that advertises in its heartbeats that it leads a shard, with the shard's term.
struct AdvertisedLeader {
  ControllerName controller;
  Term term;
};

// Methods don't throw. Single-threaded.
class PeerStatus {
 public:
  virtual ~PeerStatus() = default;
  // Returns whether the controller has echoed a recent heartbeat. Always true for this controller itself.
  virtual bool reachable(const ControllerName& controller) const = 0;
  // Returns whether any reachable peer reports that it reaches the state store.
  virtual bool any_peer_reaches_state_store() const = 0;
  // Returns the controller that advertised the highest term for the shard, or std::nullopt if no peer has
  // advertised the shard.
  virtual std::optional<AdvertisedLeader> shard_leader(ShardId shard) const = 0;
};

}  // namespace beaconsill::controller
