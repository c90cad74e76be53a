#include "controller/heartbeat_relay.h"

#include <utility>

#include "controller/socket_limits.h"
#include "net/http_status.h"
#include "protocol/worker.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kRelayTimeout = std::chrono::milliseconds(800);
}  // namespace

HeartbeatRelay::HeartbeatRelay(ControllerContext& ctx, PeerMessenger& messenger, const PeerStatus& peers)
    : ctx_(ctx),
      messenger_(messenger),
      peers_(peers),
      max_pending_(plan_socket_limits(ctx.settings).accepted) {}

std::optional<ControllerName> HeartbeatRelay::shard_leader(ShardId shard) const {
  const auto& role = ctx_.view().shard_role(shard);
  std::optional<ControllerName> leader;
  if (role.exists() && ctx_.view().alive(role.value.controller)) leader = role.value.controller;
  auto advertised = peers_.shard_leader(shard);
  if (advertised && advertised->term > role.value.term && peers_.reachable(advertised->controller))
    leader = advertised->controller;
  if (leader == ctx_.settings.controller) leader.reset();
  return leader;
}

void HeartbeatRelay::redirect(ShardId shard, const net::HttpServer::Reply& reply) const {
  reply({net::status::kMisdirectedRequest, protocol::render_redirect(shard_leader(shard))});
}

void HeartbeatRelay::relay(ShardId shard, const std::string& heartbeat, const net::HttpServer::Reply& reply) {
  auto leader = shard_leader(shard);
  if (!leader || !peers_.reachable(*leader) || pending_.size() >= max_pending_) {
    redirect(shard, reply);
    return;
  }
  auto id = next_id_++;
  pending_[id] = {reply, shard, ctx_.now() + kRelayTimeout};
  messenger_.send(*leader, protocol::RelayedHeartbeat{id, heartbeat});
}

void HeartbeatRelay::on_relayed_reply(const protocol::RelayedReply& relayed) {
  auto it = pending_.find(relayed.id);
  if (it == pending_.end()) return;
  auto reply = std::move(it->second.reply);
  pending_.erase(it);
  reply({relayed.status, relayed.body});
}

void HeartbeatRelay::redirect_expired() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (ctx_.now() < it->second.deadline) {
      ++it;
      continue;
    }
    redirect(it->second.shard, it->second.reply);
    it = pending_.erase(it);
  }
}

}  // namespace beaconsill::controller
