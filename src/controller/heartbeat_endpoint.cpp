#include "controller/heartbeat_endpoint.h"

#include <utility>

#include "base/log.h"
#include "net/http_status.h"

namespace beaconsill::controller {
namespace {
constexpr int kRetryAfterSeconds = 1;

// Left of the time limit for a cancelled task after the last lease granted before. It has to cover the
// clocks' drift and a worker's timer only: a lease counts from when the heartbeat was sent, however slow its
// answer is.
constexpr double kCancelMarginSeconds = 1;

net::Response unavailable(const char* reason) {
  return {net::status::kServiceUnavailable, protocol::render_error(reason), kRetryAfterSeconds};
}
}  // namespace

HeartbeatEndpoint::HeartbeatEndpoint(ControllerContext& ctx, PeerMessenger& messenger,
                                     const PeerStatus& peers, const CancellationVisibility& cancellations,
                                     LedShards& shards, std::function<void()> on_heartbeat)
    : ctx_(ctx),
      messenger_(messenger),
      cancellations_(cancellations),
      shards_(shards),
      on_heartbeat_(std::move(on_heartbeat)),
      relay_(ctx, messenger, peers) {}

LedShard* HeartbeatEndpoint::find_current(ShardId id) {
  auto* shard = shards_.find(id);
  return shard && !shard->manager->superseded() ? shard : nullptr;
}

void HeartbeatEndpoint::on_request(const net::Request& request, const net::HttpServer::Reply& reply) {
  if (request.method != "POST") {
    reply({net::status::kMethodNotAllowed, "{}"});
    return;
  }
  protocol::WorkerHeartbeat heartbeat;
  try {
    heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(request.body));
  } catch (const protocol::ProtocolError& error) {
    spdlog::info("heartbeat_malformed reason=\"{}\"", error.what());
    reply({net::status::kBadRequest, protocol::render_error(error.what())});
    return;
  }
  auto id = ctx_.partitioning.shard_of(heartbeat.zone, heartbeat.machine);
  auto* shard = find_current(id);
  if (!shard) {
    relay_.relay(id, request.body, reply);
    return;
  }
  auto response = answer(*shard, id, heartbeat);
  shard->manager->on_direct_contact(heartbeat.machine);
  reply(std::move(response));
  on_heartbeat_();
}

net::Response HeartbeatEndpoint::answer(LedShard& shard, ShardId id,
                                        const protocol::WorkerHeartbeat& heartbeat) {
  auto& manager = *shard.manager;
  // After this long without knowing all cancellations, the leases of tasks that may be cancelled have to run
  // out.
  auto max_age = from_seconds(ctx_.settings.cancel_s - ctx_.settings.lease_s - kCancelMarginSeconds);
  auto known_until = cancellations_.known_until();
  if (!known_until || ctx_.now() - *known_until > max_age) return unavailable("out of touch");
  manager.on_worker_heartbeat(heartbeat, ctx_.now());
  if (manager.superseded()) {
    ctx_.watch_cache->sync([](bool) {});
    return {net::status::kMisdirectedRequest, protocol::render_redirect(relay_.shard_leader(id))};
  }
  // A stale heartbeat is answered as well: its worker is there, and commands may have overtaken it.
  if (!manager.find_machine(heartbeat.machine)) return unavailable("machine is gone");
  auto response = manager.heartbeat_response(heartbeat.machine, ctx_.now());
  return {net::status::kOk, protocol::render_heartbeat_response(response.token, response.commands)};
}

void HeartbeatEndpoint::on_relayed_heartbeat(const ControllerName& from,
                                             const protocol::RelayedHeartbeat& relayed) {
  messenger_.send(from, answer_relayed(relayed));
}

protocol::RelayedReply HeartbeatEndpoint::answer_relayed(const protocol::RelayedHeartbeat& relayed) {
  protocol::RelayedReply reply{relayed.id, net::status::kMisdirectedRequest,
                               protocol::render_redirect(ctx_.settings.controller)};
  try {
    auto heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(relayed.heartbeat));
    auto id = ctx_.partitioning.shard_of(heartbeat.zone, heartbeat.machine);
    auto* shard = find_current(id);
    if (!shard) {
      reply.body = protocol::render_redirect(relay_.shard_leader(id));
      return reply;
    }
    if (shard->manager->should_redirect_here(heartbeat, ctx_.now())) return reply;
    auto response = answer(*shard, id, heartbeat);
    reply.status = response.status;
    reply.body = std::move(response.body);
    on_heartbeat_();
  } catch (const protocol::ProtocolError& error) {
    spdlog::info("relayed_heartbeat_malformed reason=\"{}\"", error.what());
  }
  return reply;
}

}  // namespace beaconsill::controller
