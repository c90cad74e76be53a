// The scheduler's leader: scheduling rounds, grants, terminal records and garbage collection. Simulation
// counterpart of `controller::SchedulerService`.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kEstimateReplyWait = 0.5;
constexpr double kLongestWait = 60;
constexpr double kGarbageCollectionShare = 0.2;  // share of ticks that collect garbage
}  // namespace

void Controller::become_leader(Term term) {
  scheduler::SchedulerParams params;
  params.reply_wait = from_seconds(kEstimateReplyWait);
  params.heartbeat_period = from_seconds(env_.options.heartbeat_period_s);
  params.longest_wait = from_seconds(kLongestWait);
  auto limits = env_.settings.teams;
  if (has_bug(SeededBug::kTeamLimitIgnored)) limits.clear();
  process_.scheduler =
      std::make_unique<scheduler::Scheduler>(params, limits, std::vector<config::Objective>{});
  process_.leader_term = term;
  process_.records_read = false;
  process_.scheduler->on_terms(terms());
  for (const auto& [shard, summary] : process_.summaries) process_.scheduler->on_summary(summary);
  std::set<JobId> job_ids;
  for (const auto& [id, job] : view().jobs()) job_ids.insert(id);
  publish_to_scheduler(job_ids);
  env_.workers.on_new_leader();
}

void Controller::publish_to_scheduler(const std::set<JobId>& jobs) {
  for (const auto& id : jobs) {
    if (has_bug(SeededBug::kJobSkipped) && id == JobId("run-2")) continue;
    const auto& dependencies = view().dependencies();
    // A job that is cancelled because of its dependencies, without a terminal record of its own yet, has no
    // tasks to schedule.
    const auto* job = dependencies.unrecorded_cancellations().contains(id) ? nullptr : view().job(id);
    auto since = dependencies.ready_since(id, WallMs());
    if (has_bug(SeededBug::kDependenciesIgnored)) since = env_.queue.wall();
    process_.scheduler->on_job(id, job, view().terminal_state(id), instant(), since);
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
  auto shard_terms = terms();
  std::set<ShardId> reachable;
  for (auto& [shard, term] : shard_terms)
    if (process_.heartbeats->reachable(controller_number(view().shard_role(shard).value.controller),
                                       instant()))
      reachable.insert(shard);
  if (auto estimate_request = process_.scheduler->begin_round(instant(), env_.queue.wall(), reachable)) {
    broadcast([from = number_, estimate_request = *estimate_request](Controller& controller) {
      controller.on_estimate_request(from, estimate_request);
    });
    on_estimate_request(number_, *estimate_request);
  }
  if (auto grants = process_.scheduler->decide_grants(instant(), shard_terms)) {
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
  protocol::Txn txn;
  bool fenced = !has_bug(SeededBug::kNoFencing);
  if (fenced) txn.conditions.push_back({state_store::leader_role_key(), view().leader().revision});
  std::set<ShardId> depends_on_shards;
  for (const auto& grant : grants)
    depends_on_shards.insert(grant.depends_on_shards.begin(), grant.depends_on_shards.end());
  for (auto shard : depends_on_shards)
    txn.conditions.push_back({state_store::shard_role_key(shard), view().shard_role(shard).revision});
  for (const auto& grant : grants) {
    if (fenced) txn.conditions.push_back({state_store::grants_key(grant.job), grant.expected});
    txn.conditions.push_back({state_store::terminal_key(grant.job), Revision()});
    txn.writes.push_back(
        {state_store::grants_key(grant.job), state_store::to_json(grant.grants), std::nullopt});
  }
  env_.state.txn(number_, txn,
                 [this, term = process_.leader_term, txn, grants](state_store::TxnResult result) {
                   if (!process_.scheduler || process_.leader_term != term) return;
                   if (result) {
                     process_.scheduler->on_granted(grants, *result, instant());
                     return process_.watch_cache->apply_own_txn(txn, *result);
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
    for (const auto& [id, job] : view().jobs())
      if (job.record.spec && job.record.spec->kind == JobKind::kArray && !view().terminal_state(id) &&
          job.done().count() * 2 > job.record.spec->tasks)
        completed.push_back(id);
  auto state = has_bug(SeededBug::kCompletedRecordedAsCancelled) ? state_store::TerminalState::kCancelled
                                                                 : state_store::TerminalState::kDone;
  for (const auto& id : completed)
    if (const auto* job = view().job(id))
      write_terminal_record(id, {state, job->record.spec->tasks, env_.queue.wall()});
  for (const auto& id : view().dependencies().unrecorded_cancellations())
    write_terminal_record(id, {state_store::TerminalState::kCancelled, 0, {}});
}

void Controller::write_terminal_record(const JobId& id, const state_store::TerminalRecord& terminal_record) {
  if (!process_.pending_terminal_records.insert(id).second) return;
  protocol::Txn txn{{{state_store::terminal_key(id), Revision()},
                     {state_store::leader_role_key(), view().leader().revision}},
                    {{state_store::terminal_key(id), state_store::to_json(terminal_record), std::nullopt}}};
  env_.state.txn(number_, txn, [this, id, txn](state_store::TxnResult result) {
    if (result) process_.watch_cache->apply_own_txn(txn, *result);
    process_.watch_cache->sync([this, id](bool) { process_.pending_terminal_records.erase(id); });
  });
}

// Deletes the records of at most one job that has ended and whose records are no longer needed.
void Controller::collect_garbage() {
  if (!env_.queue.draw_bool(kGarbageCollectionShare)) return;
  for (const auto& id : process_.scheduler->collectable()) {
    const auto* job = view().job(id);
    // Without a terminal record of its own, the job's state can only be derived from the records of the
    // dependencies that caused its cancellation, so its records are retained.
    if (!job || !view().terminal_record(id).exists()) continue;
    std::vector<protocol::Condition> keys{{state_store::job_key(id), job->created}};
    if (job->grants.exists()) keys.push_back({state_store::grants_key(id), job->grants.revision});
    for (const auto& [shard, progress] : job->progress)
      keys.push_back({state_store::progress_key(shard, id), progress.revision});
    protocol::Txn txn{{{state_store::leader_role_key(), view().leader().revision}}, {}};
    for (auto shard : process_.scheduler->released_by_message(id))
      txn.conditions.push_back({state_store::shard_role_key(shard), view().shard_role(shard).revision});
    for (auto& condition : keys) {
      txn.writes.push_back({condition.key, std::nullopt, std::nullopt});
      txn.conditions.push_back(condition);
    }
    return env_.state.txn(number_, txn,
                          [this](state_store::TxnResult) { process_.watch_cache->sync([](bool) {}); });
  }
}

void Controller::on_progress_report(const protocol::ProgressReport& report) {
  if (!process_.scheduler) return;
  protocol::ProgressReport known_jobs{report.shard, report.term, {}};
  std::set<JobId> jobs;
  for (auto& progress : report.jobs) {
    if (!view().job(progress.job)) continue;
    known_jobs.jobs.push_back(progress);
    jobs.insert(progress.job);
  }
  process_.scheduler->on_progress_report(known_jobs, instant());
  publish_to_scheduler(jobs);
}

void Controller::on_estimate_response(const protocol::EstimateResponse& response) {
  if (process_.scheduler) process_.scheduler->on_estimate_response(response);
}

}  // namespace beaconsill::sim
