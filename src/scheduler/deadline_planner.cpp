#include "scheduler/deadline_planner.h"

#include <set>
#include <utility>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {

constexpr double kMsPerSecond = 1000;
// The fraction of an outstanding task's run time that remains on average.
constexpr double kRemainingRunTimeFraction = 0.5;

void log_plan(const std::vector<DeadlineJob>& jobs_with_due_times, const StartTimes& starts, double cpus,
              double running_cpu_s) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  double total_cpu_s = running_cpu_s;
  for (const auto& job : jobs_with_due_times) total_cpu_s += job.remaining_cpu_s;
  spdlog::debug("start_times_planned count={} cpu_seconds={:.0f} cpus={:.0f} without_reachable_due_time={}",
                jobs_with_due_times.size(), total_cpu_s, cpus, jobs_with_due_times.size() - starts.size());
}

}  // namespace

DeadlinePlanner::DeadlinePlanner(std::vector<config::Objective> objectives, Duration longest_wait)
    : objectives_(std::move(objectives)), longest_wait_(longest_wait) {}

std::vector<std::int64_t> DeadlinePlanner::due_times(const state_store::JobRecord& record,
                                                     std::optional<WallMs> eligible_since) const {
  const auto& spec = *record.spec;
  std::set<std::int64_t> times;
  auto add = [&](WallMs from, double seconds) {
    times.insert(from.value() + static_cast<std::int64_t>(seconds * kMsPerSecond));
  };
  for (const auto& objective : objectives_) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline_s)
      add(record.submitted, *spec.deadline_s * objective.times);
    if (!eligible_since || objective.within_s <= 0) continue;
    if (objective.kind == "finished") add(*eligible_since, objective.within_s);
    // The objective limits the time until all tasks have started; the last one completes a run time later.
    if (objective.kind == "wait") add(*eligible_since, objective.within_s + spec.estimate_s);
  }
  if (times.empty() && spec.deadline_s) add(record.submitted, *spec.deadline_s);
  return {times.begin(), times.end()};
}

StartTimes DeadlinePlanner::plan_start_times(const JobTable& jobs, const CrashLoopBackoff& crash_loops,
                                             WallMs wall) const {
  std::vector<DeadlineJob> jobs_with_due_times;
  double cpus = 0, running_cpu_s = 0;
  for (const auto& id : jobs.batch()) {
    const auto& entry = jobs.at(id);
    const auto& spec = entry.spec();
    cpus += spec.each.cpus * entry.outstanding_tasks;
    if (crash_loops.contains(id)) continue;
    if (entry.pending.empty()) {
      running_cpu_s += spec.each.cpus * spec.estimate_s * kRemainingRunTimeFraction * entry.outstanding_tasks;
      continue;
    }
    double tasks_left = entry.pending.count() + kRemainingRunTimeFraction * entry.outstanding_tasks;
    DeadlineJob job{id, spec.each.cpus * spec.estimate_s * tasks_left, spec.estimate_s, {}};
    for (auto due_ms : entry.requirement.due_ms)
      job.due_s.push_back(static_cast<double>(due_ms - wall.value()) / kMsPerSecond);
    jobs_with_due_times.push_back(std::move(job));
  }
  // `cpus`: while jobs are waiting, outstanding tasks are assumed to use the full capacity of the machines.
  auto starts = plan_starts(jobs_with_due_times, cpus, running_cpu_s);
  log_plan(jobs_with_due_times, starts, cpus, running_cpu_s);
  return starts;
}

double DeadlinePlanner::wait_ratio(const JobEntry& entry, WallMs wall) const {
  if (entry.outstanding_tasks > 0 || !entry.done.empty() || longest_wait_ <= Duration(0)) return 0;
  auto waited_ms = static_cast<double>(wall.value() - entry.eligible_since.value());
  return waited_ms / kMsPerSecond / to_seconds(longest_wait_);
}

}  // namespace beaconsill::scheduler
