// Liveness of this node, and the roles that it takes: owner of parts, leader.
#pragma once

#include <map>
#include <optional>

#include "node/context.h"

namespace beaconsill::node {

// Owns this node's hold in the state service and the terms of the roles that this process has taken; the
// hooks say what follows from taking or losing one. Failed requests are repeated, nothing is thrown.
class RolesDuty {
 public:
  struct Hooks {
    std::function<void(PartId, Term)> own;
    std::function<void(PartId)> disown;
    std::function<void(Term)> lead;
    std::function<void()> unlead;
    // Whether the part is in good order: nothing of it is lost or in doubt at present.
    std::function<bool(PartId)> settled;
  };
  RolesDuty(Context& ctx, Hooks hooks);
  void start();
  void stop();
  // Roles or liveness changed in the view.
  void on_view();

 private:
  struct RoleState {
    std::string key;
    std::optional<Term> held;  // by this process
    bool claiming = false;
    std::optional<Instant> vacant_since;
    std::optional<Instant> home_since;  // away from its home, which is alive
  };
  void beat();
  void write_alive();
  void check(RoleState& s, const store::Versioned<store::Role>& role, std::optional<PartId> part);
  void claim(RoleState& s, const store::Versioned<store::Role>& role, std::optional<PartId> part);
  void hand_back(RoleState& s, const store::Versioned<store::Role>& role, PartId part);
  void lose(RoleState& s, std::optional<PartId> part);
  void forget_waits();
  std::size_t rank(std::optional<PartId> part) const;

  Context& ctx_;
  Hooks hooks_;
  Repeater beat_, check_;
  std::optional<HoldId> hold_;
  bool beating_ = false;
  bool alive_written_ = false;
  std::map<PartId, RoleState> parts_;
  RoleState leader_;
};

}  // namespace beaconsill::node
