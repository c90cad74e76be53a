#include "controller/leadership.h"

#include <algorithm>

#include "controller/rate_limit_share.h"

namespace beaconsill::controller {
namespace {
// A transaction may use at most this many seconds' worth of the leader's write rate, because urgent
// transactions would otherwise wait behind it.
constexpr double kMaxTxnSeconds = 0.25;
// This many jobs are allowed in each transaction also at a low write rate. With fewer, each change would wait
// for the transaction before it.
constexpr std::size_t kMinChangesPerTxn = 8;
}  // namespace

void Leadership::begin_term(Term term) {
  term_ = term;
  ledger_read_ = false;
  ledger_read_pending_ = false;
  scheduler::SchedulerParams params;
  params.reply_wait = ctx_.policy.reply_wait;
  params.heartbeat_period = from_seconds(ctx_.settings.worker_heartbeat_period_s);
  params.longest_wait = ctx_.policy.longest_wait;
  params.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  params.max_grants_per_txn = max_changes_per_txn();
  scheduler_ = std::make_unique<scheduler::Scheduler>(params, ctx_.settings.teams, ctx_.settings.objectives);
}

void Leadership::read_ledger(std::function<void()> on_read) {
  if (ledger_read_ || ledger_read_pending_) return;
  ledger_read_pending_ = true;
  ctx_.watch_cache->sync([this, term = term_, on_read = std::move(on_read)](bool read) {
    if (stopped_ || !is_leader_under(term)) return;
    ledger_read_pending_ = false;
    ledger_read_ = read;
    if (read) on_read();
  });
}

std::optional<protocol::Condition> Leadership::leader_role_condition() const {
  const auto& role = ctx_.view().leader();
  if (!is_leader() || !ledger_read_ || !role.exists() || role.value.term != term_) return std::nullopt;
  return protocol::Condition{state_store::leader_role_key(), role.revision};
}

scheduler::ShardTerms Leadership::shard_terms() const {
  scheduler::ShardTerms terms;
  for (std::uint32_t number = 0; number < ctx_.partitioning.shard_count(); ++number) {
    const auto& role = ctx_.view().shard_role(ShardId(number));
    if (role.exists()) terms.set(ShardId(number), role.value.term);
  }
  return terms;
}

std::size_t Leadership::max_changes_per_txn() const {
  const auto rate = std::min(ctx_.settings.state_write_rps, ctx_.settings.next_state_write_rps);
  const auto changes = static_cast<std::size_t>(rate * kLeaderShareOfWrites * kMaxTxnSeconds);
  return std::min(ctx_.store->size_limits().txn_ops(), std::max(kMinChangesPerTxn, changes));
}

}  // namespace beaconsill::controller
