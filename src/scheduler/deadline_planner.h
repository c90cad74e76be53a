// Due times of jobs by their deadlines and the service-level objectives, and how long jobs starve.
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
  // `longest_wait`: after which a job of which nothing has begun is starving; zero or less: never.
  DeadlinePlanner(std::vector<config::Objective> objectives, Duration longest_wait);

  // Wall times in milliseconds, ascending, that the objectives and the job itself set. Deadlines count from
  // its submission, the others from `counts_from`; without that they aren't known yet and left out.
  std::vector<std::int64_t> due_times(const state_store::JobRecord& record,
                                      std::optional<WallMs> counts_from) const;
  // Seconds from now by which arrays and gangs with pending tasks have to start. Jobs in crash-loop back-off
  // are left out.
  StartTimes plan_start_times(const JobTable& jobs, const CrashLoopBackoff& crash_loops, WallMs wall) const;
  // How long a job that has got nothing has been waiting, in multiples of the longest wait; 0 for others.
  double waits_in_limits(const JobEntry& entry, WallMs wall) const;

 private:
  std::vector<config::Objective> objectives_;
  Duration longest_wait_;
};

}  // namespace beaconsill::scheduler
