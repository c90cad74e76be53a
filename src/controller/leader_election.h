// Elects controllers for the roles of leader and shard leader, by transactions on the state store.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "controller/controller_context.h"
#include "controller/liveness_lease.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Acquires vacant roles, fails shards back to their preferred controllers, and detects when this controller
// has lost a role. Owns this controller's liveness lease and the terms of the roles that this process has
// acquired. Failed requests are repeated. Doesn't throw; runs on the event loop's single thread.
class LeaderElection {
 public:
  // Called when this controller acquires or loses a role, and to query the shards that it leads.
  struct Hooks {
    std::function<void(ShardId, Term)> acquire_shard;
    std::function<void(ShardId)> release_shard;
    std::function<void(Term)> become_leader;
    std::function<void()> step_down;
    // Whether the shard is reconciled and all of its machines are reachable.
    std::function<bool(ShardId)> is_stable;
  };
  LeaderElection(ControllerContext& ctx, Hooks hooks);
  void start();
  void stop();
  // Called when roles or the liveness of controllers changed in the view, and by the timer.
  void on_roles_changed();

 private:
  // The state of a role in this process, in addition to the role's record in the state store.
  struct RoleState {
    std::string key;
    std::optional<ShardId> shard;       // std::nullopt for the leader's role
    std::optional<Term> acquired_term;  // the term under which this process has acquired the role
    bool write_pending = false;         // a transaction that changes the role is pending
    std::optional<Instant> vacant_since;
    std::optional<Instant>
        preferred_alive_since;  // set only while another controller is preferred for a shard led here
  };
  using RoleRecord = state_store::Versioned<state_store::Role>;

  void check_role(RoleState& state, const RoleRecord& role);
  void check_superseded(RoleState& state, const RoleRecord& role);
  void check_fail_back(RoleState& state, const RoleRecord& role, ShardId shard);
  void check_vacancy(RoleState& state, const RoleRecord& role);
  void acquire(RoleState& state, const RoleRecord& role);
  void on_acquired(RoleState& state, Term term, const protocol::Txn& txn, Revision revision);
  void fail_back(RoleState& state, const RoleRecord& role, ShardId shard);
  void on_role_lost(RoleState& state);
  void reset_observations();
  bool is_own(const RoleRecord& role) const;
  std::size_t candidate_rank(std::optional<ShardId> shard) const;

  ControllerContext& ctx_;
  Hooks hooks_;
  LivenessLease liveness_;
  PeriodicTimer check_timer_;
  std::map<ShardId, RoleState> shard_roles_;
  RoleState leader_role_;
};

}  // namespace beaconsill::controller
