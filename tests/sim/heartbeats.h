// What a controller knows of the others by their heartbeats, as `controller::PeerHeartbeats` keeps it.
#pragma once

#include <map>
#include <optional>

#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"
#include "sim/topology.h"

namespace beaconsill::sim {

class Heartbeats {
 public:
  using Known = shard::CancellationBarrier::LocalView;
  Heartbeats(int controller, WallMs began, Instant now);

  // The next heartbeat for that controller. The sender adds the shards that it leads.
  protocol::Heartbeat next(int to, const Known& known, Instant now);
  // Whether one should go back at once.
  bool on_heartbeat(int from, const protocol::Heartbeat& heartbeat, const Known& known, Instant now);
  const shard::CancellationBarrier& cancellation_sync() const { return cancellation_barrier_; }
  bool reachable(int controller, Instant now) const;
  struct ShardLeader {
    int controller = 0;
    Term term;
  };
  // The one with the highest term that any controller has announced.
  std::optional<ShardLeader> shard_leader(ShardId shard) const;

 private:
  int controller_;
  std::uint64_t sequence_;
  shard::CancellationBarrier cancellation_barrier_;
  std::map<ShardId, ShardLeader> shard_leaders_;
};

}  // namespace beaconsill::sim
