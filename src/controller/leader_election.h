// Liveness of this controller, and the roles that it takes: owner of shards, leader.
#pragma once

#include <map>
#include <optional>

#include "controller/controller_context.h"

namespace beaconsill::controller {

// Owns this controller's hold in the state store and the terms of the roles that this process has taken; the
// hooks say what follows from taking or losing one. Failed requests are repeated, nothing is thrown.
class LeaderElection {
 public:
  struct Hooks {
    std::function<void(ShardId, Term)> acquire_shard;
    std::function<void(ShardId)> release_shard;
    std::function<void(Term)> become_leader;
    std::function<void()> step_down;
    // Whether the shard is in good order: nothing of it is lost or in doubt at present.
    std::function<bool(ShardId)> is_stable;
  };
  LeaderElection(ControllerContext& ctx, Hooks hooks);
  void start();
  void stop();
  // Roles or liveness changed in the view.
  void on_view();

 private:
  struct RoleState {
    std::string key;
    std::optional<Term> held;  // by this process
    bool acquiring = false;
    std::optional<Instant> vacant_since;
    std::optional<Instant> preferred_alive_since;  // away from its home, which is alive
  };
  void keep_alive();
  void write_liveness();
  void check(RoleState& s, const state_store::Versioned<state_store::Role>& role,
             std::optional<ShardId> shard);
  void acquire(RoleState& s, const state_store::Versioned<state_store::Role>& role,
               std::optional<ShardId> shard);
  void fail_back(RoleState& s, const state_store::Versioned<state_store::Role>& role, ShardId shard);
  void lose_role(RoleState& s, std::optional<ShardId> shard);
  void reset_vacancy_timers();
  std::size_t rank(std::optional<ShardId> shard) const;

  ControllerContext& ctx_;
  Hooks hooks_;
  PeriodicTimer keep_alive_, check_;
  std::optional<LeaseId> lease_;
  bool keep_alive_pending_ = false;
  bool liveness_written_ = false;
  std::map<ShardId, RoleState> shards_;
  RoleState leader_;
};

}  // namespace beaconsill::controller
