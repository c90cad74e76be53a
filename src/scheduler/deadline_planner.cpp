#include "scheduler/deadline_planner.h"

#include <set>
#include <utility>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {

constexpr double kMsPerSecond = 1000;
// What is left of an outstanding task's run time, on average.
constexpr double kOutstandingShare = 0.5;

void log_plan(const std::vector<TimedJob>& timed, const StartTimes& starts, double cpus, double begun) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  double work = begun;
  for (const auto& job : timed) work += job.work;
  spdlog::debug("start_times_planned count={} cpu_seconds={:.0f} cpus={:.0f} without_reachable_due_time={}",
                timed.size(), work, cpus, timed.size() - starts.size());
}

}  // namespace

DeadlinePlanner::DeadlinePlanner(std::vector<config::Objective> objectives, Duration longest_wait)
    : objectives_(std::move(objectives)), longest_wait_(longest_wait) {}

std::vector<std::int64_t> DeadlinePlanner::due_times(const state_store::JobRecord& record,
                                                     std::optional<WallMs> counts_from) const {
  const auto& spec = *record.spec;
  std::set<std::int64_t> times;
  auto add = [&](WallMs from, double seconds) {
    times.insert(from.value() + static_cast<std::int64_t>(seconds * kMsPerSecond));
  };
  for (const auto& objective : objectives_) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline_s)
      add(record.submitted, *spec.deadline_s * objective.times);
    if (!counts_from || objective.within_s <= 0) continue;
    if (objective.kind == "finished") add(*counts_from, objective.within_s);
    // All its tasks are to start by then; the last of them is complete a run time later.
    if (objective.kind == "wait") add(*counts_from, objective.within_s + spec.estimate_s);
  }
  if (times.empty() && spec.deadline_s) add(record.submitted, *spec.deadline_s);
  return {times.begin(), times.end()};
}

StartTimes DeadlinePlanner::plan_start_times(const JobTable& jobs, const CrashLoopBackoff& crash_loops,
                                             WallMs wall) const {
  std::vector<TimedJob> timed;
  double cpus = 0, begun = 0;
  for (const auto& id : jobs.batch()) {
    const auto& entry = jobs.at(id);
    const auto& spec = entry.spec();
    cpus += spec.each.cpus * entry.outstanding_tasks;
    if (crash_loops.contains(id)) continue;
    if (entry.pending.empty()) {
      begun += spec.each.cpus * spec.estimate_s * kOutstandingShare * entry.outstanding_tasks;
      continue;
    }
    double tasks_left = entry.pending.count() + kOutstandingShare * entry.outstanding_tasks;
    TimedJob job{id, spec.each.cpus * spec.estimate_s * tasks_left, spec.estimate_s, {}};
    for (auto due : entry.requirement.due_ms)
      job.due.push_back(static_cast<double>(due - wall.value()) / kMsPerSecond);
    timed.push_back(std::move(job));
  }
  // When work waits, the outstanding tasks are all that the machines can hold.
  auto starts = plan_starts(timed, cpus, begun);
  log_plan(timed, starts, cpus, begun);
  return starts;
}

double DeadlinePlanner::waits_in_limits(const JobEntry& entry, WallMs wall) const {
  if (entry.outstanding_tasks > 0 || !entry.done.empty() || longest_wait_ <= Duration(0)) return 0;
  auto waited_ms = static_cast<double>(wall.value() - entry.counts_from.value());
  return waited_ms / kMsPerSecond / to_seconds(longest_wait_);
}

}  // namespace beaconsill::scheduler
