// By when jobs with due times have to start, given the CPUs there are.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"

namespace beaconsill::scheduler {

// A job that should be complete at one of several times, the earlier the better.
struct TimedJob {
  JobId id;
  double work = 0;          // CPU seconds left, by its submitter's estimate
  double least_s = 0;       // its tasks' run time: it can't be complete sooner than this
  std::vector<double> due;  // seconds from now, ascending; may have passed
};

// Seconds from now by which each job has to start; jobs that can meet none of their due times are left out.
using StartTimes = std::map<JobId, double>;

// By when each job has to start to meet the due time planned for it. Served in the order of their first due
// times, one job too many would make all that follow it late. Instead the largest of those before that time
// is postponed to its next due time until the rest is on time (Moore and Hodgson's rule, with `cpus` as the
// machine and `begun` as the CPU seconds that it has yet to do). A job's last due time is the one to miss
// least: a job misses it only if the jobs that have no later due time are too much by themselves.
StartTimes plan_starts(const std::vector<TimedJob>& jobs, double cpus, double begun);

}  // namespace beaconsill::scheduler
