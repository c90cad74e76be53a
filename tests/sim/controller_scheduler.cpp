// The leader: rounds, grants, and what it records of jobs that are over, as `controller::SchedulerService`
// does.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kReplyWait = 0.5;
constexpr double kLongestWait = 60;
constexpr double kGarbageCollectionShare = 0.2;  // of the ticks
}  // namespace

void Controller::become_leader(Term term) {
  scheduler::SchedulerParams p;
  p.reply_wait = from_seconds(kReplyWait);
  p.heartbeat_period = from_seconds(env_.options.report_s);
  p.longest_wait = from_seconds(kLongestWait);
  auto limits = env_.settings.teams;
  if (has_bug(SeededBug::kLimitIgnored)) limits.clear();
  process_.scheduler = std::make_unique<scheduler::Scheduler>(p, limits, std::vector<config::Objective>{});
  process_.leader_term = term;
  process_.records_read = false;
  process_.scheduler->on_terms(terms());
  for (const auto& [shard, s] : process_.summaries) process_.scheduler->on_summary(s, instant());
  std::set<JobId> all;
  for (const auto& [id, job] : view().jobs()) all.insert(id);
  publish_to_scheduler(all);
  env_.workers.on_new_leader();
}

void Controller::publish_to_scheduler(const std::set<JobId>& jobs) {
  for (const auto& j : jobs) {
    if (has_bug(SeededBug::kJobSkipped) && j == JobId("run-2")) continue;
    const auto& dependencies = view().dependencies();
    // Cancelled through others: there is nothing to serve.
    const auto* job = dependencies.unrecorded().contains(j) ? nullptr : view().job(j);
    auto since = dependencies.ready_since(j, WallMs());
    if (has_bug(SeededBug::kDependenciesIgnored)) since = env_.queue.wall();
    process_.scheduler->on_job(j, job, view().terminal_state(j), instant(), since);
  }
}

void Controller::read_records() {
  process_.watch_cache->sync([this, term = process_.leader_term](bool ok) {
    if (process_.scheduler && process_.leader_term == term && ok) process_.records_read = true;
  });
}

void Controller::tick_leader() {
  const auto& role = view().leader();
  if (!process_.scheduler || !process_.records_read || !role.exists() ||
      role.value.term != process_.leader_term)
    return;
  auto all = terms();
  std::set<ShardId> reachable;
  for (auto& [p, term] : all)
    if (process_.heartbeats->reachable(controller_number(view().shard_role(p).value.controller), instant()))
      reachable.insert(p);
  if (auto estimate_request = process_.scheduler->begin_round(instant(), env_.queue.wall(), reachable)) {
    broadcast([from = number_, estimate_request = *estimate_request](Controller& c) {
      c.on_estimate_request(from, estimate_request);
    });
    on_estimate_request(number_, *estimate_request);
  }
  if (auto grants = process_.scheduler->decide(instant(), all)) {
    if (grants->empty()) {
      process_.scheduler->on_granted({}, std::nullopt, instant());
    } else {
      write_grants(*grants);
    }
  }
  write_terminal_records();
  collect_garbage();
}

void Controller::write_grants(const std::vector<scheduler::Scheduler::Grant>& grants) {
  protocol::Txn t;
  bool conditional = !has_bug(SeededBug::kNoFencing);
  if (conditional) t.conditions.push_back({state_store::leader_role_key(), view().leader().revision});
  std::set<ShardId> depends_on_shards;
  for (const auto& g : grants)
    depends_on_shards.insert(g.depends_on_shards.begin(), g.depends_on_shards.end());
  for (auto p : depends_on_shards)
    t.conditions.push_back({state_store::shard_role_key(p), view().shard_role(p).revision});
  for (const auto& g : grants) {
    if (conditional) t.conditions.push_back({state_store::grants_key(g.job), g.expected});
    t.conditions.push_back({state_store::terminal_key(g.job), Revision()});
    t.writes.push_back({state_store::grants_key(g.job), state_store::to_json(g.grants), std::nullopt});
  }
  env_.state.txn(number_, t, [this, term = process_.leader_term, t, grants](state_store::TxnResult r) {
    if (!process_.scheduler || process_.leader_term != term) return;
    if (r) {
      process_.scheduler->on_granted(grants, *r, instant());
      return process_.watch_cache->apply_own(t, *r);
    }
    process_.watch_cache->sync([this, term, grants](bool) {
      if (process_.scheduler && process_.leader_term == term)
        process_.scheduler->on_granted(grants, std::nullopt, instant());
    });
  });
}

void Controller::write_terminal_records() {
  auto completed = process_.scheduler->completed();
  if (has_bug(SeededBug::kCompletedTooEarly))
    for (const auto& [id, j] : view().jobs())
      if (j.record.spec && j.record.spec->kind == JobKind::kArray && !view().terminal_state(id) &&
          j.done().count() * 2 > j.record.spec->tasks)
        completed.push_back(id);
  auto end = has_bug(SeededBug::kCompletedRecordedAsCancelled) ? state_store::TerminalState::kCancelled
                                                               : state_store::TerminalState::kDone;
  for (const auto& id : completed)
    if (const auto* job = view().job(id))
      write_terminal_record(id, {end, job->record.spec->tasks, env_.queue.wall()});
  for (const auto& id : view().dependencies().unrecorded())
    write_terminal_record(id, {state_store::TerminalState::kCancelled, 0, {}});
}

void Controller::write_terminal_record(const JobId& id, const state_store::TerminalRecord& terminal_record) {
  if (!process_.terminal_record.insert(id).second) return;
  protocol::Txn t{{{state_store::terminal_key(id), Revision()},
                   {state_store::leader_role_key(), view().leader().revision}},
                  {{state_store::terminal_key(id), state_store::to_json(terminal_record), std::nullopt}}};
  env_.state.txn(number_, t, [this, id, t](state_store::TxnResult r) {
    if (r) process_.watch_cache->apply_own(t, *r);
    process_.watch_cache->sync([this, id](bool) { process_.terminal_record.erase(id); });
  });
}

// Drops what is no longer needed of a job that is over.
void Controller::collect_garbage() {
  if (!env_.queue.chance(kGarbageCollectionShare)) return;
  for (const auto& id : process_.scheduler->collectable()) {
    const auto* job = view().job(id);
    // Without an end of its own, those that it was cancelled through are still needed to know its state.
    if (!job || !view().terminal_record(id).exists()) continue;
    std::vector<protocol::Condition> keys{{state_store::job_key(id), job->created}};
    if (job->grants.exists()) keys.push_back({state_store::grants_key(id), job->grants.revision});
    for (const auto& [shard, p] : job->progress)
      keys.push_back({state_store::progress_key(shard, id), p.revision});
    protocol::Txn t{{{state_store::leader_role_key(), view().leader().revision}}, {}};
    for (auto shard : process_.scheduler->released_by_message(id))
      t.conditions.push_back({state_store::shard_role_key(shard), view().shard_role(shard).revision});
    for (auto& k : keys) {
      t.writes.push_back({k.key, std::nullopt, std::nullopt});
      t.conditions.push_back(k);
    }
    return env_.state.txn(number_, t,
                          [this](state_store::TxnResult) { process_.watch_cache->sync([](bool) {}); });
  }
}

void Controller::on_progress_report(const protocol::ProgressReport& o) {
  if (!process_.scheduler) return;
  protocol::ProgressReport known{o.shard, o.term, {}};
  std::set<JobId> jobs;
  for (auto& j : o.jobs) {
    if (!view().job(j.job)) continue;
    known.jobs.push_back(j);
    jobs.insert(j.job);
  }
  process_.scheduler->on_progress_report(known, instant());
  publish_to_scheduler(jobs);
}

void Controller::on_estimate_response(const protocol::EstimateResponse& a) {
  if (process_.scheduler) process_.scheduler->on_estimate_response(a, instant());
}

}  // namespace beaconsill::sim
