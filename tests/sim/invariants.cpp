// What is checked at each event: a start of a task, a write, a response.
#include "sim/invariants.h"

#include "state_store/records.h"

namespace beaconsill::sim {

void InvariantChecker::report_violation(const std::string& rule, const std::string& what) {
  if (outcome_.violations[rule]++ == 0 && outcome_.first_violation.empty())
    outcome_.first_violation = rule + " at " + std::to_string(queue_.now()) + ": " + what;
}

bool InvariantChecker::ended_by_now(const Machine& machine, const Job& job, const Task& task) const {
  return queue_.now() >= machine.hangs_until && job.spec->kind == JobKind::kArray &&
         queue_.now() >= task.ends;
}

// Calls `visit(machine, task, job)` for all tasks that run on machines whose lease is valid.
template <class F>
void InvariantChecker::each_running(F visit) const {
  for (const auto& [name, machine] : ledger_.machines) {
    if (machine.terminated || queue_.now() - machine.lease_from > kLease) continue;
    for (const auto& [key, task] : machine.tasks) {
      if (!task.on_machine()) continue;
      const auto& job = ledger_.jobs.at(key.first.job);
      if (!ended_by_now(machine, job, task)) visit(machine, key.first, job);
    }
  }
}

void InvariantChecker::on_begin(const Machine& machine, const TaskId& task, const Job& job) {
  double now = queue_.now();
  auto text = protocol::task_name(task) + " on " + machine.name.value();
  double used = 0;
  each_running([&](const Machine& other, const TaskId& other_task, const Job& other_job) {
    if (other_job.spec->team == job.spec->team) used += other_job.spec->each.cpus;
    if (&other != &machine && other_task == task)
      report_violation("ran_twice", text + " and " + other.name.value());
  });
  if (used > kTeamCpus + kRoundingError) report_violation("quota", text + ": " + std::to_string(used));
  check_place(machine, task, job);
  ledger_.each_needed(task.job, [&](const Job& needed) {
    if (needed.done.size() < needed.spec->tasks)
      report_violation("too_early", text + " before " + needed.spec->id.value());
  });
  if (job.cancelled) ++outcome_.started_cancelled;
  if (job.cancelled && now > *job.cancelled + kCancelLimit)
    report_violation("ran_cancelled", text + " started");
  ++started_[task.job];
}

// Given the job's other tasks at this moment.
void InvariantChecker::check_place(const Machine& machine, const TaskId& task, const Job& job) {
  const auto& spec = *job.spec;
  auto text = protocol::task_name(task) + " on " + machine.name.value() + " in " + machine.zone.value();
  if (spec.zone && *spec.zone != machine.zone) report_violation("wrong_place", text);
  if (!spec.one_zone && !spec.spread) return;
  std::map<Zone, std::set<std::uint32_t>> there;
  ledger_.each_task(task.job, [&](const Machine& other, const auto& key, const Task& other_task) {
    if (other_task.on_machine() && !ended_by_now(other, job, other_task) &&
        queue_.now() - other.lease_from <= kLease)
      there[other.zone].insert(key.first.index);
  });
  there[machine.zone].insert(task.index);
  if (spec.one_zone && there.size() > 1)
    report_violation("wrong_place", text + ", others are in another zone");
  if (spec.spread && there[machine.zone].size() > (spec.tasks + 1) / 2)
    report_violation("wrong_place", text + ", too many are there");
}

void InvariantChecker::on_written(const protocol::Write& write) {
  const std::string grants = std::string(state_store::kKeyPrefix) + "grants/";
  if (write.value && write.key.starts_with(grants))
    if (auto job = ledger_.jobs.find(JobId(write.key.substr(grants.size()))); job != ledger_.jobs.end())
      outcome_.failing_grants += job->second.always_fails;
  const std::string ends = std::string(state_store::kKeyPrefix) + "ends/";
  if (!write.key.starts_with(ends)) return;
  if (!write.value) return report_violation("went_back", write.key);
  auto it = ledger_.jobs.find(JobId(write.key.substr(ends.size())));
  if (it == ledger_.jobs.end()) return report_violation("invented", write.key);
  const auto& job = it->second;
  if (state_store::parse_terminal_record(*write.value).state != state_store::TerminalState::kDone) return;
  recorded_done_.insert(it->first);
  advance_();
  if (job.done.size() < job.spec->tasks)
    report_violation("not_done", write.key + " " + std::to_string(job.done.size()));
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
  check_remembered(response, job, known, text);
  if (!response.ok()) {
    if (!known.unanswered_from) known.unanswered_from = queue_.now();
    known.unanswered_to = queue_.now();
    return;
  }
  known.unanswered_from.reset();
  if (!known.accepted) known.accepted = response.at_s;
  if (known.over && *known.over <= response.sent_s && !response.final())
    report_violation("went_back", text + ": not over any more");
  if (!response.final()) return check_orphaned(response, text);
  check_final_state(response, job, known, text);
}

// No response denies a job that its user knows to be accepted.
void InvariantChecker::check_remembered(const UserResponse& response, const Job& job,
                                        const KnownToUser& known, const std::string& text) {
  bool accepted_before = known.accepted && *known.accepted <= response.sent_s;
  if (accepted_before && response.status == 404) report_violation("forgotten", text);
  if (accepted_before && (response.status == 400 || response.status == 422))
    report_violation("forgotten", text + " to a repeat");
  if (response.status == 422 && awaits_accepted(job, response.sent_s))
    report_violation("forgotten", text + ": a job that it awaits");
}

void InvariantChecker::check_final_state(const UserResponse& response, const Job& job, KnownToUser& known,
                                         const std::string& text) {
  if (known.end && known.end != response.state)
    report_violation("went_back", text + ": ended otherwise before");
  bool asked = job.cancel_requested;
  ledger_.each_needed(response.job, [&](const Job& needed) { asked |= needed.cancel_requested; });
  if (response.state == protocol::JobState::kCancelled && !asked)
    report_violation("went_back", text + ": cancelled by nobody");
  if (!known.over) {
    known.over = response.at_s;
    known.end = response.state;
    advance_();
    if (response.state == protocol::JobState::kDone && job.done.size() < job.spec->tasks)
      report_violation("not_done", text);
  }
}

// All that it awaits was known to be accepted when the question was sent.
bool InvariantChecker::awaits_accepted(const Job& job, double sent_s) const {
  const auto& depends_on = job.spec->depends_on;
  return !depends_on.empty() &&
         std::all_of(depends_on.begin(), depends_on.end(), [&](const JobId& dependency) {
           auto known = known_to_users_.find(dependency);
           return known != known_to_users_.end() && known->second.accepted &&
                  *known->second.accepted <= sent_s;
         });
}

// A job is called queued or running, long after its user learned that a dependency is cancelled.
void InvariantChecker::check_orphaned(const UserResponse& response, const std::string& text) {
  ledger_.each_needed(response.job, [&](const Job& needed) {
    if (needed.cancelled && response.sent_s > *needed.cancelled + kCancelLimit)
      report_violation("orphaned", text + ", " + needed.spec->id.value() + " was cancelled");
  });
}

}  // namespace beaconsill::sim
