// What the leader records beside its grants: how jobs ended, which versions the controllers know; and what it
// drops.
#include <algorithm>

#include "base/log.h"
#include "node/leader_duty.h"

namespace beaconsill::node {
namespace {
constexpr Duration kEndAgain = std::chrono::milliseconds(500);
// Keys dropped in one transaction: it must not hold up changes that somebody waits for.
constexpr std::size_t kMostDropped = 8;
// Users retry a submission for a minute; a transaction may be carried out minutes late.
constexpr Duration kSubmissionGivenUp = std::chrono::minutes(15);

// The version that all controllers have shown at least.
std::uint32_t least_of(const store::Versions& versions, const std::vector<NodeName>& nodes) {
  auto least = store::kFormatVersion;
  for (const auto& node : nodes) least = std::min(least, versions.at(node));
  return least;
}

}  // namespace

void LeaderDuty::write_ends() {
  if (!still_leader() || ctx_.now() < ends_again_) return;
  std::vector<JobId> ids;
  for (const auto& id : lead_->finished()) {
    if (ending_.contains(id) || ids.size() >= changes_at_once()) continue;
    const auto* job = ctx_.view().job(id);
    if (!job) continue;
    ids.push_back(id);
    if (auto late = lead_->late(id, ctx_.clock.wall()))
      spdlog::info("{} ({}, {} tasks) is done, {:.1f} s late", id.value(), job->record.spec->job_class,
                   job->record.spec->tasks, to_seconds(*late));
  }
  write_ends(ids, store::End::kDone, store::Urgency::kUser);
}

void LeaderDuty::write_cancelled() {
  auto most = std::min(changes_at_once(), ctx_.store->spare_writes());
  if (!still_leader() || most == 0 || ctx_.now() < ends_again_) return;
  std::vector<JobId> ids;
  for (const auto& id : ctx_.view().dependencies().unrecorded()) {
    if (ids.size() >= most) break;
    // One batch of these at a time: they only wait to be tidied.
    if (ending_.contains(id)) return;
    ids.push_back(id);
  }
  write_ends(ids, store::End::kCancelled, store::Urgency::kTidy);
}

// Until every controller has shown this version, nothing is written that an earlier one would misread. With
// the last of them the leader's role is written so that no earlier version can take it: it would start jobs
// that wait for others.
void LeaderDuty::write_versions() {
  auto leader = still_leader();
  if (!leader || writing_versions_) return;
  const auto& view = ctx_.view();
  auto versions = view.versions().value;
  for (const auto& node : ctx_.parting.nodes()) {
    auto& shown = versions[node];
    shown = std::max(shown, view.alive_shows(node).value_or(0));
  }
  if (versions == view.versions().value) return;
  wire::Txn t;
  t.conditions = {*leader, {store::versions_key(), view.versions().version}};
  t.writes = {{store::versions_key(), store::to_json(versions), std::nullopt}};
  const auto all_read = least_of(versions, ctx_.parting.nodes());
  auto role = view.leader().value;
  if (all_read > role.readable_since) {
    role.readable_since = all_read;
    t.writes.push_back({store::leader_role_key(), store::to_json(role), std::nullopt});
  }
  writing_versions_ = true;
  // Users are refused until it is written.
  ctx_.store->txn(t, store::Urgency::kUser, [this, t, all_read](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      writing_versions_ = false;
      spdlog::info("all controllers know version {}", all_read);
      return ctx_.mirror->apply_own(t, r.revision);
    }
    ctx_.mirror->sync([this](bool) { writing_versions_ = false; });
  });
}

void LeaderDuty::write_ends(const std::vector<JobId>& ids, store::End end, store::Urgency urgency) {
  auto leader = still_leader();
  if (ids.empty() || !leader) return;
  wire::Txn t;
  t.conditions.push_back(*leader);
  for (const auto& id : ids) {
    store::Ending ending{end, 0, ctx_.clock.wall()};
    if (const auto* job = ctx_.view().job(id); job && end == store::End::kDone)
      ending.done = job->record.spec->tasks;
    t.conditions.push_back({store::end_key(id), Revision()});
    t.writes.push_back({store::end_key(id), store::to_json(ending), std::nullopt});
  }
  ending_.insert(ids.begin(), ids.end());
  ctx_.mirror->commit(t, urgency, [this, t, ids](store::TxnResult r) {
    auto over = [this, ids] {
      for (const auto& id : ids) ending_.erase(id);
    };
    if (r.outcome == store::Outcome::kOk) {
      ctx_.mirror->apply_own(t, r.revision);
      peers_.broadcast(wire::Nudge{r.revision});
      return over();
    }
    // During an outage, trying again at once would only use up the budget.
    ends_again_ = ctx_.now() + kEndAgain;
    ctx_.mirror->sync([over](bool) { over(); });
  });
}

// Drops what is no longer needed of jobs that are over; how they ended is kept.
void LeaderDuty::tidy() {
  auto leader = still_leader();
  auto spare = ctx_.store->spare_writes();
  if (!leader || !tidying_.empty() || spare == 0) return;
  store::TxnDraft draft(std::min({ctx_.store->sizes().txn_ops(), kMostDropped, spare}));
  draft.require(*leader);
  for (const auto& id : lead_->drained())
    if (!drop_job(id, draft)) break;
  for (const auto& [id, keys] : ctx_.view().all_awaits_keys())
    if (!drop_awaits(id, keys, draft)) break;
  if (draft.empty()) return;
  ctx_.store->txn(draft.txn(), store::Urgency::kTidy, [this, t = draft.txn()](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      ctx_.mirror->apply_own(t, r.revision);
      return tidying_.clear();
    }
    ctx_.mirror->sync([this](bool) { tidying_.clear(); });
  });
}

// Adds the keys of a job that is over to those to be dropped. False: no more fits.
bool LeaderDuty::drop_job(const JobId& id, store::TxnDraft& draft) {
  const auto* job = ctx_.view().job(id);
  // Without an end of its own, others that it was cancelled through are still needed to know its state.
  if (!job || !ctx_.view().ending(id).exists()) return true;
  // The job's record last: if not all go at once, what is left is still known to be of a job that is over.
  std::vector<wire::Condition> keys;
  if (job->grants.exists()) keys.push_back({store::grants_key(id), job->grants.version});
  for (const auto& [part, p] : job->progress) keys.push_back({store::progress_key(part, id), p.version});
  keys.push_back({store::job_key(id), job->created});
  keys.resize(std::min(keys.size(), ctx_.store->sizes().txn_ops()));
  std::vector<wire::Write> drops;
  drops.reserve(keys.size());
  for (const auto& k : keys) drops.push_back({k.key, std::nullopt, std::nullopt});
  if (!draft.add(keys, drops)) return draft.empty();
  tidying_.insert(id);
  return true;
}

// The same for the keys with the jobs that a job awaits, once its record is gone, or was never written and
// its user has long given up. The first key goes first, on which the record's transaction is conditional.
bool LeaderDuty::drop_awaits(const JobId& id, const store::View::AwaitsKeys& keys, store::TxnDraft& draft) {
  const auto& view = ctx_.view();
  if (auto job = view.jobs().find(id); job != view.jobs().end() && job->second.record.spec) return true;
  const auto age =
      std::chrono::milliseconds(ctx_.clock.wall().value() - keys.begin()->second.value.written.value());
  if (!view.ending(id).exists() && age < kSubmissionGivenUp) return true;
  for (const auto& [piece, value] : keys) {
    auto key = store::awaits_key(id, piece);
    if (!draft.add({{key, value.version}, {store::job_key(id), Revision()}},
                   {{key, std::nullopt, std::nullopt}}))
      return false;
  }
  return true;
}

}  // namespace beaconsill::node
