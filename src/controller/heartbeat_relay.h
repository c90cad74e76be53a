// Passes on heartbeats of workers whose shard another controller leads.
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

// Part of the HeartbeatEndpoint. A worker that comes here may be cut off from its shard leader: whether it is
// redirected there, or answered through this controller, is for the shard leader to say. Without an answer in
// time the worker is redirected. Throws nothing; one thread.
class HeartbeatRelay {
 public:
  HeartbeatRelay(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers);

  // Passes the heartbeat (as it came) on to the shard's leader, or redirects the worker. `reply` is called
  // once.
  void relay(ShardId shard, const std::string& heartbeat, const net::HttpServer::Reply& reply);
  // The shard leader's answer; ignored if the worker was redirected meanwhile.
  void on_relayed_reply(const protocol::RelayedReply& relayed);
  // Redirects the workers whose heartbeats got no answer in time.
  void redirect_expired();
  // The leader of the shard under the highest term that the state store or a peer has shown, if it is alive
  // or reachable and not this controller.
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
  std::size_t max_pending_;  // each occupies the connection that it came by
  std::map<std::uint64_t, PendingReply> pending_;
  std::uint64_t next_id_ = 1;
};

}  // namespace beaconsill::controller
