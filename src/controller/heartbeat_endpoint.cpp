#include "controller/heartbeat_endpoint.h"

#include <string_view>
#include <utility>

#include "base/log.h"
#include "net/http_status.h"

namespace beaconsill::controller {
namespace {
constexpr int kRetryAfterSeconds = 1;

// Time that remains between the end of a lease and the time limit by which a cancelled task must have ended.
// It only has to cover clock drift and the precision of a worker's timer, because a lease counts from when
// the worker sent its heartbeat, however slow the response is.
constexpr double kCancelMarginSeconds = 1;

net::Response unavailable(std::string_view reason) {
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

LedShard* HeartbeatEndpoint::find_unsuperseded(ShardId id) {
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
  auto* shard = find_unsuperseded(id);
  if (!shard) {
    relay_.relay(id, request.body, reply);
    return;
  }
  auto response = make_response(*shard, id, heartbeat);
  shard->manager->on_direct_contact(heartbeat.machine);
  reply(std::move(response));
  on_heartbeat_();
}

net::Response HeartbeatEndpoint::make_response(LedShard& shard, ShardId id,
                                               const protocol::WorkerHeartbeat& heartbeat) {
  auto& manager = *shard.manager;
  // If known_until() is longer ago than this, some of the machine's tasks may have been cancelled without
  // this controller knowing. The lease is not renewed then, so that it expires before the time limit by which
  // cancelled tasks must have ended.
  auto max_age = from_seconds(ctx_.settings.cancel_s - ctx_.settings.lease_s - kCancelMarginSeconds);
  auto known_until = cancellations_.known_until();
  if (!known_until || ctx_.now() - *known_until > max_age)
    return unavailable("this controller may not know all cancellations");
  manager.on_worker_heartbeat(heartbeat, ctx_.now());
  if (manager.superseded()) {
    ctx_.watch_cache->sync([](bool) {});
    return {net::status::kMisdirectedRequest, protocol::render_redirect(relay_.shard_leader(id))};
  }
  // A stale heartbeat is answered as well: its worker is alive. A heartbeat is stale, for example, if newer
  // commands have reached the worker and its response to them has arrived before this heartbeat.
  if (!manager.find_machine(heartbeat.machine))
    return unavailable("machine " + heartbeat.machine.value() + " was terminated");
  auto response = manager.heartbeat_response(heartbeat.machine, ctx_.now());
  return {net::status::kOk, protocol::render_heartbeat_response(response.token, response.commands)};
}

void HeartbeatEndpoint::on_relayed_heartbeat(const ControllerName& from,
                                             const protocol::RelayedHeartbeat& relayed) {
  messenger_.send(from, make_relayed_reply(relayed));
}

protocol::RelayedReply HeartbeatEndpoint::make_relayed_reply(const protocol::RelayedHeartbeat& relayed) {
  protocol::RelayedReply reply{relayed.id, net::status::kMisdirectedRequest,
                               protocol::render_redirect(ctx_.settings.controller)};
  try {
    auto heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(relayed.heartbeat));
    auto id = ctx_.partitioning.shard_of(heartbeat.zone, heartbeat.machine);
    auto* shard = find_unsuperseded(id);
    if (!shard) {
      reply.body = protocol::render_redirect(relay_.shard_leader(id));
      return reply;
    }
    if (shard->manager->should_redirect_here(heartbeat, ctx_.now())) return reply;
    auto response = make_response(*shard, id, heartbeat);
    reply.status = response.status;
    reply.body = std::move(response.body);
    on_heartbeat_();
  } catch (const protocol::ProtocolError& error) {
    spdlog::info("relayed_heartbeat_malformed reason=\"{}\"", error.what());
  }
  return reply;
}

}  // namespace beaconsill::controller
