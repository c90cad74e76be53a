// Answers heartbeats of workers, which come directly or are relayed by another controller.
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

// Part of the ShardService. Heartbeats of led shards are answered here, the others passed on to their
// leaders. Malformed ones are logged and refused (400); nothing is thrown. One thread.
class HeartbeatEndpoint {
 public:
  // `on_heartbeat` is called after a shard has taken in a heartbeat.
  HeartbeatEndpoint(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers,
                    const CancellationVisibility& cancellations, LedShards& shards,
                    std::function<void()> on_heartbeat);

  // `reply` is called once, now or within a second.
  void on_request(const net::Request& request, const net::HttpServer::Reply& reply);
  // A heartbeat that came to another controller, and the answer to one that came here.
  void on_relayed_heartbeat(const ControllerName& from, const protocol::RelayedHeartbeat& relayed);
  void on_relayed_reply(const protocol::RelayedReply& relayed) { relay_.on_relayed_reply(relayed); }
  void redirect_expired() { relay_.redirect_expired(); }

 private:
  // The shard if this controller leads it and knows of no higher term.
  LedShard* find_current(ShardId id);
  net::Response answer(LedShard& shard, ShardId id, const protocol::WorkerHeartbeat& heartbeat);
  protocol::RelayedReply answer_relayed(const protocol::RelayedHeartbeat& relayed);

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  const CancellationVisibility& cancellations_;
  LedShards& shards_;
  std::function<void()> on_heartbeat_;
  HeartbeatRelay relay_;
};

}  // namespace beaconsill::controller
