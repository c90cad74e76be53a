// Reports of workers: answered here if this controller owns the shard, else relayed to its owner.
#include "base/log.h"
#include "controller/shard_service.h"

namespace beaconsill::controller {
namespace {
// Left of the time limit for a cancelled task after the lease that is granted last. It has to cover the
// clocks' drift and a worker's timer only: a lease counts from when the report was sent, however slow its
// answer is.
constexpr double kCancelMarginSeconds = 1;
constexpr Duration kRelayWait = std::chrono::milliseconds(800);
}  // namespace

void ShardService::on_worker_heartbeat(const net::Request& r, const net::HttpServer::Reply& reply) {
  if (r.method != "POST") return reply({405, "{}"});
  protocol::WorkerHeartbeat heartbeat;
  try {
    heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(r.body));
  } catch (const protocol::ProtocolError& e) {
    spdlog::info("report dropped: {}", e.what());
    return reply({400, protocol::render_error(e.what())});
  }
  auto id = ctx_.partitioning.of(heartbeat.zone, heartbeat.machine);
  auto it = shards_.find(id);
  if (it == shards_.end() || it->second.shard->superseded()) return relay(id, r.body, reply);
  auto out = answer(it->second, id, heartbeat);
  it->second.shard->on_direct_contact(heartbeat.machine);
  reply(std::move(out));
  schedule_run();
}

net::Response ShardService::answer(Owned& o, ShardId id, const protocol::WorkerHeartbeat& heartbeat) {
  auto& shard = *o.shard;
  // After this long without news of cancellations, the leases of tasks that may be cancelled have to run out.
  auto limit = from_seconds(ctx_.settings.cancel_s - ctx_.settings.lease_s - kCancelMarginSeconds);
  if (ctx_.now() - cancellations_known_until() > limit)
    return {503, protocol::render_error("out of touch"), 1};
  shard.on_worker_heartbeat(heartbeat, ctx_.now());
  if (shard.superseded()) {
    ctx_.watch_cache->sync([](bool) {});
    return {421, protocol::render_redirect(owner_of(id))};
  }
  // A stale report is answered as well: its worker is there, and commands may have overtaken it.
  if (!shard.find_machine(heartbeat.machine)) return {503, protocol::render_error("machine is gone"), 1};
  auto a = shard.answer(heartbeat.machine, ctx_.now());
  return {200, protocol::render_heartbeat_response(a.token, a.commands)};
}

// To the owner of the highest term that the state store or a peer has told of, if it's there.
std::optional<ControllerName> ShardService::owner_of(ShardId id) const {
  const auto& role = ctx_.view().shard_role(id);
  std::optional<ControllerName> owner;
  if (role.exists() && ctx_.view().alive(role.value.controller)) owner = role.value.controller;
  if (auto told = peers_.owner(id);
      told && told->term > role.value.term && peers_.reachable(told->controller))
    owner = told->controller;
  if (owner == ctx_.settings.controller) owner.reset();
  return owner;
}

void ShardService::redirect(ShardId id, const net::HttpServer::Reply& reply) const {
  reply({421, protocol::render_redirect(owner_of(id))});
}

// A worker that comes here may be cut off from its owner: whether it is told to go there, or answered through
// this controller, is the owner's to say.
void ShardService::relay(ShardId id, const std::string& heartbeat, const net::HttpServer::Reply& reply) {
  auto owner = owner_of(id);
  if (!owner || !peers_.reachable(*owner) || pending_relays_.size() >= max_relayed_)
    return redirect(id, reply);
  auto n = next_relay_++;
  pending_relays_[n] = {reply, id, ctx_.now() + kRelayWait};
  peers_.send(*owner, protocol::RelayedHeartbeat{n, heartbeat});
}

void ShardService::on_relayed_heartbeat(const ControllerName& from, const protocol::RelayedHeartbeat& r) {
  protocol::RelayedReply out{r.id, 421, protocol::render_redirect(ctx_.settings.controller)};
  try {
    auto heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(r.heartbeat));
    auto id = ctx_.partitioning.of(heartbeat.zone, heartbeat.machine);
    auto it = shards_.find(id);
    if (it == shards_.end() || it->second.shard->superseded()) {
      out.body = protocol::render_redirect(owner_of(id));
    } else if (!it->second.shard->should_redirect_here(heartbeat, ctx_.now())) {
      auto a = answer(it->second, id, heartbeat);
      out.status = a.status;
      out.body = std::move(a.body);
      schedule_run();
    }
  } catch (const protocol::ProtocolError& e) {
    spdlog::info("relayed report dropped: {}", e.what());
  }
  peers_.send(from, std::move(out));
}

void ShardService::on_relayed_reply(const protocol::RelayedReply& r) {
  auto it = pending_relays_.find(r.id);
  if (it == pending_relays_.end()) return;
  auto reply = std::move(it->second.reply);
  pending_relays_.erase(it);
  reply({r.status, r.body});
}

}  // namespace beaconsill::controller
