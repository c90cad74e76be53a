#include "controller/grant_writer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"
#include "state_store/txn_draft.h"
#include "state_store/value_sizes.h"

namespace beaconsill::controller {
namespace {
// Bytes of a transaction that a grant takes beside its value, at most: its key, its conditions and its share
// of the other conditions.
constexpr std::size_t kKeysOfGrantBytes = 400;
// Of the limit for a value, what grants are cut to.
constexpr double kValueShare = 0.9;
}  // namespace

GrantWriter::GrantWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership,
                         std::function<void()> on_written)
    : ctx_(ctx), messenger_(messenger), leadership_(leadership), on_written_(std::move(on_written)) {}

void GrantWriter::write(Grants grants, const protocol::Condition& leader, state_store::Urgency urgency) {
  drop_oversized(grants);
  if (grants.empty()) {
    leadership_.scheduler().on_granted({}, std::nullopt, ctx_.now());
    return;
  }
  auto txn = build_txn(grants, leader);
  auto done = [this, txn, term = leadership_.term(), grants](state_store::TxnResult result) {
    if (!leadership_.is_leader_under(term)) return;
    if (result) {
      on_written(grants, txn, *result);
      return;
    }
    // It may have been applied, or something else was: read before the next round.
    ctx_.watch_cache->sync([this, term, grants](bool) {
      if (!leadership_.is_leader_under(term)) return;
      leadership_.scheduler().on_granted(grants, std::nullopt, ctx_.now());
    });
  };
  ctx_.watch_cache->commit(txn, urgency, std::move(done));
}

void GrantWriter::on_written(const Grants& grants, const protocol::Txn& txn, Revision revision) {
  for (const auto& grant : grants)
    for (const auto& chunk : grant.grants.chunks)
      spdlog::debug("tasks_granted job={} shard={} count={} preempt={}", grant.job.value(),
                    chunk.shard.value(), chunk.tasks.count(), chunk.preempt);
  leadership_.scheduler().on_granted(grants, revision, ctx_.now());
  ctx_.watch_cache->apply_own_txn(txn, revision);
  messenger_.broadcast(protocol::ChangeNotification{revision});
  on_written_();
}

// The state store refuses values beyond its limit, and with them the whole transaction.
void GrantWriter::drop_oversized(Grants& grants) const {
  auto max_bytes =
      static_cast<std::size_t>(static_cast<double>(ctx_.store->size_limits().value_bytes()) * kValueShare);
  bool superseding_dropped = false;
  std::erase_if(grants, [&](auto& grant) {
    const auto* job = ctx_.view().job(grant.job);
    auto recorded = job ? job->grants.value.last : Generation();
    if (fits_value(grant, recorded, max_bytes)) return false;
    superseding_dropped |= grant.grants.last <= recorded;
    spdlog::info("grants_oversized job={} reason=too_many_pieces_for_one_value", grant.job.value());
    leadership_.scheduler().on_oversized(grant.job);
    return true;
  });
  // A superseding write has to be in the same transaction as the new grants: otherwise an in-flight
  // transaction could be carried out beside them.
  if (superseding_dropped) {
    grants.clear();
    return;
  }
  fit_transaction(grants);
}

// Cuts new grants to the limit of a value; what is revoked or only written again can't be cut.
bool GrantWriter::fits_value(scheduler::Scheduler::Grant& grant, Generation recorded,
                             std::size_t max_bytes) const {
  if (grant.grants.revoke || grant.grants.last <= recorded)
    return state_store::value_bytes(state_store::to_json(grant.grants)) <= max_bytes;
  return state_store::truncate_grants(grant.grants, recorded, max_bytes);
}

// Leaves out grants beyond what a transaction holds: they come with the next round. Superseding writes come
// first, and alone if not all of them fit.
void GrantWriter::fit_transaction(Grants& grants) const {
  auto supersedes = [&](const auto& grant) {
    const auto* job = ctx_.view().job(grant.job);
    return job && grant.grants.last <= job->grants.value.last;
  };
  std::stable_partition(grants.begin(), grants.end(), supersedes);
  std::size_t bytes = 0;
  auto full = std::find_if(grants.begin(), grants.end(), [&](const auto& grant) {
    bytes += state_store::value_bytes(state_store::to_json(grant.grants)) + kKeysOfGrantBytes;
    return bytes > state_store::kMaxTxnBytes;
  });
  grants.erase(full, grants.end());
}

protocol::Txn GrantWriter::build_txn(const Grants& grants, const protocol::Condition& leader) const {
  protocol::Txn txn;
  txn.conditions.push_back(leader);
  std::set<ShardId> depends_on_shards;
  for (const auto& grant : grants)
    depends_on_shards.insert(grant.depends_on_shards.begin(), grant.depends_on_shards.end());
  for (auto shard : depends_on_shards)
    txn.conditions.push_back({state_store::shard_role_key(shard), ctx_.view().shard_role(shard).revision});
  for (const auto& grant : grants) {
    txn.conditions.push_back({state_store::grants_key(grant.job), grant.expected});
    txn.conditions.push_back({state_store::terminal_key(grant.job), Revision()});
    txn.writes.push_back(
        {state_store::grants_key(grant.job), state_store::to_json(grant.grants), std::nullopt});
  }
  return txn;
}

}  // namespace beaconsill::controller
