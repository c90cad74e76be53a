// Election for the roles that controllers take: the leader's and those of the shard leaders.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "controller/controller_context.h"
#include "controller/liveness_lease.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Acquires vacant roles by transactions on the state store, fails shards back to their preferred controllers,
// and notices when a role is lost. Owns this controller's liveness lease and the terms of the roles that this
// process has acquired; the hooks say what follows from acquiring or losing one. Failed requests are
// repeated, nothing is thrown. One thread.
class LeaderElection {
 public:
  // What follows from acquiring or losing a role.
  struct Hooks {
    std::function<void(ShardId, Term)> acquire_shard;
    std::function<void(ShardId)> release_shard;
    std::function<void(Term)> become_leader;
    std::function<void()> step_down;
    // Whether no machine of the shard is suspected or lost at present.
    std::function<bool(ShardId)> is_stable;
  };
  LeaderElection(ControllerContext& ctx, Hooks hooks);
  void start();
  void stop();
  // Roles or liveness changed in the view.
  void on_view();

 private:
  // What this process knows of a role beside its record in the state store.
  struct RoleState {
    std::string key;
    std::optional<ShardId> shard;       // none: the leader's role
    std::optional<Term> acquired_term;  // by this process
    bool writing = false;
    std::optional<Instant> vacant_since;
    std::optional<Instant> preferred_alive_since;  // while this controller leads another's preferred shard
  };
  using RoleRecord = state_store::Versioned<state_store::Role>;

  void check(RoleState& state, const RoleRecord& role);
  void check_superseded(RoleState& state, const RoleRecord& role);
  void check_fail_back(RoleState& state, const RoleRecord& role, ShardId shard);
  void check_vacancy(RoleState& state, const RoleRecord& role);
  void acquire(RoleState& state, const RoleRecord& role);
  void on_acquired(RoleState& state, Term term, const protocol::Txn& txn, Revision revision);
  void fail_back(RoleState& state, const RoleRecord& role, ShardId shard);
  void lose_role(RoleState& state);
  void reset_observations();
  bool is_own(const RoleRecord& role) const;
  std::size_t candidate_rank(std::optional<ShardId> shard) const;

  ControllerContext& ctx_;
  Hooks hooks_;
  LivenessLease liveness_;
  PeriodicTimer check_timer_;
  std::map<ShardId, RoleState> shards_;
  RoleState leader_;
};

}  // namespace beaconsill::controller
