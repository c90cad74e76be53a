#include "sim/fault_injector.h"

#include <numeric>

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// Periods and delays are in seconds.
constexpr double kLeaderRestartDelay = 1;
constexpr double kSingleTaskJobPeriod = 0.25;
constexpr double kInvalidRequestPeriod = 0.4;
constexpr double kPollStormPeriod = 0.1;
constexpr int kPollStormQueries = 6;  // per period: with thirty jobs, each is queried every 0.5 s on average
constexpr std::size_t kMaxHangingMachines = 8;
}  // namespace

void FaultInjector::schedule(const Fault& fault) {
  last_fault_end_ = std::max(last_fault_end_, fault.at_s + fault.duration_s);
  env_.queue.at(fault.at_s, [this, fault] { begin(fault); });
}

std::optional<int> FaultInjector::leader() const {
  const auto* entry = env_.state.find(state_store::leader_role_key());
  if (!entry) return std::nullopt;
  return controller_number(state_store::parse_role(entry->value).controller);
}

std::vector<int> FaultInjector::select(const ControllerSelector& selector) {
  int random_controller = env_.queue.draw_below(kControllers);
  switch (selector.kind) {
    case ControllerSelector::Kind::kRandom:
      return {random_controller};
    case ControllerSelector::Kind::kNumber:
      return {selector.number};
    case ControllerSelector::Kind::kLeader:
      return {leader().value_or(random_controller)};
    case ControllerSelector::Kind::kFollower:
      return {leader() == random_controller ? (random_controller + 1) % kControllers : random_controller};
    case ControllerSelector::Kind::kAll:
      break;
  }
  std::vector<int> all(kControllers);
  std::iota(all.begin(), all.end(), 0);
  return all;
}

std::vector<Machine*> FaultInjector::select(const MachineSelector& selector) {
  std::vector<Machine*> out;
  for (auto& [name, machine] : ledger_.machines) {
    if (machine.terminated || (selector.name && *selector.name != name) ||
        (selector.zone && *selector.zone != machine.zone))
      continue;
    bool runs_job = std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
      return selector.running && entry.first.first.job == *selector.running && !entry.second.ended;
    });
    if (!selector.running || runs_job) out.push_back(&machine);
  }
  bool no_criterion = !selector.name && !selector.zone && !selector.running;
  auto count = static_cast<std::size_t>(selector.count ? selector.count : no_criterion ? 1 : 0);
  if (count == 0) return out;
  while (out.size() > count) out.erase(out.begin() + env_.queue.draw_below(static_cast<int>(out.size())));
  return out;
}

void FaultInjector::begin(const Fault& fault) {
  env_.outcome.schedule.push_back(std::to_string(env_.queue.now()) + " " + to_string(fault.kind) + " for " +
                                  std::to_string(fault.duration_s));
  switch (fault.kind) {
    case FaultKind::kControllerCrash:
    case FaultKind::kControllerPause:
    case FaultKind::kControllerCutFromState:
    case FaultKind::kControllerCutFromPeers:
    case FaultKind::kControllerCutFromStateAndPeers:
    case FaultKind::kControllerCut:
    case FaultKind::kStateRefusesController:
    case FaultKind::kLongControllerPause:
      for (int controller : select(fault.controllers)) begin_controller_fault(fault, controller);
      return;
    case FaultKind::kRepeatedFailover:
      return crash_leader_repeatedly(fault);
    case FaultKind::kMachineHangs:
    case FaultKind::kMachineInboundCut:
    case FaultKind::kMachineOutboundCut:
    case FaultKind::kMachineCrash:
    case FaultKind::kMachineFaulty:
      for (auto* machine : select(fault.machines)) begin_machine_fault(fault, *machine);
      return;
    case FaultKind::kFastBoot:
      return env_.cloud.boot_fast_until(env_.queue.now() + fault.duration_s);
    case FaultKind::kSlowBoot:
      return env_.cloud.boot_slowly_until(env_.queue.now() + fault.duration_s);
    case FaultKind::kStateOutage:
    case FaultKind::kStateSlow:
    case FaultKind::kLostResponses:
    case FaultKind::kLateWrites:
      return begin_state_store_fault(fault);
    case FaultKind::kZoneCut:
    case FaultKind::kLostPeerMessages:
    case FaultKind::kLatePeerMessages:
    case FaultKind::kLateHeartbeats:
    case FaultKind::kHeartbeatsForNextLeader:
    case FaultKind::kLateCommands:
      return begin_network_fault(fault);
    case FaultKind::kCancelRunning:
    case FaultKind::kCancelAtCompletion:
    case FaultKind::kQueryBursts:
    case FaultKind::kInvalidRequests:
    case FaultKind::kSingleTaskJobs:
    case FaultKind::kQuotasFilled:
    case FaultKind::kFailingJobs:
    case FaultKind::kPollStorm:
      return begin_user_fault(fault);
  }
}

void FaultInjector::begin_controller_fault(const Fault& fault, int controller) {
  double until = env_.queue.now() + fault.duration_s;
  Cut cut{until, fault.deliver_later};
  auto& network = env_.network;
  env_.outcome.schedule.back() += " n" + std::to_string(controller);
  switch (fault.kind) {
    case FaultKind::kControllerCrash:
      return env_.controller(controller).crash(fault.duration_s);
    case FaultKind::kControllerPause:
      if (fault.before_callback)
        return network.pause_before(controller, *fault.before_callback, fault.duration_s);
      [[fallthrough]];
    case FaultKind::kLongControllerPause:
      return network.pause(controller, until);
    case FaultKind::kControllerCutFromState:
      return network.cut_state(controller, cut);
    case FaultKind::kControllerCutFromPeers:
      return network.cut_peers(controller, cut);
    case FaultKind::kStateRefusesController:
      return env_.state.refuse_requests_of(controller, until);
    case FaultKind::kControllerCut:
      network.cut_workers(controller, cut);
      network.cut_users(controller, cut);
      [[fallthrough]];
    default:
      network.cut_state(controller, cut);
      network.cut_peers(controller, cut);
  }
}

void FaultInjector::begin_machine_fault(const Fault& fault, Machine& machine) {
  double until = env_.queue.now() + fault.duration_s;
  env_.outcome.schedule.back() += " " + machine.name.value();
  switch (fault.kind) {
    case FaultKind::kMachineHangs:
      machine.hangs_until = until;
      return;
    case FaultKind::kMachineInboundCut:
      machine.inbound_cut_until = until;
      return;
    case FaultKind::kMachineOutboundCut:
      machine.outbound_cut_until = until;
      return;
    case FaultKind::kMachineFaulty:
      machine.faulty_until = until;
      return;
    default:
      return env_.cloud.terminate_machine(machine.name);
  }
}

void FaultInjector::begin_state_store_fault(const Fault& fault) {
  double until = env_.queue.now() + fault.duration_s;
  FaultWindow window{until, fault.share};
  switch (fault.kind) {
    case FaultKind::kStateOutage:
      return env_.state.begin_outage(until);
    case FaultKind::kStateSlow:
      return env_.state.delay_responses(window);
    case FaultKind::kLostResponses:
      return env_.state.lose_responses(window);
    default:
      return env_.state.delay_writes(window);
  }
}

void FaultInjector::begin_network_fault(const Fault& fault) {
  double until = env_.queue.now() + fault.duration_s;
  FaultWindow window{until, fault.share};
  switch (fault.kind) {
    case FaultKind::kZoneCut:
      return env_.network.cut_zone(fault.zone.value_or(zones().front()), {until, fault.deliver_later});
    case FaultKind::kLostPeerMessages:
      return env_.network.lose_peer_messages(window);
    case FaultKind::kLatePeerMessages:
      return env_.network.delay_peer_messages(window);
    case FaultKind::kLateHeartbeats:
      return env_.workers.duplicate_heartbeats(window);
    case FaultKind::kHeartbeatsForNextLeader:
      return env_.workers.hold_heartbeats_for_next_leader(window);
    default:
      return env_.workers.delay_commands(window);
  }
}

void FaultInjector::begin_user_fault(const Fault& fault) {
  double until = env_.queue.now() + fault.duration_s;
  switch (fault.kind) {
    case FaultKind::kCancelRunning: {
      auto affected = users_.cancel_running_jobs(fault.count);
      if (affected.size() > kMaxHangingMachines) affected.resize(kMaxHangingMachines);
      for (const auto& name : affected)
        if (auto* machine = ledger_.machine(name))
          machine->hangs_until = std::max(machine->hangs_until, until);
      return;
    }
    case FaultKind::kCancelAtCompletion:
      return users_.cancel_at_completion({until, fault.share});
    case FaultKind::kQueryBursts:
      return users_.query_in_bursts_until(until);
    case FaultKind::kInvalidRequests:
      return repeat(until, kInvalidRequestPeriod, [this] { users_.send_invalid_request(); });
    case FaultKind::kSingleTaskJobs:
      return repeat(until, kSingleTaskJobPeriod, [this] { users_.submit_single_task_job(); });
    case FaultKind::kFailingJobs:
      for (int i = 0; i < fault.count; ++i) users_.submit_failing_job(fault.duration_s);
      return;
    case FaultKind::kPollStorm:
      return repeat(until, kPollStormPeriod, [this] { users_.poll_random_jobs(kPollStormQueries); });
    default:
      return users_.fill_quotas();
  }
}

void FaultInjector::crash_leader_repeatedly(const Fault& fault) {
  repeat(env_.queue.now() + fault.duration_s, fault.period_s, [this] {
    if (auto current = leader()) env_.controller(*current).crash(kLeaderRestartDelay);
  });
}

void FaultInjector::repeat(double until, double period, const std::function<void()>& action) {
  if (env_.queue.now() >= until) return;
  action();
  env_.queue.after(period, [this, until, period, action] { repeat(until, period, action); });
}

}  // namespace beaconsill::sim
