// Computes due times and planned start times of jobs from their deadlines and the service-level objectives,
// and how long jobs have waited.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"
#include "config/settings.h"
#include "scheduler/crash_loop_backoff.h"
#include "scheduler/job_table.h"
#include "scheduler/start_plan.h"

namespace beaconsill::scheduler {

class DeadlinePlanner {
 public:
  // A job without any outstanding or done task is starving after it has waited for `longest_wait`. If that is
  // zero or negative, jobs never count as starving.
  DeadlinePlanner(std::vector<config::Objective> objectives, Duration longest_wait);

  // Returns the job's due times according to the objectives and its own deadline: wall times in milliseconds,
  // in ascending order. Deadlines are relative to the submission, all other due times to `eligible_since`; if
  // it is std::nullopt, these others aren't known yet and are left out.
  std::vector<std::int64_t> due_times(const state_store::JobRecord& record,
                                      std::optional<WallMs> eligible_since) const;
  // Returns the latest starts of arrays and gangs with pending tasks, in seconds from now. Jobs that are in
  // crash-loop back-off or can't meet any due time are left out.
  StartTimes plan_start_times(const JobTable& jobs, const CrashLoopBackoff& crash_loops, WallMs wall) const;
  // Returns how long a job without any outstanding or done task has been waiting, as a multiple of the
  // longest acceptable wait; 0 for other jobs.
  double wait_ratio(const JobEntry& entry, WallMs wall) const;

 private:
  std::vector<config::Objective> objectives_;
  Duration longest_wait_;
};

}  // namespace beaconsill::scheduler
