#include "sim/invariants.h"

#include "state_store/records.h"

namespace beaconsill::sim {
namespace {
// Once the faults are over: no question about an accepted job goes unanswered for longer, and no job waits
// for longer while it could run.
constexpr double kUnanswered = 75;
constexpr double kWaiting = 90;
constexpr double kTiny = 1e-6;
}  // namespace

void InvariantChecker::report_violation(const std::string& rule, const std::string& what) {
  if (outcome_.violations[rule]++ == 0 && outcome_.first_violation.empty())
    outcome_.first_violation = rule + " at " + std::to_string(queue_.now()) + ": " + what;
}

void InvariantChecker::on_begin(const Machine& m, const TaskId& task, const Job& job) {
  double now = queue_.now();
  auto text = protocol::task_name(task) + " on " + m.name.value();
  double used = 0;
  for (const auto& [name, other] : ledger_.machines) {
    if (other.terminated || now - other.lease_from > kLease) continue;
    for (const auto& [key, t] : other.tasks) {
      if (!t.on_machine()) continue;
      const auto& j = ledger_.jobs.at(key.first.job);
      bool over = now >= other.hangs_until && j.spec->kind == JobKind::kArray && now >= t.ends;
      if (over) continue;  // ended, though the fake hasn't looked at it yet
      if (j.spec->team == job.spec->team) used += j.spec->each.cpus;
      if (&other != &m && key.first == task)
        report_violation("ran_twice", text + " and " + other.name.value());
    }
  }
  if (used > kTeamCpus + kTiny) report_violation("quota", text + ": " + std::to_string(used));
  check_place(m, task, job);
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
void InvariantChecker::check_place(const Machine& m, const TaskId& task, const Job& job) {
  const auto& spec = *job.spec;
  auto text = protocol::task_name(task) + " on " + m.name.value() + " in " + m.zone.value();
  if (spec.zone && *spec.zone != m.zone) report_violation("wrong_place", text);
  if (!spec.one_zone && !spec.spread) return;
  std::map<Zone, std::set<std::uint32_t>> there;
  ledger_.each_task(task.job, [&](const Machine& other, const auto& key, const Task& t) {
    bool over = queue_.now() >= other.hangs_until && spec.kind == JobKind::kArray && queue_.now() >= t.ends;
    if (t.on_machine() && !over && queue_.now() - other.lease_from <= kLease)
      there[other.zone].insert(key.first.index);
  });
  there[m.zone].insert(task.index);
  if (spec.one_zone && there.size() > 1)
    report_violation("wrong_place", text + ", others are in another zone");
  if (spec.spread && there[m.zone].size() > (spec.tasks + 1) / 2)
    report_violation("wrong_place", text + ", too many are there");
}

void InvariantChecker::on_written(const protocol::Write& w) {
  const std::string grants = std::string(state_store::kPrefix) + "grants/";
  if (w.value && w.key.starts_with(grants))
    if (auto job = ledger_.jobs.find(JobId(w.key.substr(grants.size()))); job != ledger_.jobs.end())
      outcome_.failing_grants += job->second.always_fails;
  const std::string ends = std::string(state_store::kPrefix) + "ends/";
  if (!w.key.starts_with(ends)) return;
  if (!w.value) return report_violation("went_back", w.key);
  auto it = ledger_.jobs.find(JobId(w.key.substr(ends.size())));
  if (it == ledger_.jobs.end()) return report_violation("invented", w.key);
  const auto& job = it->second;
  if (state_store::parse_terminal_record(*w.value).state != state_store::TerminalState::kDone) return;
  recorded_done_.insert(it->first);
  advance_();
  if (job.done.size() < job.spec->tasks)
    report_violation("not_done", w.key + " " + std::to_string(job.done.size()));
}

void InvariantChecker::on_response(const UserResponse& a) {
  ++outcome_.answered;
  auto it = ledger_.jobs.find(a.job);
  auto text = a.job.value() + " at n" + std::to_string(a.controller) + ", status " + std::to_string(a.status);
  if (it == ledger_.jobs.end()) {
    if (a.ok()) report_violation(a.request == UserRequest::kSubmit ? "accepted_bad" : "invented", text);
    return;
  }
  const auto& job = it->second;
  auto& known = known_to_users_[a.job];
  bool accepted_before = known.accepted && *known.accepted <= a.sent_s;
  if (accepted_before && a.status == 404) report_violation("forgotten", text);
  if (accepted_before && (a.status == 400 || a.status == 422))
    report_violation("forgotten", text + " to a repeat");
  if (a.status == 422 && awaits_accepted(job, a.sent_s))
    report_violation("forgotten", text + ": a job that it awaits");
  if (!a.ok()) {
    if (!known.unanswered_from) known.unanswered_from = queue_.now();
    known.unanswered_to = queue_.now();
    return;
  }
  known.unanswered_from.reset();
  if (!known.accepted) known.accepted = a.at_s;
  if (known.over && *known.over <= a.sent_s && !a.final())
    report_violation("went_back", text + ": not over any more");
  if (!a.final()) return check_orphaned(a, text);
  if (known.end && known.end != a.state) report_violation("went_back", text + ": ended otherwise before");
  bool asked = job.cancel_asked;
  ledger_.each_needed(a.job, [&](const Job& needed) { asked |= needed.cancel_asked; });
  if (a.state == protocol::JobState::kCancelled && !asked)
    report_violation("went_back", text + ": cancelled by nobody");
  if (!known.over) {
    known.over = a.at_s;
    known.end = a.state;
    advance_();
    if (a.state == protocol::JobState::kDone && job.done.size() < job.spec->tasks)
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
void InvariantChecker::check_orphaned(const UserResponse& a, const std::string& text) {
  ledger_.each_needed(a.job, [&](const Job& needed) {
    if (needed.cancelled && a.sent_s > *needed.cancelled + kCancelLimit)
      report_violation("orphaned", text + ", " + needed.spec->id.value() + " was cancelled");
  });
}

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
  for (const auto& [id, j] : ledger_.jobs) {
    if (!j.cancelled || queue_.now() <= *j.cancelled + kCancelLimit) continue;
    ledger_.each_task(id, [&](const Machine& m, const auto& key, const Task& t) {
      if (t.on_machine())
        report_violation("ran_cancelled", protocol::task_name(key.first) + " on " + m.name.value());
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
  int n = started == started_.end() ? 0 : started->second;
  auto [w, fresh] = waits_.try_emplace(id, Wait{std::max(calm_since, queue_.now()), n});
  if (w->second.started != n) w->second = {queue_.now(), n};
  if (!fresh && queue_.now() - w->second.since > kWaiting) report_violation("starved", id.value() + " waits");
}

// A task of it is nowhere, a machine that fits has room, and the team is under its limit.
bool InvariantChecker::could_run(const JobId& id, const Job& job) const {
  const auto& known = known_to_users_.find(id);
  if (job.cancel_asked || (known != known_to_users_.end() && known->second.over)) return false;
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
  for (const auto& [name, m] : ledger_.machines) {
    if (m.terminated) continue;
    double cpus = 0;
    double memory = 0;
    for (const auto& [key, t] : m.tasks) {
      if (t.ended) continue;
      const auto& other = *ledger_.jobs.at(key.first.job).spec;
      cpus += other.each.cpus;
      memory += other.each.memory_gb;
      if (other.team == spec.team) used += other.each.cpus;
      if (key.first.job == id) there.insert(key.first.index);
    }
    bool fits = (!spec.zone || *spec.zone == m.zone) && cpus + spec.each.cpus <= kMachineCpus + kTiny &&
                memory + spec.each.memory_gb <= kMachineMemory + kTiny;
    room |= fits && queue_.now() >= m.hangs_until;
  }
  // Where a job that sets its zones may still go depends on where its other tasks are: left out.
  if (spec.one_zone || spec.spread) room &= there == job.done;
  return there.size() < spec.tasks && room && used + spec.each.cpus <= kTeamCpus + kTiny;
}

bool InvariantChecker::satisfied(const JobId& id, const Job& job, const StateService& state) const {
  if (!job.accepted) return false;
  std::set<std::uint32_t> running;
  ledger_.each_task(id, [&](const Machine&, const auto& key, const Task& t) {
    if (t.on_machine()) running.insert(key.first.index);
  });
  if (state.find(state_store::terminal_key(id))) return running.empty();
  return job.spec->kind == JobKind::kService && !job.cancel_asked && running.size() == job.spec->tasks;
}

}  // namespace beaconsill::sim
