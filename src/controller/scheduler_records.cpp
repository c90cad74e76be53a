// What the leader records beside its grants: how jobs ended, which versions the controllers know; and what it
// drops.
#include <algorithm>

#include "base/log.h"
#include "controller/scheduler_service.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kTerminalRetryDelay = std::chrono::milliseconds(500);
// Keys dropped in one transaction: it must not hold up changes that somebody waits for.
constexpr std::size_t kMaxDeletedKeys = 8;
// Users retry a submission for a minute; a transaction may be carried out minutes late.
constexpr Duration kAbandonedSubmissionAge = std::chrono::minutes(15);

// The version that all controllers have shown at least.
std::uint32_t min_version(const state_store::Versions& versions,
                          const std::vector<ControllerName>& controllers) {
  auto least = state_store::kFormatVersion;
  for (const auto& controller : controllers) least = std::min(least, versions.at(controller));
  return least;
}

}  // namespace

void SchedulerService::write_terminal_records() {
  if (!still_leader() || ctx_.now() < terminal_retry_at_) return;
  std::vector<JobId> ids;
  for (const auto& id : scheduler_->completed()) {
    if (completing_.contains(id) || ids.size() >= max_changes_per_txn()) continue;
    const auto* job = ctx_.view().job(id);
    if (!job) continue;
    ids.push_back(id);
    if (auto late = scheduler_->lateness(id, ctx_.clock.wall()))
      spdlog::info("{} ({}, {} tasks) is done, {:.1f} s late", id.value(), job->record.spec->job_class,
                   job->record.spec->tasks, to_seconds(*late));
  }
  write_terminal_records(ids, state_store::TerminalState::kDone, state_store::Urgency::kUserRequest);
}

void SchedulerService::write_cancelled_dependents() {
  auto most = std::min(max_changes_per_txn(), ctx_.store->spare_writes());
  if (!still_leader() || most == 0 || ctx_.now() < terminal_retry_at_) return;
  std::vector<JobId> ids;
  for (const auto& id : ctx_.view().dependencies().unrecorded()) {
    if (ids.size() >= most) break;
    // One batch of these at a time: they only wait to be tidied.
    if (completing_.contains(id)) return;
    ids.push_back(id);
  }
  write_terminal_records(ids, state_store::TerminalState::kCancelled,
                         state_store::Urgency::kGarbageCollection);
}

// Until every controller has shown this version, nothing is written that an earlier one would misread. With
// the last of them the leader's role is written so that no earlier version can take it: it would start jobs
// that wait for others.
void SchedulerService::write_versions() {
  auto leader = still_leader();
  if (!leader || writing_versions_) return;
  const auto& view = ctx_.view();
  auto versions = view.versions().value;
  for (const auto& controller : ctx_.partitioning.controllers()) {
    auto& shown = versions[controller];
    shown = std::max(shown, view.advertised_version(controller).value_or(0));
  }
  if (versions == view.versions().value) return;
  protocol::Txn t;
  t.conditions = {*leader, {state_store::versions_key(), view.versions().version}};
  t.writes = {{state_store::versions_key(), state_store::to_json(versions), std::nullopt}};
  const auto all_read = min_version(versions, ctx_.partitioning.controllers());
  auto role = view.leader().value;
  if (all_read > role.readable_since) {
    role.readable_since = all_read;
    t.writes.push_back({state_store::leader_role_key(), state_store::to_json(role), std::nullopt});
  }
  writing_versions_ = true;
  // Users are refused until it is written.
  ctx_.store->txn(t, state_store::Urgency::kUserRequest, [this, t, all_read](state_store::TxnResult r) {
    if (r.outcome == state_store::RequestOutcome::kOk) {
      writing_versions_ = false;
      spdlog::info("all controllers know version {}", all_read);
      return ctx_.watch_cache->apply_own(t, r.revision);
    }
    ctx_.watch_cache->sync([this](bool) { writing_versions_ = false; });
  });
}

void SchedulerService::write_terminal_records(const std::vector<JobId>& ids, state_store::TerminalState end,
                                              state_store::Urgency urgency) {
  auto leader = still_leader();
  if (ids.empty() || !leader) return;
  protocol::Txn t;
  t.conditions.push_back(*leader);
  for (const auto& id : ids) {
    state_store::TerminalRecord terminal_record{end, 0, ctx_.clock.wall()};
    if (const auto* job = ctx_.view().job(id); job && end == state_store::TerminalState::kDone)
      terminal_record.done = job->record.spec->tasks;
    t.conditions.push_back({state_store::terminal_key(id), Revision()});
    t.writes.push_back({state_store::terminal_key(id), state_store::to_json(terminal_record), std::nullopt});
  }
  completing_.insert(ids.begin(), ids.end());
  ctx_.watch_cache->commit(t, urgency, [this, t, ids](state_store::TxnResult r) {
    auto over = [this, ids] {
      for (const auto& id : ids) completing_.erase(id);
    };
    if (r.outcome == state_store::RequestOutcome::kOk) {
      ctx_.watch_cache->apply_own(t, r.revision);
      peers_.broadcast(protocol::ChangeNotification{r.revision});
      return over();
    }
    // During an outage, trying again at once would only use up the budget.
    terminal_retry_at_ = ctx_.now() + kTerminalRetryDelay;
    ctx_.watch_cache->sync([over](bool) { over(); });
  });
}

// Drops what is no longer needed of jobs that are over; how they ended is kept.
void SchedulerService::collect_garbage() {
  auto leader = still_leader();
  auto spare = ctx_.store->spare_writes();
  if (!leader || !collecting_.empty() || spare == 0) return;
  state_store::TxnDraft draft(std::min({ctx_.store->sizes().txn_ops(), kMaxDeletedKeys, spare}));
  draft.require(*leader);
  for (const auto& id : scheduler_->collectable())
    if (!delete_job_keys(id, draft)) break;
  for (const auto& [id, keys] : ctx_.view().all_dependency_keys())
    if (!delete_dependency_keys(id, keys, draft)) break;
  if (draft.empty()) return;
  ctx_.store->txn(draft.txn(), state_store::Urgency::kGarbageCollection,
                  [this, t = draft.txn()](state_store::TxnResult r) {
                    if (r.outcome == state_store::RequestOutcome::kOk) {
                      ctx_.watch_cache->apply_own(t, r.revision);
                      return collecting_.clear();
                    }
                    ctx_.watch_cache->sync([this](bool) { collecting_.clear(); });
                  });
}

// Adds the keys of a job that is over to those to be dropped. False: no more fits.
bool SchedulerService::delete_job_keys(const JobId& id, state_store::TxnDraft& draft) {
  const auto* job = ctx_.view().job(id);
  // Without an end of its own, others that it was cancelled through are still needed to know its state.
  if (!job || !ctx_.view().terminal_record(id).exists()) return true;
  // The job's record last: if not all go at once, what is left is still known to be of a job that is over.
  std::vector<protocol::Condition> keys;
  if (job->grants.exists()) keys.push_back({state_store::grants_key(id), job->grants.version});
  for (const auto& [shard, p] : job->progress)
    keys.push_back({state_store::progress_key(shard, id), p.version});
  keys.push_back({state_store::job_key(id), job->created});
  keys.resize(std::min(keys.size(), ctx_.store->sizes().txn_ops()));
  std::vector<protocol::Write> drops;
  drops.reserve(keys.size());
  for (const auto& k : keys) drops.push_back({k.key, std::nullopt, std::nullopt});
  if (!draft.add(keys, drops)) return draft.empty();
  collecting_.insert(id);
  return true;
}

// The same for the keys with the jobs that a job awaits, once its record is gone, or was never written and
// its user has long given up. The first key goes first, on which the record's transaction is conditional.
bool SchedulerService::delete_dependency_keys(const JobId& id,
                                              const state_store::StateView::DependencyKeys& keys,
                                              state_store::TxnDraft& draft) {
  const auto& view = ctx_.view();
  if (auto job = view.jobs().find(id); job != view.jobs().end() && job->second.record.spec) return true;
  const auto age =
      std::chrono::milliseconds(ctx_.clock.wall().value() - keys.begin()->second.value.written.value());
  if (!view.terminal_record(id).exists() && age < kAbandonedSubmissionAge) return true;
  for (const auto& [piece, value] : keys) {
    auto key = state_store::dependency_key(id, piece);
    if (!draft.add({{key, value.version}, {state_store::job_key(id), Revision()}},
                   {{key, std::nullopt, std::nullopt}}))
      return false;
  }
  return true;
}

}  // namespace beaconsill::controller
