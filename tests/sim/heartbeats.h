// Tracks what one controller learns from the heartbeats of the other controllers: their reachability, the
// shards that they lead, and the cancellations that they have seen. Simulation counterpart of
// `controller::PeerHeartbeats`.
#pragma once

#include <map>
#include <optional>

#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"
#include "sim/topology.h"

namespace beaconsill::sim {

class Heartbeats {
 public:
  using LocalView = shard::CancellationBarrier::LocalView;
  Heartbeats(int controller, WallMs process_started, Instant now);

  // Creates the next heartbeat to controller `to`. The caller adds the shards that it leads.
  protocol::Heartbeat compose(int to, const LocalView& local_view, Instant now);
  // Processes a heartbeat from another controller. Returns whether a heartbeat should be sent back
  // immediately.
  bool on_heartbeat(int from, const protocol::Heartbeat& heartbeat, const LocalView& local_view, Instant now);
  const shard::CancellationBarrier& cancellation_sync() const { return cancellation_barrier_; }
  bool reachable(int controller, Instant now) const;
  struct ShardLeader {
    int controller = 0;
    Term term;
  };
  // Returns the leader with the highest term that any controller has announced for the shard, if there is
  // one.
  std::optional<ShardLeader> shard_leader(ShardId shard) const;

 private:
  int controller_;
  std::uint64_t sequence_;
  shard::CancellationBarrier cancellation_barrier_;
  std::map<ShardId, ShardLeader> shard_leaders_;
};

}  // namespace beaconsill::sim
