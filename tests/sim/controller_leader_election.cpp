// Leader election: acquiring, keeping and failing back the roles (shard leaders and the scheduler's leader),
// as `controller::LeaderElection` does.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kCandidateDelay = 1.2;
constexpr double kFailBackDelay = 6;
constexpr int kUnstableFactor = 4;  // an unstable shard stays for so many times longer
}  // namespace

std::map<ShardId, Term> Controller::terms() const {
  std::map<ShardId, Term> out;
  for (std::uint32_t p = 0; p < env_.partitioning.shard_count(); ++p)
    if (const auto& r = view().shard_role(ShardId(p)); r.exists()) out[ShardId(p)] = r.value.term;
  return out;
}

void Controller::roles() {
  if (!ready()) return;
  for (std::uint32_t p = 0; p < env_.partitioning.shard_count(); ++p)
    role(state_store::shard_role_key(ShardId(p)), view().shard_role(ShardId(p)), ShardId(p));
  role(state_store::leader_role_key(), view().leader(), std::nullopt);
}

void Controller::role(const std::string& key, const state_store::Versioned<state_store::Role>& r,
                      std::optional<ShardId> shard) {
  auto& s = process_.roles[key];
  bool mine = r.exists() && r.value.controller == name();
  if (s.held && (!mine || r.value.term > *s.held)) lose_role(s, shard);
  if (s.acquiring) return;
  if (s.held) {
    if (shard) keep_or_fail_back(s, key, r, *shard);
    return;
  }
  if (!view().alive(name())) return;
  // Held by an earlier process of this controller, or given to it.
  if (mine) return acquire(key, r, shard);
  if (r.exists() && view().alive(r.value.controller)) {
    s.vacant_since.reset();
    return;
  }
  if (!s.vacant_since) s.vacant_since = now();
  if (now() - *s.vacant_since >= rank(shard) * kCandidateDelay) acquire(key, r, shard);
}

void Controller::lose_role(RoleState& s, std::optional<ShardId> shard) {
  s.held.reset();
  if (shard) {
    process_.shards.erase(*shard);
  } else {
    process_.scheduler.reset();
    process_.terminal_record.clear();
  }
}

void Controller::keep_or_fail_back(RoleState& s, const std::string& key,
                                   const state_store::Versioned<state_store::Role>& r, ShardId shard) {
  const auto& preferred_controller = env_.partitioning.preferred_controller(shard);
  if (preferred_controller == name() || !view().alive(preferred_controller)) {
    s.preferred_alive_since.reset();
    return;
  }
  if (!s.preferred_alive_since) s.preferred_alive_since = now();
  double away = now() - *s.preferred_alive_since;
  auto owned = process_.shards.find(shard);
  bool is_stable = owned != process_.shards.end() && owned->second.shard->is_stable(instant());
  if (away <= kFailBackDelay || (!is_stable && away <= kUnstableFactor * kFailBackDelay)) return;
  s.preferred_alive_since.reset();
  fail_back(key, r, shard);
}

int Controller::rank(std::optional<ShardId> shard) const {
  int first = shard ? static_cast<int>(shard->value()) : 0;
  int place = 0;
  for (int i = 0; i < kControllers; ++i) {
    int controller = (first + i) % kControllers;
    if (controller == number_) break;
    if (view().alive(controller_name(controller))) ++place;
  }
  return place;
}

void Controller::acquire(const std::string& key, const state_store::Versioned<state_store::Role>& r,
                         std::optional<ShardId> shard) {
  process_.roles[key].acquiring = true;
  Term term(r.value.term.value() + 1);
  protocol::Txn t{{{key, r.revision}},
                  {{key, state_store::to_json(state_store::Role{name(), term, r.value.min_reader_version}),
                    std::nullopt}}};
  // Only an owner that has terminated, or is this very controller, may be replaced.
  if (r.exists() && r.value.controller != name())
    t.conditions.push_back({state_store::alive_key(r.value.controller), Revision()});
  env_.state.txn(number_, t, [this, key, shard, term, t](state_store::TxnResult result) {
    auto& s = process_.roles[key];
    if (!result)
      return process_.watch_cache->sync([this, key](bool) { process_.roles[key].acquiring = false; });
    s.acquiring = false;
    s.vacant_since.reset();
    s.held = term;
    process_.watch_cache->apply_own(t, *result);
    if (!s.held) return;  // lost again within the call above
    if (shard) {
      acquire_shard(*shard, term);
    } else {
      become_leader(term);
    }
  });
}

// This controller goes on as the owner until it sees that the change was applied.
void Controller::fail_back(const std::string& key, const state_store::Versioned<state_store::Role>& r,
                           ShardId shard) {
  auto& s = process_.roles[key];
  state_store::Role next{env_.partitioning.preferred_controller(shard), Term(s.held->value() + 1)};
  protocol::Txn t{{{key, r.revision}}, {{key, state_store::to_json(next), std::nullopt}}};
  s.acquiring = true;
  env_.state.txn(number_, t, [this, key, t](state_store::TxnResult result) {
    process_.roles[key].acquiring = false;
    if (result) process_.watch_cache->apply_own(t, *result);
  });
}

}  // namespace beaconsill::sim
