#include "controller/shard_service.h"

#include "base/log.h"
#include "controller/socket_limits.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
// What comes within so short a time is dealt with in one go: dozens of reports and answers come each second.
constexpr Duration kGatherEvents = std::chrono::milliseconds(10);
constexpr Duration kCommandTimeout = std::chrono::seconds(2);
}  // namespace

ShardService::ShardService(ControllerContext& ctx, PeerService& peers,
                           std::function<void(protocol::ProgressReport)> notify_leader)
    : ctx_(ctx),
      peers_(peers),
      notify_leader_(std::move(notify_leader)),
      tick_(ctx.io, [this] { tick(); }),
      soon_(ctx.io, [this] { pump(); }),
      max_channels_(plan_socket_limits(ctx.settings).commands),
      max_relayed_(plan_socket_limits(ctx.settings).served) {}

void ShardService::start() {
  tick_.start(kTick);
}

void ShardService::stop() {
  stopped_ = true;
  tick_.stop();
  soon_.stop();
  for (auto& [name, c] : channels_) c.client->stop();
  channels_.clear();
}

Instant ShardService::cancellations_known_until() const {
  return std::max(ctx_.watch_cache->as_of(), peers_.cancellations_known_until());
}

void ShardService::acquire_shard(ShardId id, Term term) {
  shard::ShardParams p;
  p.heartbeat_period = from_seconds(ctx_.settings.report_s);
  p.lease = from_seconds(ctx_.settings.lease_s);
  p.cancel_limit = from_seconds(ctx_.settings.cancel_s);
  p.grace = ctx_.policy.grace;
  p.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  auto& o = shards_[id];
  o = {};
  o.shard = std::make_unique<shard::ShardManager>(id, term, p, ctx_.now());
  o.shard->set_catalogue(ctx_.catalogue);
  for (const auto& [job, record] : ctx_.view().jobs())
    o.shard->on_job(job, &record, ctx_.view().end(job), ctx_.now());
  schedule_run();
}

void ShardService::release_shard(ShardId id) {
  shards_.erase(id);
}

ShardService::Owned* ShardService::find(ShardId id, Term term) {
  auto it = shards_.find(id);
  return it == shards_.end() || it->second.shard->term() != term ? nullptr : &it->second;
}

void ShardService::on_terms(const std::vector<protocol::ShardTerm>& terms) {
  for (const auto& t : terms)
    if (auto it = shards_.find(t.shard); it != shards_.end()) it->second.shard->supersede(t.term);
}

bool ShardService::is_stable(ShardId id) const {
  auto it = shards_.find(id);
  return it != shards_.end() && it->second.shard->is_stable(ctx_.now());
}

std::vector<protocol::ShardTerm> ShardService::owned() const {
  std::vector<protocol::ShardTerm> out;
  for (const auto& [id, o] : shards_)
    if (!o.shard->superseded()) out.push_back({id, o.shard->term()});
  return out;
}

void ShardService::on_view(const state_store::StateView::ChangeSet& t) {
  for (auto& [id, o] : shards_) {
    if (o.read && t.machines.contains(id)) load_registry(id, *o.shard);
    for (const auto& job : t.jobs)
      o.shard->on_job(job, ctx_.view().job(job), ctx_.view().end(job), ctx_.now());
  }
  if (!t.jobs.empty() || !t.machines.empty()) schedule_run();
}

void ShardService::on_catalogue() {
  for (auto& [id, o] : shards_) o.shard->set_catalogue(ctx_.catalogue);
  schedule_run();
}

void ShardService::on_estimate_request(const protocol::EstimateRequest& a,
                                       const std::function<void(protocol::EstimateResponse)>& answer) {
  for (auto& [id, o] : shards_) {
    protocol::EstimateResponse out{a.round, id, o.shard->term(), ctx_.watch_cache->revision(), {}};
    for (const auto& s : a.resource_requests) out.rooms.push_back(o.shard->estimate(s, ctx_.now()));
    answer(std::move(out));
  }
}

void ShardService::on_machines_terminated(const std::vector<MachineName>& names) {
  for (auto& [id, o] : shards_)
    for (const auto& n : names) o.shard->on_deleted(n, ctx_.now());
  for (const auto& n : names) {
    auto it = channels_.find(n);
    if (it == channels_.end()) continue;
    auto client = it->second.client;
    channels_.erase(it);
    client->stop();
  }
  schedule_run();
}

void ShardService::on_release(const std::vector<MachineName>& names) {
  for (auto& [id, o] : shards_)
    for (const auto& n : names) o.shard->release(n);
  schedule_run();
}

void ShardService::schedule_run() {
  if (!soon_.pending()) soon_.set(kGatherEvents);
}

// What can wait for a moment.
void ShardService::tick() {
  auto now = ctx_.now();
  ctx_.pause_detector.observe(now);
  if (ctx_.pause_detector.over() != last_pause_) {
    last_pause_ = ctx_.pause_detector.over();
    for (auto& [id, o] : shards_) o.shard->on_process_pause(now);
  }
  pump();
  for (auto& [id, o] : shards_) {
    notify_leader(id, o);
    write_registry(id, o);
    write_progress(id, o);
    remove_machines(id, o);
  }
}

void ShardService::pump() {
  for (auto it = pending_relays_.begin(); it != pending_relays_.end();) {
    if (ctx_.now() < it->second.until) {
      ++it;
      continue;
    }
    redirect(it->second.shard, it->second.reply);
    it = pending_relays_.erase(it);
  }
  for (auto& [id, o] : shards_) {
    read_registry(id, o);
    o.shard->tick(ctx_.now(), cancellations_known_until(), ctx_.watch_cache->as_of());
    for (auto& b : o.shard->take_command_batches(ctx_.now())) send(id, std::move(b));
  }
}

// With a connection kept to each of a thousand machines, those that report would find no socket left.
ShardService::Channel& ShardService::channel(const MachineName& m, const std::string& address,
                                             const net::Tcp::endpoint& at) {
  if (auto it = channels_.find(m); it != channels_.end()) {
    if (it->second.address == address) return it->second;
    auto client = it->second.client;
    channels_.erase(it);
    client->stop();
  }
  if (channels_.size() >= max_channels_) {
    auto oldest = channels_.end();
    for (auto it = channels_.begin(); it != channels_.end(); ++it)
      if (it->second.under_way == 0 && (oldest == channels_.end() || it->second.used < oldest->second.used))
        oldest = it;
    if (oldest != channels_.end()) {
      oldest->second.client->stop();
      channels_.erase(oldest);
    }
  }
  return channels_[m] = {address, std::make_shared<net::HttpClient>(ctx_.io, at, 1), 0, ctx_.now()};
}

void ShardService::send(ShardId id, shard::ShardManager::Batch b) {
  auto term = shards_.at(id).shard->term();
  auto at = net::parse_endpoint(b.address);
  if (!at) {
    spdlog::error("{}: address {} is not understood", b.machine.value(), b.address);
    // Else the shard would wait for an answer for good, and so would the tasks that it placed there.
    shards_.at(id).shard->on_commands(b, shard::ShardManager::CommandResult::kNoAnswer, std::nullopt,
                                      ctx_.now());
    return;
  }
  auto& c = channel(b.machine, b.address, *at);
  ++c.under_way;
  c.used = ctx_.now();
  auto body = protocol::render_commands(b.token, b.incarnation, b.commands);
  c.client->request("POST", "/do", body, kCommandTimeout,
                    [this, id, term, b = std::move(b), client = std::weak_ptr(c.client)](net::Result r) {
                      if (stopped_) return;
                      if (auto x = channels_.find(b.machine);
                          x != channels_.end() && x->second.client == client.lock())
                        --x->second.under_way;
                      auto* o = find(id, term);
                      if (!o) return;
                      auto result = shard::ShardManager::CommandResult::kNoAnswer;
                      std::optional<protocol::WorkerHeartbeat> heartbeat;
                      if (r.status == 200 || r.status == 409) {
                        try {
                          heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(r.body));
                          result = r.status == 200 ? shard::ShardManager::CommandResult::kExecuted
                                                   : shard::ShardManager::CommandResult::kRejected;
                        } catch (const protocol::ProtocolError& e) {
                          spdlog::error("{}: answer dropped: {}", b.machine.value(), e.what());
                        }
                      } else if (r.answered()) {
                        spdlog::error("{}: commands were answered {}", b.machine.value(), r.status);
                      } else {
                        spdlog::debug("{}: commands had no answer", b.machine.value());
                      }
                      o->shard->on_commands(b, result, heartbeat, ctx_.now());
                      schedule_run();
                    });
}

std::vector<protocol::Summary> ShardService::summaries() const {
  std::vector<protocol::Summary> out;
  for (const auto& [id, o] : shards_) {
    out.push_back(o.shard->summary(ctx_.now()));
    out.back().seen = ctx_.watch_cache->revision();
  }
  return out;
}

std::uint32_t ShardService::running(const JobId& id) const {
  std::uint32_t n = 0;
  for (const auto& [shard, o] : shards_) n += o.shard->running(id);
  return n;
}

}  // namespace beaconsill::controller
