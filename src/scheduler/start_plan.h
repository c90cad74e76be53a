// Plans by when jobs with due times have to start, given the available CPUs.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"

namespace beaconsill::scheduler {

// A job that should be complete by one of several due times, preferably by the earliest.
struct DeadlineJob {
  JobId id;
  double remaining_cpu_s = 0;  // remaining work in CPU seconds, according to the submitter's estimate
  double task_run_time_s = 0;  // estimated run time of one task, and so the minimum time until completion
  std::vector<double> due_s;   // due times in seconds from now, ascending; negative if they have passed
};

// The latest start of each job, in seconds from now. Jobs that can't meet any of their due times are left
// out.
using StartTimes = std::map<JobId, double>;

// Chooses a due time for each job and returns the latest starts that meet these due times. If jobs were
// served strictly in the order of their first due times, a single job too many would make all later jobs
// late. Instead, whenever the work planned up to a due time exceeds the capacity, the largest of those jobs
// is postponed to its next due time until the others are on time. This is the Moore-Hodgson algorithm with
// `cpus` as the machine, which first has to complete `running_cpu_s` CPU seconds of work that has already
// begun. Missing a job's last due time is the worst outcome: a job misses it only if the work of jobs without
// a later due time exceeds the capacity by itself.
StartTimes plan_starts(const std::vector<DeadlineJob>& jobs, double cpus, double running_cpu_s);

}  // namespace beaconsill::scheduler
