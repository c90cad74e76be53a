#include "controller/terminal_record_writer.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
// During an outage, immediate retries would use up the write rate without success.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
}  // namespace

void TerminalRecordWriter::write_completed() {
  if (!leadership_.leader_role_condition() || retry_delayed()) return;
  std::vector<JobId> ids;
  for (const auto& id : leadership_.scheduler().completed()) {
    if (in_progress_.contains(id) || ids.size() >= leadership_.max_changes_per_txn()) continue;
    const auto* job = ctx_.view().job(id);
    if (!job) continue;
    ids.push_back(id);
    log_if_late(id, *job);
  }
  write(ids, state_store::TerminalState::kDone, state_store::Urgency::kUserRequest);
}

void TerminalRecordWriter::log_if_late(const JobId& id, const state_store::Job& job) const {
  auto late = leadership_.scheduler().lateness(id, ctx_.clock.wall());
  if (!late) return;
  spdlog::info("job_completed_late job={} class={} count={} seconds={:.1f}", id.value(),
               job.record.spec->job_class, job.record.spec->tasks, to_seconds(*late));
}

void TerminalRecordWriter::write_cancelled_dependents() {
  auto max_records = std::min(leadership_.max_changes_per_txn(), ctx_.store->spare_writes());
  if (!leadership_.leader_role_condition() || max_records == 0 || retry_delayed()) return;
  std::vector<JobId> ids;
  for (const auto& id : ctx_.view().dependencies().unrecorded_cancellations()) {
    if (ids.size() >= max_records) break;
    // Only one batch is written at a time, since only garbage collection waits for these records.
    if (in_progress_.contains(id)) return;
    ids.push_back(id);
  }
  write(ids, state_store::TerminalState::kCancelled, state_store::Urgency::kGarbageCollection);
}

void TerminalRecordWriter::write(const std::vector<JobId>& ids, state_store::TerminalState terminal_state,
                                 state_store::Urgency urgency) {
  auto leader = leadership_.leader_role_condition();
  if (ids.empty() || !leader) return;
  auto txn = build_txn(ids, terminal_state, *leader);
  in_progress_.insert(ids.begin(), ids.end());
  ctx_.watch_cache->commit(txn, urgency, [this, txn, ids](state_store::TxnResult result) {
    if (result) {
      ctx_.watch_cache->apply_own_txn(txn, *result);
      messenger_.broadcast(protocol::ChangeNotification{*result});
      remove_in_progress(ids);
      return;
    }
    retry_at_ = ctx_.now() + kRetryDelay;
    ctx_.watch_cache->sync([this, ids](bool) { remove_in_progress(ids); });
  });
}

protocol::Txn TerminalRecordWriter::build_txn(const std::vector<JobId>& ids,
                                              state_store::TerminalState terminal_state,
                                              const protocol::Condition& leader) const {
  protocol::Txn txn;
  txn.conditions.push_back(leader);
  for (const auto& id : ids) {
    state_store::TerminalRecord record{terminal_state, 0, ctx_.clock.wall()};
    if (const auto* job = ctx_.view().job(id); job && terminal_state == state_store::TerminalState::kDone)
      record.done = job->record.spec->tasks;
    txn.conditions.push_back({state_store::terminal_key(id), Revision()});
    txn.writes.push_back({state_store::terminal_key(id), state_store::to_json(record), std::nullopt});
  }
  return txn;
}

void TerminalRecordWriter::remove_in_progress(const std::vector<JobId>& ids) {
  for (const auto& id : ids) in_progress_.erase(id);
}

}  // namespace beaconsill::controller
