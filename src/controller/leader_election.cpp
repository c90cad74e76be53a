#include "controller/leader_election.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kCheckPeriod = std::chrono::milliseconds(200);
// Each candidate waits this much longer than the one before it, so that one acquires the role and the others
// see it.
constexpr Duration kCandidateDelay = std::chrono::milliseconds(1200);
// While a machine is silent, its shard stays where it is: the new shard leader would have to wait for it. But
// not for longer than so many times the usual delay.
constexpr int kMaxFailBackDelayFactor = 4;
}  // namespace

LeaderElection::LeaderElection(ControllerContext& ctx, Hooks hooks)
    : ctx_(ctx),
      hooks_(std::move(hooks)),
      liveness_(ctx),
      check_timer_(ctx.io_context, [this] { on_view(); }) {
  for (std::uint32_t number = 0; number < ctx.partitioning.shard_count(); ++number) {
    ShardId shard(number);
    shards_[shard].key = state_store::shard_role_key(shard);
    shards_[shard].shard = shard;
  }
  leader_.key = state_store::leader_role_key();
}

void LeaderElection::start() {
  liveness_.start();
  check_timer_.start(kCheckPeriod);
}

void LeaderElection::stop() {
  liveness_.stop();
  check_timer_.stop();
}

void LeaderElection::on_view() {
  if (!ctx_.watch_cache->ready()) return;
  // What was seen before a pause of the process, a vacant role or a preferred controller alive, may be over.
  if (!ctx_.roles_read_since_pause()) {
    reset_observations();
    return;
  }
  for (auto& [shard, state] : shards_) check(state, ctx_.view().shard_role(shard));
  check(leader_, ctx_.view().leader());
}

void LeaderElection::reset_observations() {
  for (auto& [shard, state] : shards_) {
    state.vacant_since.reset();
    state.preferred_alive_since.reset();
  }
  leader_.vacant_since.reset();
}

bool LeaderElection::is_own(const RoleRecord& role) const {
  return role.exists() && role.value.controller == ctx_.settings.controller;
}

void LeaderElection::check(RoleState& state, const RoleRecord& role) {
  check_superseded(state, role);
  if (state.writing) return;
  if (!state.acquired_term) {
    check_vacancy(state, role);
  } else if (state.shard) {
    check_fail_back(state, role, *state.shard);
  }
}

void LeaderElection::check_superseded(RoleState& state, const RoleRecord& role) {
  if (!state.acquired_term) return;
  if (is_own(role) && role.value.term <= *state.acquired_term) return;
  spdlog::info("role_lost role={} controller={} term={}", state.key, role.value.controller.value(),
               role.value.term.value());
  lose_role(state);
}

void LeaderElection::lose_role(RoleState& state) {
  state.acquired_term.reset();
  if (state.shard) {
    hooks_.release_shard(*state.shard);
  } else {
    hooks_.step_down();
  }
}

// A shard that another controller is preferred for fails back once that controller has been alive for a
// while.
void LeaderElection::check_fail_back(RoleState& state, const RoleRecord& role, ShardId shard) {
  const auto& preferred = ctx_.partitioning.preferred_controller(shard);
  if (preferred == ctx_.settings.controller || !ctx_.view().alive(preferred)) {
    state.preferred_alive_since.reset();
    return;
  }
  auto now = ctx_.now();
  if (!state.preferred_alive_since) {
    state.preferred_alive_since = now;
    return;
  }
  auto alive_for = now - *state.preferred_alive_since;
  if (alive_for <= ctx_.policy.fail_back_delay) return;
  if (!hooks_.is_stable(shard) && alive_for <= kMaxFailBackDelayFactor * ctx_.policy.fail_back_delay) return;
  state.preferred_alive_since.reset();
  fail_back(state, role, shard);
}

void LeaderElection::check_vacancy(RoleState& state, const RoleRecord& role) {
  if (!liveness_.liveness_written() || !ctx_.view().alive(ctx_.settings.controller)) return;
  // Acquired by an earlier process of this controller, or failed back to it.
  if (is_own(role)) {
    acquire(state, role);
    return;
  }
  if (role.exists() && ctx_.view().alive(role.value.controller)) {
    state.vacant_since.reset();
    return;
  }
  auto now = ctx_.now();
  if (!state.vacant_since) state.vacant_since = now;
  if (now - *state.vacant_since >= kCandidateDelay * static_cast<int>(candidate_rank(state.shard)))
    acquire(state, role);
}

// This controller's place among those that may acquire a vacant role: a shard's preferred controller first,
// then in a fixed order. Those that aren't alive don't count.
std::size_t LeaderElection::candidate_rank(std::optional<ShardId> shard) const {
  const auto& controllers = ctx_.partitioning.controllers();
  std::size_t count = controllers.size();
  std::size_t first = shard ? shard->value() : 0;
  std::size_t rank = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& controller = controllers[(first + i) % count];
    if (controller == ctx_.settings.controller) break;
    if (ctx_.view().alive(controller)) ++rank;
  }
  return rank;
}

void LeaderElection::acquire(RoleState& state, const RoleRecord& role) {
  state.writing = true;
  Term term(role.value.term.value() + 1);
  protocol::Txn txn;
  txn.conditions = {{state.key, role.revision}};
  // Only a holder that isn't alive, or is this very controller, may be replaced.
  if (role.exists() && role.value.controller != ctx_.settings.controller)
    txn.conditions.push_back({state_store::alive_key(role.value.controller), Revision()});
  state_store::Role acquired{ctx_.settings.controller, term, role.value.min_reader_version};
  txn.writes = {{state.key, state_store::to_json(acquired), std::nullopt}};
  auto done = [this, &state, txn, term](state_store::TxnResult result) {
    if (result) {
      on_acquired(state, term, txn, *result);
      return;
    }
    // Another controller won, or this one's transaction had no answer: read before trying again.
    ctx_.watch_cache->sync([&state](bool) { state.writing = false; });
  };
  ctx_.watch_cache->commit(txn, state_store::Urgency::kElection, std::move(done));
}

void LeaderElection::on_acquired(RoleState& state, Term term, const protocol::Txn& txn, Revision revision) {
  state.writing = false;
  state.vacant_since.reset();
  state.acquired_term = term;
  spdlog::info("role_acquired role={} term={}", state.key, term.value());
  ctx_.watch_cache->apply_own_txn(txn, revision);
  if (!state.acquired_term) return;  // lost again within the call above
  if (state.shard) {
    hooks_.acquire_shard(*state.shard, term);
  } else {
    hooks_.become_leader(term);
  }
}

void LeaderElection::fail_back(RoleState& state, const RoleRecord& role, ShardId shard) {
  const auto& preferred = ctx_.partitioning.preferred_controller(shard);
  // A process of an earlier version there couldn't read the role, and the shard would have no leader.
  if (ctx_.view().advertised_version(preferred).value_or(0) < role.value.min_reader_version) return;
  spdlog::info("shard_fail_back shard={} controller={}", shard.value(), preferred.value());
  // This controller goes on as the shard leader until it sees that the change was applied, as any that is
  // replaced does. If it stopped here and the state store did not answer, the leases of all the shard's
  // workers would expire. (Found when the state store failed at that moment.)
  protocol::Txn txn;
  txn.conditions = {{state.key, role.revision}};
  state_store::Role transferred{preferred, Term(state.acquired_term->value() + 1),
                                role.value.min_reader_version};
  txn.writes = {{state.key, state_store::to_json(transferred), std::nullopt}};
  state.writing = true;
  auto done = [this, &state, txn](state_store::TxnResult result) {
    state.writing = false;
    if (result) ctx_.watch_cache->apply_own_txn(txn, *result);
  };
  ctx_.store->txn(txn, state_store::Urgency::kElection, std::move(done));
}

}  // namespace beaconsill::controller
