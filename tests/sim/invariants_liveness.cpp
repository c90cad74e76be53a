// What is checked about once a second: that nothing waits for longer than it may once the faults are over.
#include "sim/invariants.h"
#include "state_store/records.h"

namespace beaconsill::sim {
namespace {
// Once the faults are over: no question about an accepted job goes unanswered for longer, and no job waits
// for longer while it could run.
constexpr double kUnanswered = 75;
constexpr double kWaiting = 90;
}  // namespace

void InvariantChecker::check_all(double calm_since) {
  advance_();
  check_late_cancellations();
  if (queue_.now() < calm_since) return waits_.clear();
  for (const auto& [id, job] : ledger_.jobs) {
    if (!job.accepted) continue;
    check_answered(id, job, calm_since);
    check_waiting(id, job, calm_since);
  }
}

void InvariantChecker::check_late_cancellations() {
  for (const auto& [id, job] : ledger_.jobs) {
    if (!job.cancelled || queue_.now() <= *job.cancelled + kCancelLimit) continue;
    ledger_.each_task(id, [&](const Machine& machine, const auto& key, const Task& task) {
      if (task.on_machine())
        report_violation("ran_cancelled", protocol::task_name(key.first) + " on " + machine.name.value());
    });
  }
}

void InvariantChecker::check_answered(const JobId& id, const Job& job, double calm_since) {
  if (job.cancelled) return;
  const auto& known = known_to_users_[id];
  if (known.over || !known.unanswered_from) return;
  double since = std::max({calm_since, *known.unanswered_from, job.submitted});
  if (known.unanswered_to - since > kUnanswered)
    report_violation("forgotten", "no question about " + id.value() + " is answered");
}

void InvariantChecker::check_waiting(const JobId& id, const Job& job, double calm_since) {
  if (!could_run(id, job)) {
    waits_.erase(id);
    return;
  }
  auto started = started_.find(id);
  int starts = started == started_.end() ? 0 : started->second;
  auto [wait, fresh] = waits_.try_emplace(id, Wait{std::max(calm_since, queue_.now()), starts});
  if (wait->second.started != starts) wait->second = {queue_.now(), starts};
  if (!fresh && queue_.now() - wait->second.since > kWaiting)
    report_violation("starved", id.value() + " waits");
}

// A task of it is nowhere, a machine that fits has room, and the team is under its limit.
bool InvariantChecker::could_run(const JobId& id, const Job& job) const {
  const auto& known = known_to_users_.find(id);
  if (job.cancel_requested || (known != known_to_users_.end() && known->second.over)) return false;
  if (job.always_fails) return false;
  const auto& spec = *job.spec;
  bool ready = true;
  // That its tasks completed isn't enough: the machine may have been lost before it reported that, and the
  // task has to be started once more (seed 50033 with pipelines).
  ledger_.each_needed(id, [&](const Job& needed) { ready &= recorded_done_.contains(needed.spec->id); });
  if (!ready) return false;
  std::set<std::uint32_t> there = job.done;
  double used = 0;
  bool room = false;
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
      if (key.first.job == id) there.insert(key.first.index);
    }
    bool fits = (!spec.zone || *spec.zone == machine.zone) &&
                cpus + spec.each.cpus <= kMachineCpus + kRoundingError &&
                memory + spec.each.memory_gb <= kMachineMemory + kRoundingError;
    room |= fits && queue_.now() >= machine.hangs_until;
  }
  // Where a job that sets its zones may still go depends on where its other tasks are: left out.
  if (spec.one_zone || spec.spread) room &= there == job.done;
  return there.size() < spec.tasks && room && used + spec.each.cpus <= kTeamCpus + kRoundingError;
}

bool InvariantChecker::satisfied(const JobId& id, const Job& job, const StateStore& state) const {
  if (!job.accepted) return false;
  std::set<std::uint32_t> running;
  ledger_.each_task(id, [&](const Machine&, const auto& key, const Task& task) {
    if (task.on_machine()) running.insert(key.first.index);
  });
  if (state.find(state_store::terminal_key(id))) return running.empty();
  return job.spec->kind == JobKind::kService && !job.cancel_requested && running.size() == job.spec->tasks;
}

}  // namespace beaconsill::sim
