#include "controller/garbage_collector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace beaconsill::controller {
namespace {
constexpr Duration kPeriod = std::chrono::seconds(1);
// Maximum number of keys deleted in one transaction, so that it doesn't delay changes that users or other
// components wait for.
constexpr std::size_t kMaxDeletedKeys = 8;
// Age after which the dependency keys of a job without a record are deleted. Users retry a submission for one
// minute, and the state store may execute a transaction minutes late.
constexpr Duration kAbandonedSubmissionAge = std::chrono::minutes(15);
}  // namespace

GarbageCollector::GarbageCollector(ControllerContext& ctx, Leadership& leadership)
    : ctx_(ctx), leadership_(leadership), timer_(ctx.io_context, [this] { run(); }) {}

void GarbageCollector::start() {
  timer_.start(kPeriod);
}

void GarbageCollector::stop() {
  timer_.stop();
}

void GarbageCollector::run() {
  auto leader = leadership_.leader_role_condition();
  auto spare_writes = ctx_.store->spare_writes();
  if (!leader || !jobs_being_deleted_.empty() || spare_writes == 0) return;
  state_store::TxnDraft draft(std::min({ctx_.store->size_limits().txn_ops(), kMaxDeletedKeys, spare_writes}));
  draft.require(*leader);
  for (const auto& id : leadership_.scheduler().collectable())
    if (delete_job_keys(id, draft) == DraftState::kFull) break;
  for (const auto& [id, keys] : ctx_.view().all_dependency_keys())
    if (delete_dependency_keys(id, keys, draft) == DraftState::kFull) break;
  if (draft.empty()) return;
  auto done = [this, txn = draft.txn()](state_store::TxnResult result) {
    if (result) {
      ctx_.watch_cache->apply_own_txn(txn, *result);
      jobs_being_deleted_.clear();
      return;
    }
    ctx_.watch_cache->sync([this](bool) { jobs_being_deleted_.clear(); });
  };
  ctx_.store->txn(draft.txn(), state_store::Urgency::kGarbageCollection, std::move(done));
}

DraftState GarbageCollector::delete_job_keys(const JobId& id, state_store::TxnDraft& draft) {
  const auto* job = ctx_.view().job(id);
  // A terminated job without a terminal record of its own was cancelled because a job that it depends on was.
  // Its keys must remain until it has a record, since its state is derived from its dependencies until then.
  if (!job || !ctx_.view().terminal_record(id).exists()) return DraftState::kOpen;
  // The job's record comes last: if one transaction can't delete all keys, the remaining ones can still be
  // identified as those of a terminated job.
  std::vector<protocol::Condition> keys;
  if (job->grants.exists()) keys.push_back({state_store::grants_key(id), job->grants.revision});
  for (const auto& [shard, progress] : job->progress)
    keys.push_back({state_store::progress_key(shard, id), progress.revision});
  keys.push_back({state_store::job_key(id), job->created});
  keys.resize(std::min(keys.size(), ctx_.store->size_limits().txn_ops()));
  std::vector<protocol::Write> deletions;
  deletions.reserve(keys.size());
  for (const auto& condition : keys) deletions.push_back({condition.key, std::nullopt, std::nullopt});
  // If the deletions don't fit even into an empty draft, the job is skipped. Otherwise the draft is full.
  if (add_changes(draft, keys, deletions) == DraftState::kFull)
    return draft.empty() ? DraftState::kOpen : DraftState::kFull;
  jobs_being_deleted_.insert(id);
  return DraftState::kOpen;
}

// Deletes a job's dependency keys if the job's record was deleted, or if it was never written and the
// submission was abandoned. The first key is deleted first, because a submission writes the job's record on
// the condition that this key exists unchanged.
DraftState GarbageCollector::delete_dependency_keys(const JobId& id,
                                                    const state_store::StateView::DependencyKeys& keys,
                                                    state_store::TxnDraft& draft) const {
  const auto& view = ctx_.view();
  if (auto job = view.jobs().find(id); job != view.jobs().end() && job->second.record.spec)
    return DraftState::kOpen;
  const auto age =
      std::chrono::milliseconds(ctx_.clock.wall().value() - keys.begin()->second.value.written.value());
  if (!view.terminal_record(id).exists() && age < kAbandonedSubmissionAge) return DraftState::kOpen;
  for (const auto& [index, value] : keys) {
    auto key = state_store::dependency_key(id, index);
    auto state = add_changes(draft, {{key, value.revision}, {state_store::job_key(id), Revision()}},
                             {{key, std::nullopt, std::nullopt}});
    if (state == DraftState::kFull) return state;
  }
  return DraftState::kOpen;
}

}  // namespace beaconsill::controller
