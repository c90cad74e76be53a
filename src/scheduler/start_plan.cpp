#include "scheduler/start_plan.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace beaconsill::scheduler {
namespace {

// The start that meets the first of the job's due times which it can meet by starting after `after`. Its work
// counts in full, and at any time what runs is half done: so the last of it ends half a run time after its
// share of the work is done.
std::optional<double> next_start(const TimedJob& job, double after) {
  for (double due : job.due)
    if (due >= job.least_s && due - job.least_s / 2 > after) return due - job.least_s / 2;
  return std::nullopt;
}

class StartPlanner {
 public:
  StartPlanner(const std::vector<TimedJob>& jobs, double cpus, double begun)
      : cpus_(std::max(cpus, 1.0)), begun_(begun), work_(begun) {
    for (const auto& job : jobs)
      if (auto start = next_start(job, 0)) ahead_.insert({*start, &job});
  }

  StartTimes plan() {
    while (!ahead_.empty()) {
      auto first = ahead_.extract(ahead_.begin());
      double now = first.value().start;
      work_ += first.value().job->work;
      on_time_.insert(std::move(first));
      while (work_ / cpus_ > now && !on_time_.empty()) postpone_one(now);
    }
    StartTimes starts;
    for (const auto& planned : on_time_) starts[planned.job->id] = planned.start;
    return starts;
  }

 private:
  struct PlannedStart {
    double start;
    const TimedJob* job;
    bool operator<(const PlannedStart& other) const {
      return std::tie(start, job->id) < std::tie(other.start, other.job->id);
    }
  };
  using PlannedStarts = std::set<PlannedStart>;

  // Of the jobs planned so far, moves the largest to its next due time, or drops it if it has none.
  void postpone_one(double now) {
    auto largest = on_time_.end(), largest_at_last_due = on_time_.end();
    double not_postponable = begun_;
    for (auto it = on_time_.begin(); it != on_time_.end(); ++it) {
      bool at_last_due = !next_start(*it->job, now);
      if (at_last_due) not_postponable += it->job->work;
      auto& largest_of_kind = at_last_due ? largest_at_last_due : largest;
      if (largest_of_kind == on_time_.end() || it->job->work > largest_of_kind->job->work)
        largest_of_kind = it;
    }
    bool misses_last =
        largest == on_time_.end() || (largest_at_last_due != on_time_.end() && not_postponable / cpus_ > now);
    auto victim = misses_last ? largest_at_last_due : largest;
    const auto& job = *victim->job;
    work_ -= job.work;
    if (!misses_last) ahead_.insert({*next_start(job, now), &job});
    on_time_.erase(victim);
  }

  double cpus_;
  double begun_;
  double work_;  // CPU seconds of `begun` and of all jobs planned to be on time
  PlannedStarts ahead_;
  PlannedStarts on_time_;
};

}  // namespace

StartTimes plan_starts(const std::vector<TimedJob>& jobs, double cpus, double begun) {
  return StartPlanner(jobs, cpus, begun).plan();
}

}  // namespace beaconsill::scheduler
