// Leader election: acquires, retains and fails back the roles (shard leaders and the scheduler's leader).
// Simulation counterpart of `controller::LeaderElection`.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kCandidateDelay = 1.2;
constexpr double kFailBackDelay = 6;
constexpr int kUnstableDelayFactor = 4;  // applied to the fail-back delay of an unstable shard
}  // namespace

scheduler::ShardTerms Controller::terms() const {
  scheduler::ShardTerms terms;
  for (std::uint32_t number = 0; number < env_.partitioning.shard_count(); ++number)
    if (const auto& role = view().shard_role(ShardId(number)); role.exists())
      terms.set(ShardId(number), role.value.term);
  return terms;
}

void Controller::check_roles() {
  if (!ready()) return;
  for (std::uint32_t number = 0; number < env_.partitioning.shard_count(); ++number)
    check_role(state_store::shard_role_key(ShardId(number)), view().shard_role(ShardId(number)),
               ShardId(number));
  check_role(state_store::leader_role_key(), view().leader(), std::nullopt);
}

void Controller::check_role(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                            std::optional<ShardId> shard) {
  auto& state = process_.roles[key];
  bool held_by_this_controller = role.exists() && role.value.controller == name();
  if (state.held_term && (!held_by_this_controller || role.value.term > *state.held_term))
    lose_role(state, shard);
  if (state.acquiring) return;
  if (state.held_term) {
    if (shard) check_fail_back(state, key, role, *shard);
    return;
  }
  if (!view().alive(name())) return;
  // An earlier process of this controller held the role, or another controller failed it back to this one.
  if (held_by_this_controller) return acquire(key, role, shard);
  if (role.exists() && view().alive(role.value.controller)) {
    state.vacant_since.reset();
    return;
  }
  if (!state.vacant_since) state.vacant_since = now();
  if (now() - *state.vacant_since >= rank(shard) * kCandidateDelay) acquire(key, role, shard);
}

void Controller::lose_role(RoleState& state, std::optional<ShardId> shard) {
  state.held_term.reset();
  if (shard) {
    process_.shards.erase(*shard);
  } else {
    process_.scheduler.reset();
    process_.pending_terminal_records.clear();
  }
}

void Controller::check_fail_back(RoleState& state, const std::string& key,
                                 const state_store::Versioned<state_store::Role>& role, ShardId shard) {
  const auto& preferred_controller = env_.partitioning.preferred_controller(shard);
  if (preferred_controller == name() || !view().alive(preferred_controller)) {
    state.preferred_alive_since.reset();
    return;
  }
  if (!state.preferred_alive_since) state.preferred_alive_since = now();
  double preferred_alive_s = now() - *state.preferred_alive_since;
  auto led = process_.shards.find(shard);
  bool is_stable = led != process_.shards.end() && led->second.shard->is_stable(instant());
  if (preferred_alive_s <= kFailBackDelay ||
      (!is_stable && preferred_alive_s <= kUnstableDelayFactor * kFailBackDelay))
    return;
  state.preferred_alive_since.reset();
  fail_back(key, role, shard);
}

// Returns this controller's rank, from 0, among the candidates for a vacant role. A shard's preferred
// controller comes first, and controllers that are not alive are not counted.
int Controller::rank(std::optional<ShardId> shard) const {
  int first_candidate = shard ? static_cast<int>(shard->value()) : 0;
  int position = 0;
  for (int i = 0; i < kControllers; ++i) {
    int controller = (first_candidate + i) % kControllers;
    if (controller == number_) break;
    if (view().alive(controller_name(controller))) ++position;
  }
  return position;
}

void Controller::acquire(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                         std::optional<ShardId> shard) {
  process_.roles[key].acquiring = true;
  Term term(role.value.term.value() + 1);
  protocol::Txn txn{
      {{key, role.revision}},
      {{key, state_store::to_json(state_store::Role{name(), term, role.value.min_reader_version}),
        std::nullopt}}};
  // A leader may be replaced only if its liveness key is gone or if it is this controller itself.
  if (role.exists() && role.value.controller != name())
    txn.conditions.push_back({state_store::alive_key(role.value.controller), Revision()});
  env_.state.txn(number_, txn, [this, key, shard, term, txn](state_store::TxnResult result) {
    auto& state = process_.roles[key];
    if (!result)
      return process_.watch_cache->sync([this, key](bool) { process_.roles[key].acquiring = false; });
    state.acquiring = false;
    state.vacant_since.reset();
    state.held_term = term;
    process_.watch_cache->apply_own_txn(txn, *result);
    if (!state.held_term) return;  // apply_own_txn() may have processed the loss of the role
    if (shard) {
      acquire_shard(*shard, term);
    } else {
      become_leader(term);
    }
  });
}

// Transfers the shard to its preferred controller. This controller continues as the shard's leader until its
// view includes the change.
void Controller::fail_back(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                           ShardId shard) {
  auto& state = process_.roles[key];
  state_store::Role next{env_.partitioning.preferred_controller(shard), Term(state.held_term->value() + 1)};
  protocol::Txn txn{{{key, role.revision}}, {{key, state_store::to_json(next), std::nullopt}}};
  state.acquiring = true;
  env_.state.txn(number_, txn, [this, key, txn](state_store::TxnResult result) {
    process_.roles[key].acquiring = false;
    if (result) process_.watch_cache->apply_own_txn(txn, *result);
  });
}

}  // namespace beaconsill::sim
