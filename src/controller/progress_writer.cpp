#include "controller/progress_writer.h"

#include <algorithm>
#include <utility>

#include "state_store/value_sizes.h"

namespace beaconsill::controller {
namespace {
// How long progress may stay unwritten. While the leader can't be reached, the delay is short, since only
// this controller has the progress.
constexpr Duration kUnnotifiedBatchDelay = std::chrono::milliseconds(1000);
constexpr Duration kNotifiedBatchDelay = std::chrono::seconds(20);
// Progress with released tasks is written earlier, since tasks that aren't granted again count against their
// team's quota until their release is recorded.
constexpr Duration kReleasedBatchDelay = std::chrono::seconds(2);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);
// Limits the size of a transaction, so that it doesn't delay transactions that users wait for.
constexpr std::size_t kMaxJobsPerTxn = 6;

Duration batch_delay(bool leader_notified, const state_store::Progress& progress) {
  if (!leader_notified) return kUnnotifiedBatchDelay;
  return progress.released.empty() ? kNotifiedBatchDelay : kReleasedBatchDelay;
}
}  // namespace

bool ProgressWriter::leader_reachable() const {
  const auto& leader = ctx_.view().leader();
  return leader.exists() && peers_.reachable(leader.value.controller);
}

void ProgressWriter::write(ShardId id, LedShard& shard) {
  if (shard.progress_write_pending) return;
  auto now = ctx_.now();
  if (shard.next_progress_check && now < *shard.next_progress_check) return;
  shard.next_progress_check = now + kCheckPeriod;
  auto unwritten = shard.manager->unwritten_progress();
  std::erase_if(shard.unwritten_since, [&](const auto& entry) { return !unwritten.contains(entry.first); });
  if (unwritten.empty()) return;
  const auto& role = ctx_.view().shard_role(id);
  if (!role.exists() || role.value.term != shard.manager->term()) return;
  bool leader_notified = leader_reachable();
  auto max_jobs = max_jobs_per_txn(leader_notified);
  if (max_jobs == 0) return;
  state_store::TxnDraft draft(max_jobs);
  draft.require({state_store::shard_role_key(id), role.revision});
  for (const auto& [job, progress] : unwritten) {
    auto since = shard.unwritten_since.try_emplace(job, now).first->second;
    if (now - since < batch_delay(leader_notified, progress)) continue;
    if (add_progress(id, job, progress, draft) == DraftState::kFull) break;
  }
  if (!draft.empty()) commit(id, shard, draft.txn());
}

// Progress that the leader has been notified of is written only with the part of the write rate that isn't
// needed for other transactions.
std::size_t ProgressWriter::max_jobs_per_txn(bool leader_notified) const {
  auto max_jobs = std::min(ctx_.store->size_limits().txn_ops(), kMaxJobsPerTxn);
  return leader_notified ? std::min(max_jobs, ctx_.store->spare_writes()) : max_jobs;
}

DraftState ProgressWriter::add_progress(ShardId id, const JobId& job, const state_store::Progress& progress,
                                        state_store::TxnDraft& draft) const {
  const auto* record = ctx_.view().job(job);
  if (!record) return DraftState::kOpen;
  auto max_bytes = ctx_.store->size_limits().value_bytes();
  auto found = record->progress.find(id);
  auto recorded =
      found == record->progress.end() ? state_store::Versioned<state_store::Progress>{} : found->second;
  auto value = state_store::truncate_progress(recorded.value, progress, max_bytes);
  auto json = state_store::to_json(value);
  // Even the truncated value can exceed the limit if the recorded progress was written under a higher limit.
  // It gets shorter as the job's other tasks end, and is written then.
  if (value == recorded.value || state_store::value_bytes(json) > max_bytes) return DraftState::kOpen;
  auto key = state_store::progress_key(id, job);
  return add_changes(draft, {{key, recorded.revision}}, {{key, std::move(json), std::nullopt}});
}

void ProgressWriter::commit(ShardId id, LedShard& shard, const protocol::Txn& txn) {
  shard.progress_write_pending = true;
  auto finish = [this, id, term = shard.manager->term()] {
    if (auto* led = shards_.find(id, term)) led->progress_write_pending = false;
  };
  auto done = [this, finish, txn](state_store::TxnResult result) {
    if (result) {
      finish();
      ctx_.watch_cache->apply_own_txn(txn, *result);
      messenger_.broadcast(protocol::ChangeNotification{*result});
      return;
    }
    ctx_.watch_cache->sync([finish](bool) { finish(); });
  };
  ctx_.watch_cache->commit(txn, state_store::Urgency::kBackground, std::move(done));
}

}  // namespace beaconsill::controller
