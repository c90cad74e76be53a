// Checks the invariants that apply to single events: starts of tasks, writes to the state store, and
// responses to users.
#include "sim/invariants.h"

#include "state_store/records.h"

namespace beaconsill::sim {

void InvariantChecker::report_violation(const std::string& rule, const std::string& what) {
  if (outcome_.violations[rule]++ == 0 && outcome_.first_violation.empty())
    outcome_.first_violation = rule + " at " + std::to_string(queue_.now()) + ": " + what;
}

bool InvariantChecker::ended_by_now(const Machine& machine, const Job& job, const Task& task) const {
  return queue_.now() >= machine.hangs_until && (job.spec->kind == JobKind::kArray || task.saving) &&
         queue_.now() >= task.ends_at;
}

// Calls `visit(machine, task, job)` for each running task on a machine whose lease is valid.
template <class F>
void InvariantChecker::for_each_running_task(F visit) const {
  for (const auto& [name, machine] : ledger_.machines) {
    if (machine.terminated || queue_.now() - machine.lease_renewed_at > kLease) continue;
    for (const auto& [key, task] : machine.tasks) {
      if (!task.on_machine()) continue;
      const auto& job = ledger_.jobs.at(key.first.job);
      if (!ended_by_now(machine, job, task)) visit(machine, key.first, job);
    }
  }
}

void InvariantChecker::on_task_start(const Machine& machine, const TaskId& task, const Job& job) {
  double now = queue_.now();
  auto text = protocol::task_name(task) + " on " + machine.name.value();
  double used = 0;
  for_each_running_task([&](const Machine& other, const TaskId& other_task, const Job& other_job) {
    if (other_job.spec->team == job.spec->team) used += other_job.spec->each.cpus;
    if (&other != &machine && other_task == task)
      report_violation("ran_twice", text + " and " + other.name.value());
  });
  if (used > kTeamCpus + kRoundingTolerance)
    report_violation("quota", text + ": the team uses " + std::to_string(used) + " of " +
                                  std::to_string(kTeamCpus) + " CPUs");
  check_placement(machine, task, job);
  ledger_.for_each_dependency(task.job, [&](const Job& dependency) {
    if (dependency.done.size() < dependency.spec->tasks)
      report_violation("too_early", text + " started before " + dependency.spec->id.value() + " completed");
  });
  if (job.cancelled) ++outcome_.starts_after_cancellation;
  if (job.cancelled && now > *job.cancelled + kCancelLimit)
    report_violation("ran_cancelled", text + " started too long after the cancellation");
  ++task_starts_[task.job];
}

// Checks the zone constraints of the job, taking into account where its other tasks run at present.
void InvariantChecker::check_placement(const Machine& machine, const TaskId& task, const Job& job) {
  const auto& spec = *job.spec;
  auto text = protocol::task_name(task) + " on " + machine.name.value() + " in " + machine.zone.value();
  if (spec.zone && *spec.zone != machine.zone) report_violation("wrong_place", text);
  if (!spec.one_zone && !spec.spread) return;
  std::map<Zone, std::set<std::uint32_t>> tasks_by_zone;
  ledger_.for_each_task(task.job, [&](const Machine& other, const auto& key, const Task& other_task) {
    if (other_task.on_machine() && !ended_by_now(other, job, other_task) &&
        queue_.now() - other.lease_renewed_at <= kLease)
      tasks_by_zone[other.zone].insert(key.first.index);
  });
  tasks_by_zone[machine.zone].insert(task.index);
  if (spec.one_zone && tasks_by_zone.size() > 1)
    report_violation("wrong_place", text + ", other tasks are in another zone");
  if (spec.spread && tasks_by_zone[machine.zone].size() > (spec.tasks + 1) / 2)
    report_violation("wrong_place", text + ", too many tasks of the job are in this zone");
}

void InvariantChecker::on_state_write(const protocol::Write& write) {
  const std::string grants_prefix = std::string(state_store::kKeyPrefix) + "grants/";
  if (write.value && write.key.starts_with(grants_prefix))
    if (auto job = ledger_.jobs.find(JobId(write.key.substr(grants_prefix.size())));
        job != ledger_.jobs.end())
      outcome_.failing_grants += job->second.always_fails;
  const std::string terminal_prefix = std::string(state_store::kKeyPrefix) + "ends/";
  if (!write.key.starts_with(terminal_prefix)) return;
  if (!write.value) return report_violation("went_back", write.key + " was deleted");
  auto it = ledger_.jobs.find(JobId(write.key.substr(terminal_prefix.size())));
  if (it == ledger_.jobs.end())
    return report_violation("invented", write.key + " was written for a job that was never submitted");
  const auto& job = it->second;
  if (state_store::parse_terminal_record(*write.value).state != state_store::TerminalState::kDone) return;
  recorded_done_.insert(it->first);
  advance_();
  if (job.done.size() < job.spec->tasks)
    report_violation("not_done", write.key + ": completed tasks " + std::to_string(job.done.size()) + " of " +
                                     std::to_string(job.spec->tasks));
}

void InvariantChecker::on_response(const UserResponse& response) {
  ++outcome_.answered;
  auto it = ledger_.jobs.find(response.job);
  auto text = response.job.value() + " at n" + std::to_string(response.controller) + ", status " +
              std::to_string(response.status);
  if (it == ledger_.jobs.end()) {
    if (response.ok())
      report_violation(response.request == UserRequest::kSubmit ? "accepted_bad" : "invented", text);
    return;
  }
  const auto& job = it->second;
  auto& known = known_to_users_[response.job];
  check_not_forgotten(response, job, known, text);
  if (!response.ok()) {
    if (!known.first_failure_at) known.first_failure_at = queue_.now();
    known.last_failure_at = queue_.now();
    return;
  }
  known.first_failure_at.reset();
  if (!known.accepted_at) known.accepted_at = response.at_s;
  if (known.final_at && *known.final_at <= response.sent_s && !response.final())
    report_violation("went_back", text + ": no longer reported as completed or cancelled");
  if (!response.final()) return check_orphaned(response, text);
  check_final_state(response, job, known, text);
}

// Checks that no response denies the existence of a job that its user knows to be accepted.
void InvariantChecker::check_not_forgotten(const UserResponse& response, const Job& job,
                                           const KnownToUser& known, const std::string& text) {
  bool accepted_before = known.accepted_at && *known.accepted_at <= response.sent_s;
  if (accepted_before && response.status == 404) report_violation("forgotten", text);
  if (accepted_before && (response.status == 400 || response.status == 422))
    report_violation("forgotten", text + " to a repeated submission");
  if (response.status == 422 && dependencies_were_accepted(job, response.sent_s))
    report_violation("forgotten", text + ": rejected although its dependencies were accepted");
}

void InvariantChecker::check_final_state(const UserResponse& response, const Job& job, KnownToUser& known,
                                         const std::string& text) {
  if (known.final_state && known.final_state != response.state)
    report_violation("went_back", text + ": a different final state was reported before");
  bool cancel_requested = job.cancel_requested;
  ledger_.for_each_dependency(
      response.job, [&](const Job& dependency) { cancel_requested |= dependency.cancel_requested; });
  if (response.state == protocol::JobState::kCancelled && !cancel_requested)
    report_violation("went_back", text + ": reported as cancelled without a cancellation request");
  if (!known.final_at) {
    known.final_at = response.at_s;
    known.final_state = response.state;
    advance_();
    if (response.state == protocol::JobState::kDone && job.done.size() < job.spec->tasks)
      report_violation("not_done", text + ": reported as done after " + std::to_string(job.done.size()) +
                                       " of " + std::to_string(job.spec->tasks) + " tasks");
  }
}

// Returns whether the job has dependencies, all of which were known to be accepted when the request was sent.
bool InvariantChecker::dependencies_were_accepted(const Job& job, double sent_s) const {
  const auto& depends_on = job.spec->depends_on;
  return !depends_on.empty() &&
         std::all_of(depends_on.begin(), depends_on.end(), [&](const JobId& dependency) {
           auto known = known_to_users_.find(dependency);
           return known != known_to_users_.end() && known->second.accepted_at &&
                  *known->second.accepted_at <= sent_s;
         });
}

// Checks that a job is not reported as queued or running longer than kCancelLimit after the confirmed
// cancellation of one of its dependencies.
void InvariantChecker::check_orphaned(const UserResponse& response, const std::string& text) {
  ledger_.for_each_dependency(response.job, [&](const Job& dependency) {
    if (dependency.cancelled && response.sent_s > *dependency.cancelled + kCancelLimit)
      report_violation("orphaned", text + ": not reported as cancelled although its dependency " +
                                       dependency.spec->id.value() + " was cancelled");
  });
}

}  // namespace beaconsill::sim
