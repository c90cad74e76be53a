#include "controller/leader_election.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kCheckPeriod = std::chrono::milliseconds(200);
// Each candidate waits this much longer than the candidate that is ranked before it, so that one acquires the
// role and the others see that in time.
constexpr Duration kCandidateDelay = std::chrono::milliseconds(1200);
// A shard that isn't stable (see Hooks::is_stable) fails back later, since the new shard leader would have to
// wait for unreachable machines. The total delay is at most this multiple of the usual delay.
constexpr int kMaxFailBackDelayFactor = 4;
}  // namespace

LeaderElection::LeaderElection(ControllerContext& ctx, Hooks hooks)
    : ctx_(ctx),
      hooks_(std::move(hooks)),
      liveness_(ctx),
      check_timer_(ctx.io_context, [this] { on_roles_changed(); }) {
  for (std::uint32_t number = 0; number < ctx.partitioning.shard_count(); ++number) {
    ShardId shard(number);
    shard_roles_[shard].key = state_store::shard_role_key(shard);
    shard_roles_[shard].shard = shard;
  }
  leader_role_.key = state_store::leader_role_key();
}

void LeaderElection::start() {
  liveness_.start();
  check_timer_.start(kCheckPeriod);
}

void LeaderElection::stop() {
  liveness_.stop();
  check_timer_.stop();
}

void LeaderElection::on_roles_changed() {
  if (!ctx_.watch_cache->ready()) return;
  // Observations from before a pause of the process may be outdated: a role may no longer be vacant, and a
  // preferred controller no longer alive.
  if (!ctx_.roles_read_since_pause()) {
    reset_observations();
    return;
  }
  for (auto& [shard, state] : shard_roles_) check_role(state, ctx_.view().shard_role(shard));
  check_role(leader_role_, ctx_.view().leader());
}

void LeaderElection::reset_observations() {
  for (auto& [shard, state] : shard_roles_) {
    state.vacant_since.reset();
    state.preferred_alive_since.reset();
  }
  leader_role_.vacant_since.reset();
}

bool LeaderElection::is_own(const RoleRecord& role) const {
  return role.exists() && role.value.controller == ctx_.settings.controller;
}

void LeaderElection::check_role(RoleState& state, const RoleRecord& role) {
  check_superseded(state, role);
  if (state.write_pending) return;
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
  on_role_lost(state);
}

void LeaderElection::on_role_lost(RoleState& state) {
  state.acquired_term.reset();
  if (state.shard) {
    hooks_.release_shard(*state.shard);
  } else {
    hooks_.step_down();
  }
}

// A shard for which another controller is preferred fails back once that controller has been alive for the
// policy's delay.
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
  // The role was acquired by an earlier process of this controller, or the shard was failed back to it.
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

// This controller's rank, from 0, among the candidates for a vacant role. A shard's preferred controller is
// the first, and the others follow in a fixed order. Controllers that aren't alive are not counted.
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
  state.write_pending = true;
  Term term(role.value.term.value() + 1);
  protocol::Txn txn;
  txn.conditions = {{state.key, role.revision}};
  // A controller that has the role may be replaced only if it isn't alive or is this controller itself.
  if (role.exists() && role.value.controller != ctx_.settings.controller)
    txn.conditions.push_back({state_store::alive_key(role.value.controller), Revision()});
  state_store::Role acquired{ctx_.settings.controller, term, role.value.min_reader_version};
  txn.writes = {{state.key, state_store::to_json(acquired), std::nullopt}};
  auto done = [this, &state, txn, term](state_store::TxnResult result) {
    if (result) {
      on_acquired(state, term, txn, *result);
      return;
    }
    // Another controller acquired the role, or the transaction's outcome is unknown: read the state before
    // trying again.
    ctx_.watch_cache->sync([&state](bool) { state.write_pending = false; });
  };
  ctx_.watch_cache->commit(txn, state_store::Urgency::kElection, std::move(done));
}

void LeaderElection::on_acquired(RoleState& state, Term term, const protocol::Txn& txn, Revision revision) {
  state.write_pending = false;
  state.vacant_since.reset();
  state.acquired_term = term;
  spdlog::info("role_acquired role={} term={}", state.key, term.value());
  ctx_.watch_cache->apply_own_txn(txn, revision);
  if (!state.acquired_term) return;  // the role was lost again within the call above
  if (state.shard) {
    hooks_.acquire_shard(*state.shard, term);
  } else {
    hooks_.become_leader(term);
  }
}

void LeaderElection::fail_back(RoleState& state, const RoleRecord& role, ShardId shard) {
  const auto& preferred = ctx_.partitioning.preferred_controller(shard);
  // If the preferred controller's version is too old to read the role's record, the shard would have no
  // leader after the fail-back.
  if (ctx_.view().advertised_version(preferred).value_or(0) < role.value.min_reader_version) return;
  spdlog::info("shard_fail_back shard={} controller={}", shard.value(), preferred.value());
  // Like every controller that is replaced, this one remains the shard leader until it sees that the change
  // was applied. If it stepped down here and the state store failed at this moment, the leases of all the
  // shard's workers would expire.
  protocol::Txn txn;
  txn.conditions = {{state.key, role.revision}};
  state_store::Role transferred{preferred, Term(state.acquired_term->value() + 1),
                                role.value.min_reader_version};
  txn.writes = {{state.key, state_store::to_json(transferred), std::nullopt}};
  state.write_pending = true;
  auto done = [this, &state, txn](state_store::TxnResult result) {
    state.write_pending = false;
    if (result) ctx_.watch_cache->apply_own_txn(txn, *result);
  };
  ctx_.store->txn(txn, state_store::Urgency::kElection, std::move(done));
}

}  // namespace beaconsill::controller
