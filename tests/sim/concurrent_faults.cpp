// Random schedules: which faults are concurrent, and how long each lasts.
#include "sim/controller.h"
#include "sim/fault_injector.h"

namespace beaconsill::sim {
namespace {
constexpr double kFirstFaults = 12;
constexpr double kConcurrencyWindow = 4;  // the faults of one group begin within so many seconds
}  // namespace

void FaultInjector::draw_concurrent_faults(double end) {
  auto& queue = env_.queue;
  over_ = std::max(over_, end);
  int kinds_drawn = env_.options.operations ? kFaultKinds : kFaultKindsBeforeOperations;
  for (double begin_s = kFirstFaults; begin_s < end; begin_s += queue.uniform(8, 26)) {
    int kinds = 2 + queue.draw_below(2);
    for (int i = 0; i < kinds; ++i) {
      auto fault = draw(static_cast<FaultKind>(queue.draw_below(kinds_drawn)));
      fault.at_s = begin_s + queue.uniform(0, kConcurrencyWindow);
      add(fault);
    }
  }
}

Fault FaultInjector::draw(FaultKind kind) {
  auto& queue = env_.queue;
  Fault fault;
  fault.kind = kind;
  fault.duration_s = queue.uniform(4, 25);
  fault.share = queue.uniform(0.1, 0.6);
  fault.deliver_later = queue.draw_bool(0.5);
  fault.controllers = queue.draw_bool(0.5) ? ControllerSelector::leader() : ControllerSelector::drawn();
  fault.machines = queue.draw_bool(0.3)
                       ? MachineSelector::in_zone(zones()[static_cast<std::size_t>(queue.draw_below(3))])
                       : MachineSelector::drawn(1 + queue.draw_below(4));
  fault.zone = zones()[static_cast<std::size_t>(queue.draw_below(3))];
  fault.count = 1 + queue.draw_below(6);
  adjust_to_kind(fault);
  return fault;
}

// Of what is drawn for all kinds, some kinds need other values.
void FaultInjector::adjust_to_kind(Fault& fault) {
  auto& queue = env_.queue;
  switch (fault.kind) {
    case FaultKind::kControllerCrash: {
      constexpr double kBack[] = {0.1, 0.15, 1, 3, 13};
      fault.duration_s = kBack[queue.draw_below(5)];
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
