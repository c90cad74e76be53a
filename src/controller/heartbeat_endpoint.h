// Handles heartbeats of workers that arrive directly or are relayed by another controller.
#pragma once

#include <functional>

#include "controller/cancellation_visibility.h"
#include "controller/controller_context.h"
#include "controller/heartbeat_relay.h"
#include "controller/led_shards.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "net/http_server.h"
#include "protocol/worker.h"

namespace beaconsill::controller {

// Part of the ShardService. Answers the heartbeats of machines in the led shards and relays the others to the
// leaders of their shards. Malformed heartbeats are logged and rejected with status 400. Methods don't throw.
// Single-threaded.
class HeartbeatEndpoint {
 public:
  // `on_heartbeat` is called after a shard manager has processed a heartbeat.
  HeartbeatEndpoint(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers,
                    const CancellationVisibility& cancellations, LedShards& shards,
                    std::function<void()> on_heartbeat);

  // Handles a heartbeat that a worker sent to this controller. Calls `reply` exactly once, either within this
  // call or within one second.
  void on_request(const net::Request& request, const net::HttpServer::Reply& reply);
  // Handles a heartbeat that a worker sent to the controller `from` and sends the reply to `from`.
  void on_relayed_heartbeat(const ControllerName& from, const protocol::RelayedHeartbeat& relayed);
  // Handles a shard leader's reply to a heartbeat that this controller relayed.
  void on_relayed_reply(const protocol::RelayedReply& relayed) { relay_.on_relayed_reply(relayed); }
  // Redirects the workers whose relayed heartbeats got no reply in time.
  void redirect_expired() { relay_.redirect_expired(); }

 private:
  // Returns the shard if this controller leads it and has seen no higher term for it; otherwise nullptr.
  LedShard* find_unsuperseded(ShardId id);
  net::Response make_response(LedShard& shard, ShardId id, const protocol::WorkerHeartbeat& heartbeat);
  protocol::RelayedReply make_relayed_reply(const protocol::RelayedHeartbeat& relayed);

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const CancellationVisibility& cancellations_;
  LedShards& shards_;
  std::function<void()> on_heartbeat_;
  HeartbeatRelay relay_;
};

}  // namespace beaconsill::controller
