// Draws the concurrent faults of random schedules: their kinds, times, durations and targets.
#include "sim/controller.h"
#include "sim/fault_injector.h"

namespace beaconsill::sim {
namespace {
constexpr double kFirstFaultsAt = 12;            // in simulated seconds
constexpr double kConcurrencyWindowSeconds = 4;  // all faults of one group begin within this time
}  // namespace

void FaultInjector::schedule_random_faults(double end) {
  auto& queue = env_.queue;
  last_fault_end_ = std::max(last_fault_end_, end);
  int available_kinds = env_.options.operations ? kFaultKinds : kFaultKindsWithoutOperations;
  for (double begin_s = kFirstFaultsAt; begin_s < end; begin_s += queue.uniform(8, 26)) {
    int fault_count = 2 + queue.draw_below(2);
    for (int i = 0; i < fault_count; ++i) {
      auto fault = draw_random_fault(static_cast<FaultKind>(queue.draw_below(available_kinds)));
      fault.at_s = begin_s + queue.uniform(0, kConcurrencyWindowSeconds);
      schedule(fault);
    }
  }
}

Fault FaultInjector::draw_random_fault(FaultKind kind) {
  auto& queue = env_.queue;
  Fault fault;
  fault.kind = kind;
  fault.duration_s = queue.uniform(4, 25);
  fault.share = queue.uniform(0.1, 0.6);
  fault.deliver_later = queue.draw_bool(0.5);
  fault.controllers = queue.draw_bool(0.5) ? ControllerSelector::leader() : ControllerSelector::random();
  fault.machines = queue.draw_bool(0.3)
                       ? MachineSelector::in_zone(zones()[static_cast<std::size_t>(queue.draw_below(3))])
                       : MachineSelector::random(1 + queue.draw_below(4));
  fault.zone = zones()[static_cast<std::size_t>(queue.draw_below(3))];
  fault.count = 1 + queue.draw_below(6);
  adjust_to_kind(fault);
  return fault;
}

// Replaces the values that are unsuitable for the kind of the fault.
void FaultInjector::adjust_to_kind(Fault& fault) {
  auto& queue = env_.queue;
  switch (fault.kind) {
    case FaultKind::kControllerCrash: {
      constexpr double kRestartDelays[] = {0.1, 0.15, 1, 3, 13};
      fault.duration_s = kRestartDelays[queue.draw_below(5)];
      if (queue.draw_bool(0.25)) fault.controllers = ControllerSelector::all();
      break;
    }
    case FaultKind::kControllerPause:
      fault.duration_s = queue.uniform(1, 12);
      if (queue.draw_bool(0.7))
        fault.before_callback =
            static_cast<CallbackKind>(queue.draw_below(static_cast<int>(CallbackKind::kUserRequest) + 1));
      break;
    case FaultKind::kRepeatedFailover:
      fault.duration_s = queue.uniform(15, 40);
      fault.period_s = queue.uniform(6, 13);
      break;
    case FaultKind::kStateOutage:
      fault.duration_s = queue.draw_bool(0.25) ? kCancelLimit + queue.uniform(0, 15) : queue.uniform(3, 15);
      break;
    case FaultKind::kMachineHangs:
      fault.duration_s = queue.uniform(1, 30);
      break;
    case FaultKind::kZoneCut:
      fault.duration_s = queue.uniform(4, 2 * kLease);
      break;
    case FaultKind::kSingleTaskJobs:
      fault.duration_s = queue.uniform(5, 15);
      break;
    case FaultKind::kFailingJobs:
      fault.duration_s = queue.uniform(5, 60);
      break;
    case FaultKind::kLongControllerPause:
      fault.duration_s = queue.uniform(60, 80);
      break;
    case FaultKind::kCancelRunning:
      if (queue.draw_bool(0.3)) fault.duration_s = 0;
      break;
    default:
      break;
  }
}

}  // namespace beaconsill::sim
