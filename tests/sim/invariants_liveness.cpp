// Checks the time limits, about once per simulated second: at all times, no task runs for too long after the
// cancellation of its job, and after the last fault, no request stays unanswered and no job waits for too
// long.
#include "sim/invariants.h"
#include "state_store/records.h"

namespace beaconsill::sim {
namespace {
// After the last fault: the longest time, in seconds, for which all requests about an accepted job may fail,
// and for which a job may wait although it could run.
constexpr double kMaxUnansweredTime = 75;
constexpr double kMaxWaitingTime = 90;
}  // namespace

void InvariantChecker::check_all(double last_fault_end) {
  advance_();
  check_late_cancellations();
  if (queue_.now() < last_fault_end) return waits_.clear();
  for (const auto& [id, job] : ledger_.jobs) {
    if (!job.accepted) continue;
    check_queries_answered(id, job, last_fault_end);
    check_starvation(id, job, last_fault_end);
  }
}

void InvariantChecker::check_late_cancellations() {
  for (const auto& [id, job] : ledger_.jobs) {
    if (!job.cancelled || queue_.now() <= *job.cancelled + kCancelLimit) continue;
    ledger_.for_each_task(id, [&](const Machine& machine, const auto& key, const Task& task) {
      if (task.on_machine())
        report_violation("ran_cancelled", protocol::task_name(key.first) + " on " + machine.name.value() +
                                              " still runs too long after the cancellation");
    });
  }
}

void InvariantChecker::check_queries_answered(const JobId& id, const Job& job, double last_fault_end) {
  if (job.cancelled) return;
  const auto& known = known_to_users_[id];
  if (known.final_at || !known.first_failure_at) return;
  double since = std::max({last_fault_end, *known.first_failure_at, job.submitted});
  if (known.last_failure_at - since > kMaxUnansweredTime)
    report_violation("forgotten", "no request about " + id.value() + " is answered");
}

void InvariantChecker::check_starvation(const JobId& id, const Job& job, double last_fault_end) {
  if (!could_run(id, job)) {
    waits_.erase(id);
    return;
  }
  auto entry = task_starts_.find(id);
  int starts = entry == task_starts_.end() ? 0 : entry->second;
  auto [wait, inserted] = waits_.try_emplace(id, Wait{std::max(last_fault_end, queue_.now()), starts});
  if (wait->second.task_starts != starts) wait->second = {queue_.now(), starts};
  if (!inserted && queue_.now() - wait->second.since > kMaxWaitingTime)
    report_violation("starved", id.value() + " waits although it could run");
}

// Returns whether some task of the job is neither completed nor on a machine, a suitable machine has enough
// free resources, and the team is below its CPU limit.
bool InvariantChecker::could_run(const JobId& id, const Job& job) const {
  const auto& known = known_to_users_.find(id);
  if (job.cancel_requested || (known != known_to_users_.end() && known->second.final_at)) return false;
  if (job.always_fails) return false;
  const auto& spec = *job.spec;
  bool ready = true;
  // It is not sufficient that the dependency's tasks have completed on their machines: a machine may be lost
  // before it reports the completion, and its task has to be started again (seed 50033 with pipelines).
  ledger_.for_each_dependency(
      id, [&](const Job& dependency) { ready &= recorded_done_.contains(dependency.spec->id); });
  if (!ready) return false;
  std::set<std::uint32_t> done_or_placed = job.done;
  double used = 0;
  bool has_room = false;
  for (const auto& [name, machine] : ledger_.machines) {
    if (machine.terminated) continue;
    double cpus = 0;
    double memory = 0;
    for (const auto& [key, task] : machine.tasks) {
      if (task.ended) continue;
      const auto& other = *ledger_.jobs.at(key.first.job).spec;
      cpus += other.each.cpus;
      memory += other.each.memory_gb;
      if (other.team == spec.team) used += other.each.cpus;
      if (key.first.job == id) done_or_placed.insert(key.first.index);
    }
    bool fits = (!spec.zone || *spec.zone == machine.zone) &&
                cpus + spec.each.cpus <= kMachineCpus + kRoundingTolerance &&
                memory + spec.each.memory_gb <= kMachineMemory + kRoundingTolerance;
    has_room |= fits && queue_.now() >= machine.hangs_until;
  }
  // The zones in which a job with zone constraints may start tasks depend on where its other tasks are, which
  // is not computed here. Such a job is only expected to start tasks while none of them is on a machine.
  if (spec.one_zone || spec.spread) has_room &= done_or_placed == job.done;
  return done_or_placed.size() < spec.tasks && has_room &&
         used + spec.each.cpus <= kTeamCpus + kRoundingTolerance;
}

bool InvariantChecker::is_served(const JobId& id, const Job& job, const StateStore& state) const {
  if (!job.accepted) return false;
  std::set<std::uint32_t> running;
  ledger_.for_each_task(id, [&](const Machine&, const auto& key, const Task& task) {
    if (task.on_machine()) running.insert(key.first.index);
  });
  if (state.find(state_store::terminal_key(id))) return running.empty();
  return job.spec->kind == JobKind::kService && !job.cancel_requested && running.size() == job.spec->tasks;
}

}  // namespace beaconsill::sim
