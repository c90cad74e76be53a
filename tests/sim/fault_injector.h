// Injects faults into the simulation: groups of two or three concurrent random faults, and faults scripted by
// a test.
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

  // Schedules the fault to begin at `fault.at_s`.
  void schedule(const Fault& fault);
  // Schedules groups of two or three concurrent faults of random kinds. No group begins at or after `end`, in
  // simulated seconds.
  void schedule_random_faults(double end);
  // Returns the simulated time in seconds at which the last of the scheduled faults ends.
  double last_fault_end() const { return last_fault_end_; }
  // Returns the leader recorded in the state store, or std::nullopt if none is recorded.
  std::optional<int> leader() const;

 private:
  void begin(const Fault& fault);
  void begin_controller_fault(const Fault& fault, int controller);
  void begin_machine_fault(const Fault& fault, Machine& machine);
  void begin_state_store_fault(const Fault& fault);
  void begin_network_fault(const Fault& fault);
  void begin_user_fault(const Fault& fault);
  void crash_leader_repeatedly(const Fault& fault);
  void repeat(double until, double period, const std::function<void()>& action);
  std::vector<int> select(const ControllerSelector& selector);
  std::vector<Machine*> select(const MachineSelector& selector);
  Fault draw_random_fault(FaultKind kind);
  void adjust_to_kind(Fault& fault);

  Environment& env_;
  Ledger& ledger_;
  RandomUsers& users_;
  double last_fault_end_ = 0;
};

}  // namespace beaconsill::sim
