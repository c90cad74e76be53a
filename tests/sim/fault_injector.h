// Fault injection: groups of two or three concurrent faults drawn at random, and those that a test scripts.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "sim/environment.h"
#include "sim/fault.h"
#include "sim/random_users.h"

namespace beaconsill::sim {

class FaultInjector {
 public:
  FaultInjector(Environment& env, Ledger& ledger, RandomUsers& users)
      : env_(env), ledger_(ledger), users_(users) {}

  // Schedules it.
  void add(const Fault& fault);
  // Schedules concurrent faults of two or three drawn kinds, each within seconds of the others, up to that
  // time.
  void draw_concurrent_faults(double end);
  // When the last of the scheduled ones is over.
  double over() const { return over_; }
  // The leader as the state store has it; none while there is none.
  std::optional<int> leader() const;

 private:
  void begin(const Fault& fault);
  void begin_at_controller(const Fault& fault, int controller);
  void begin_at_machine(const Fault& fault, Machine& machine);
  void begin_in_state_store(const Fault& fault);
  void begin_with_messages(const Fault& fault);
  void begin_with_users(const Fault& fault);
  void change_leaders(const Fault& fault);
  void repeat(double until, double period, const std::function<void()>& action);
  std::vector<int> select(const ControllerSelector& selector);
  std::vector<Machine*> select(const MachineSelector& selector);
  Fault draw(FaultKind kind);
  void adjust_to_kind(Fault& fault);

  Environment& env_;
  Ledger& ledger_;
  RandomUsers& users_;
  double over_ = 0;
};

}  // namespace beaconsill::sim
