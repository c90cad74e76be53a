#include "scheduler/start_plan.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace beaconsill::scheduler {
namespace {

// Returns the latest start, in seconds from now, for the first due time that the job can still meet by
// starting later than `after_s`. Returns std::nullopt if there is no such due time. The latest start is half
// a run time before the due time: the plan counts the job's work in full, while running tasks are half done
// on average at any time, so the last tasks end half a run time after the job's share of the work is done.
std::optional<double> next_start(const DeadlineJob& job, double after_s) {
  for (double due_s : job.due_s)
    if (due_s >= job.task_run_time_s && due_s - job.task_run_time_s / 2 > after_s)
      return due_s - job.task_run_time_s / 2;
  return std::nullopt;
}

class StartPlanner {
 public:
  StartPlanner(const std::vector<DeadlineJob>& jobs, double cpus, double running_cpu_s)
      : cpus_(std::max(cpus, 1.0)), running_cpu_s_(running_cpu_s), planned_cpu_s_(running_cpu_s) {
    for (const auto& job : jobs)
      if (auto first_start_s = next_start(job, 0)) unplanned_.insert({*first_start_s, &job});
  }

  StartTimes plan() {
    while (!unplanned_.empty()) {
      auto first = unplanned_.extract(unplanned_.begin());
      double start_s = first.value().start_s;
      planned_cpu_s_ += first.value().job->remaining_cpu_s;
      on_time_.insert(std::move(first));
      while (planned_cpu_s_ / cpus_ > start_s && !on_time_.empty()) postpone_or_drop_one(start_s);
    }
    StartTimes starts;
    for (const auto& planned : on_time_) starts[planned.job->id] = planned.start_s;
    return starts;
  }

 private:
  struct PlannedStart {
    double start_s;
    const DeadlineJob* job;
    bool operator<(const PlannedStart& other) const {
      return std::tie(start_s, job->id) < std::tie(other.start_s, other.job->id);
    }
  };
  using PlannedStarts = std::set<PlannedStart>;

  // Postpones the largest planned job that has a later due time to that due time. If there is no such job, or
  // if the jobs without a later due time exceed the capacity by themselves, drops the largest job without a
  // later due time from the plan instead.
  void postpone_or_drop_one(double start_s) {
    auto largest_postponable = on_time_.end(), largest_at_last_due = on_time_.end();
    double not_postponable_cpu_s = running_cpu_s_;
    for (auto it = on_time_.begin(); it != on_time_.end(); ++it) {
      bool at_last_due = !next_start(*it->job, start_s);
      if (at_last_due) not_postponable_cpu_s += it->job->remaining_cpu_s;
      auto& largest_of_kind = at_last_due ? largest_at_last_due : largest_postponable;
      if (largest_of_kind == on_time_.end() ||
          it->job->remaining_cpu_s > largest_of_kind->job->remaining_cpu_s)
        largest_of_kind = it;
    }
    bool drop_job = largest_postponable == on_time_.end() ||
                    (largest_at_last_due != on_time_.end() && not_postponable_cpu_s / cpus_ > start_s);
    auto selected = drop_job ? largest_at_last_due : largest_postponable;
    const auto& job = *selected->job;
    planned_cpu_s_ -= job.remaining_cpu_s;
    if (!drop_job) unplanned_.insert({*next_start(job, start_s), &job});
    on_time_.erase(selected);
  }

  double cpus_;
  double running_cpu_s_;
  double planned_cpu_s_;  // running_cpu_s_ and the remaining work of all jobs in on_time_
  PlannedStarts unplanned_;
  PlannedStarts on_time_;
};

}  // namespace

StartTimes plan_starts(const std::vector<DeadlineJob>& jobs, double cpus, double running_cpu_s) {
  return StartPlanner(jobs, cpus, running_cpu_s).plan();
}

}  // namespace beaconsill::scheduler
