// A shard leader: heartbeats, commands, and what it records, as `controller::ShardService` does.
#include "sim/controller.h"
#include "state_store/machine_registry.h"

namespace beaconsill::sim {
namespace {
constexpr double kPauseThreshold = 1;
constexpr double kFullReportPeriod = 2;
constexpr double kProgressDelay = 1;
constexpr double kAcknowledgedProgressDelay = 20;
constexpr double kReleasedDelay = 2;
constexpr double kGrace = 5;
constexpr double kCancelMargin = 1;
constexpr state_store::RegistryLimits kRegistryLimits{16, std::size_t{8} * 1024};

std::vector<ControllerName> all_controllers() {
  std::vector<ControllerName> controllers;
  for (int n = 0; n < kControllers; ++n) controllers.push_back(controller_name(n));
  return controllers;
}
}  // namespace

void Controller::acquire_shard(ShardId id, Term term) {
  shard::ShardParams p;
  p.heartbeat_period = from_seconds(env_.options.report_s);
  p.lease = from_seconds(kLease);
  p.cancel_limit = from_seconds(kCancelLimit);
  p.grace = from_seconds(kGrace);
  auto& o = process_.shards[id];
  o = {};
  o.shard = std::make_unique<shard::ShardManager>(id, term, p, instant());
  o.shard->set_catalogue(env_.catalogue);
  for (const auto& [j, record] : view().jobs()) publish(*o.shard, j);
  ++env_.outcome.shard_acquisitions;
}

Controller::OwnedShard* Controller::find(ShardId id, Term term) {
  auto it = process_.shards.find(id);
  return it == process_.shards.end() || it->second.shard->term() != term ? nullptr : &it->second;
}

const shard::ShardManager* Controller::shard(ShardId id) const {
  auto it = process_.shards.find(id);
  return it == process_.shards.end() ? nullptr : it->second.shard.get();
}

std::vector<protocol::ShardTerm> Controller::owned() const {
  std::vector<protocol::ShardTerm> out;
  for (const auto& [id, o] : process_.shards)
    if (!o.shard->superseded()) out.push_back({id, o.shard->term()});
  return out;
}

void Controller::publish(shard::ShardManager& shard, const JobId& job) {
  auto end = view().terminal_state(job);
  if (has_bug(SeededBug::kCancellationsIgnored) && end == state_store::TerminalState::kCancelled) end.reset();
  shard.on_job(job, view().job(job), end, instant());
}

// Tasks of the job that run, by what this controller knows.
std::uint32_t Controller::running(const JobId& id) const {
  std::uint32_t n = 0;
  for (const auto& [shard, o] : process_.shards) n += o.shard->running(id);
  for (const auto& [shard, s] : process_.summaries) {
    if (process_.shards.contains(shard)) continue;
    for (const auto& c : s.running)
      if (c.job == id) n += c.running;
  }
  return n;
}

void Controller::load_registry(ShardId id) {
  auto all = state_store::registered_machines(view(), id);
  auto& shard = *process_.shards.at(id).shard;
  if (has_bug(SeededBug::kRegistryNotRead))
    std::erase_if(all, [&](const auto& r) { return !shard.find_machine(r.name); });
  shard.on_registry(all, instant());
}

void Controller::read_registry(ShardId id, OwnedShard& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  process_.watch_cache->sync([this, id, term = o.shard->term()](bool ok) {
    auto* x = find(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id);
  });
}

void Controller::tick_shards() {
  if (now() - process_.ticked > kPauseThreshold)
    for (auto& [id, o] : process_.shards) o.shard->on_process_pause(instant());
  std::vector<ShardId> ids;
  for (auto& [id, o] : process_.shards) ids.push_back(id);
  for (auto id : ids) tick_shard(id);
}

void Controller::tick_shard(ShardId id) {
  auto& o = process_.shards.at(id);
  auto term = o.shard->term();
  read_registry(id, o);
  o.shard->tick(instant(), cancellations_known_until(), process_.watch_cache->up_to_date_at());
  for (auto& b : o.shard->take_command_batches(instant())) command(id, term, b);
  notify_leader(id, o);
  write_registry(id, o);
  write_progress(id, o);
  for (auto& m : o.shard->take_machines_to_delete(instant())) remove(id, term, m);
}

void Controller::notify_leader(ShardId id, OwnedShard& o) {
  const auto& leader = view().leader();
  if (o.shard->superseded() || !leader.exists()) return;
  bool all = now() >= o.next_full_notification || o.reported_to != leader.value.term;
  if (all) {
    o.next_full_notification = now() + kFullReportPeriod;
    o.reported_to = leader.value.term;
  }
  auto jobs = o.shard->progress_report(all);
  if (has_bug(SeededBug::kReleasesNotReported))
    for (auto& j : jobs) j.released.clear();
  if (has_bug(SeededBug::kFailuresNotReported))
    for (auto& j : jobs) j.health = protocol::JobHealth::kNone;
  if (jobs.empty()) return;
  protocol::ProgressReport progress_report{id, o.shard->term(), std::move(jobs)};
  send(controller_number(leader.value.controller),
       [progress_report](Controller& c) { c.on_progress_report(progress_report); });
}

void Controller::on_estimate_request(int leader, const protocol::EstimateRequest& estimate_request) {
  for (auto& [id, o] : process_.shards) {
    protocol::EstimateResponse a{
        estimate_request.round, id, o.shard->term(), process_.watch_cache->revision(), {}};
    for (const auto& s : estimate_request.resource_requests)
      a.capacities.push_back(o.shard->estimate(s, instant()));
    send(leader, [a](Controller& c) { c.on_estimate_response(a); });
  }
}

void Controller::write(ShardId id, Term term, const protocol::Txn& t, bool OwnedShard::*flag) {
  find(id, term)->*flag = true;
  env_.state.txn(number_, t, [this, id, term, t, flag](state_store::TxnResult r) {
    if (r) {
      if (auto* o = find(id, term)) o->*flag = false;
      return process_.watch_cache->apply_own(t, *r);
    }
    process_.watch_cache->sync([this, id, term, flag](bool) {
      if (auto* o = find(id, term)) o->*flag = false;
    });
  });
}

void Controller::write_registry(ShardId id, OwnedShard& o) {
  const auto& role = view().shard_role(id);
  if (o.registering || !role.exists() || role.value.term != o.shard->term()) return;
  auto t = state_store::registry_txn(view(), id, o.shard->registry_buckets_to_write(), all_controllers(),
                                     kRegistryLimits);
  if (t) write(id, o.shard->term(), *t, &OwnedShard::registering);
}

void Controller::write_progress(ShardId id, OwnedShard& o) {
  const auto& role = view().shard_role(id);
  if (o.writing || !role.exists() || role.value.term != o.shard->term()) return;
  auto unwritten_progress = o.shard->unwritten_progress();
  std::erase_if(o.unwritten_progress, [&](const auto& u) { return !unwritten_progress.contains(u.first); });
  const auto& leader = view().leader();
  bool acknowledged = leader.exists() &&
                      process_.heartbeats->reachable(controller_number(leader.value.controller), instant());
  protocol::Txn t{{{state_store::shard_role_key(id), role.revision}}, {}};
  for (auto& [j, p] : unwritten_progress) {
    double delay = !acknowledged        ? kProgressDelay
                   : p.released.empty() ? kAcknowledgedProgressDelay
                                        : kReleasedDelay;
    if (now() - o.unwritten_progress.try_emplace(j, now()).first->second < delay) continue;
    if (has_bug(SeededBug::kReleasesNotReported)) p.released.clear();
    const auto* job = view().job(j);
    if (!job) continue;
    auto key = state_store::progress_key(id, j);
    auto have = job->progress.find(id);
    t.conditions.push_back({key, have == job->progress.end() ? Revision() : have->second.revision});
    t.writes.push_back({key, state_store::to_json(p), std::nullopt});
  }
  if (!t.writes.empty()) write(id, o.shard->term(), t, &OwnedShard::writing);
}

void Controller::on_worker_heartbeat(const protocol::WorkerHeartbeat& r, const Workers::Reply& reply) {
  auto id = env_.partitioning.shard_of(r.zone, r.machine);
  auto it = process_.shards.find(id);
  if (it == process_.shards.end() || it->second.shard->superseded()) return relay(id, r, reply);
  auto out = answer(it->second, id, r);
  it->second.shard->on_direct_contact(r.machine);
  reply(out);
}

HeartbeatReply Controller::answer(OwnedShard& o, ShardId id, const protocol::WorkerHeartbeat& r) {
  auto& shard = *o.shard;
  // Without knowing of cancellations for this long, the leases of tasks that may be cancelled have to run
  // out.
  if (instant() - cancellations_known_until() > from_seconds(kCancelLimit - kLease - kCancelMargin))
    return {};
  shard.on_worker_heartbeat(r, instant());
  if (shard.superseded()) {
    process_.watch_cache->sync([](bool) {});
    return {std::nullopt, owner_of(id).value_or(-1)};
  }
  if (!shard.find_machine(r.machine)) return {};
  return {shard.heartbeat_response(r.machine, instant()), -1};
}

void Controller::command(ShardId id, Term term, const shard::ShardManager::Batch& b) {
  auto incarnation = env_.network.incarnation(number_);
  env_.workers.command(number_, b, [this, id, term, b, incarnation](std::optional<CommandReply> r) {
    env_.network.run(number_, incarnation, CallbackKind::kCommand, [this, id, term, b, r] {
      auto* o = find(id, term);
      if (!o) return;
      using Result = shard::ShardManager::CommandResult;
      if (!r) return o->shard->on_command_result(b, Result::kNoAnswer, std::nullopt, instant());
      o->shard->on_command_result(b, r->executed ? Result::kExecuted : Result::kRejected, r->heartbeat,
                                  instant());
    });
  });
}

void Controller::remove(ShardId id, Term term, const MachineName& m) {
  env_.decisions.on_deletion(number_, m);
  auto incarnation = env_.network.incarnation(number_);
  env_.cloud.remove(m, [this, id, term, m, incarnation](bool ok) {
    env_.network.run(number_, incarnation, CallbackKind::kCommand, [this, id, term, m, ok] {
      if (ok) {
        broadcast([m](Controller& c) { c.on_machine_terminated(m); });
        on_machine_terminated(m);
      } else if (auto* o = find(id, term)) {
        o->shard->on_delete_failed(m, instant());
      }
    });
  });
}

void Controller::on_machine_terminated(const MachineName& m) {
  for (auto& [id, o] : process_.shards) o.shard->on_machine_terminated(m, instant());
}

}  // namespace beaconsill::sim
