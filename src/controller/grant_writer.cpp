#include "controller/grant_writer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"
#include "state_store/txn_draft.h"
#include "state_store/value_sizes.h"

namespace beaconsill::controller {
namespace {
// Upper bound, in bytes, for what one job's grants add to a transaction besides the value: the key, the
// conditions on the job's keys and the job's share of the other conditions.
constexpr std::size_t kMaxGrantOverheadBytes = 400;
// Grants are trimmed to this fraction of the state store's limit for a value.
constexpr double kMaxFractionOfValueLimit = 0.9;
}  // namespace

GrantWriter::GrantWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership,
                         std::function<void()> on_written)
    : ctx_(ctx), messenger_(messenger), leadership_(leadership), on_written_(std::move(on_written)) {}

void GrantWriter::write(Grants grants, const protocol::Condition& leader, state_store::Urgency urgency) {
  drop_grants_over_limits(grants);
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
    // The transaction may have been applied, or a conflicting one was: read the state before the next round.
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

// Trims or drops grants because the state store rejects the whole transaction if it exceeds a size limit. A
// superseding write is one that writes a job's recorded grants again, without new ones, so that an in-flight
// transaction with the same expected revision fails.
void GrantWriter::drop_grants_over_limits(Grants& grants) const {
  auto max_bytes = static_cast<std::size_t>(static_cast<double>(ctx_.store->size_limits().value_bytes()) *
                                            kMaxFractionOfValueLimit);
  bool superseding_dropped = false;
  std::erase_if(grants, [&](auto& grant) {
    const auto* job = ctx_.view().job(grant.job);
    auto recorded = job ? job->grants.value.last : Generation();
    if (trim_to_value_limit(grant, recorded, max_bytes)) return false;
    superseding_dropped |= grant.grants.last <= recorded;
    spdlog::info("grants_oversized job={} reason=encoded_grants_exceed_value_size_limit", grant.job.value());
    leadership_.scheduler().on_oversized(grant.job);
    return true;
  });
  // All superseding writes have to be in the same transaction as the new grants. Otherwise the in-flight
  // transaction that they supersede could still be applied in addition to the new grants.
  if (superseding_dropped) {
    grants.clear();
    return;
  }
  trim_to_txn_limit(grants);
}

// Trims new grants to `max_bytes` and returns whether the value is within that limit. Grants that are revoked
// and superseding writes can't be trimmed.
bool GrantWriter::trim_to_value_limit(scheduler::Scheduler::Grant& grant, Generation recorded,
                                      std::size_t max_bytes) const {
  if (grant.grants.revoke || grant.grants.last <= recorded)
    return state_store::value_bytes(state_store::to_json(grant.grants)) <= max_bytes;
  return state_store::truncate_grants(grant.grants, recorded, max_bytes);
}

// Drops grants beyond the size limit of a transaction; the next round decides on them again. Superseding
// writes are placed first: if not all of them fit, the transaction contains no new grants.
void GrantWriter::trim_to_txn_limit(Grants& grants) const {
  auto supersedes = [&](const auto& grant) {
    const auto* job = ctx_.view().job(grant.job);
    return job && grant.grants.last <= job->grants.value.last;
  };
  std::stable_partition(grants.begin(), grants.end(), supersedes);
  std::size_t bytes = 0;
  auto first_excess = std::find_if(grants.begin(), grants.end(), [&](const auto& grant) {
    bytes += state_store::value_bytes(state_store::to_json(grant.grants)) + kMaxGrantOverheadBytes;
    return bytes > state_store::kMaxTxnBytes;
  });
  grants.erase(first_excess, grants.end());
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
