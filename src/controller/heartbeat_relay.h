// Relays a worker's heartbeat to the leader of the worker's shard if that is another controller.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "net/http_server.h"

namespace beaconsill::controller {

// Part of the HeartbeatEndpoint. A worker that sends its heartbeat to this controller may be unable to reach
// its shard leader. The shard leader decides whether the worker is redirected to it or answered through this
// controller. If the leader doesn't reply in time, the worker is redirected. Methods don't throw.
// Single-threaded.
class HeartbeatRelay {
 public:
  HeartbeatRelay(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers);

  // Relays the unchanged body of a heartbeat to the shard's leader. Redirects the worker instead if no leader
  // is reachable or too many heartbeats await a reply. Calls `reply` exactly once.
  void relay(ShardId shard, const std::string& heartbeat, const net::HttpServer::Reply& reply);
  // Answers the worker with the shard leader's reply. The reply is ignored if the worker was already
  // redirected.
  void on_relayed_reply(const protocol::RelayedReply& relayed);
  // Redirects the workers whose heartbeats got no reply in time.
  void redirect_expired();
  // Returns the shard's leader: a reachable peer that advertises a higher term than the role in the state
  // store has, or else the holder of that role if it is alive. Returns std::nullopt if there is no leader or
  // if it is this controller.
  std::optional<ControllerName> shard_leader(ShardId shard) const;

 private:
  struct PendingReply {
    net::HttpServer::Reply reply;
    ShardId shard;
    Instant deadline;
  };
  void redirect(ShardId shard, const net::HttpServer::Reply& reply) const;

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const PeerStatus& peers_;
  std::size_t max_pending_;  // each pending reply occupies a worker's connection
  std::map<std::uint64_t, PendingReply> pending_;
  std::uint64_t next_id_ = 1;
};

}  // namespace beaconsill::controller
