// Which job is served next: a queue for each team, served in turn by shares.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::scheduler {

struct QueuedJob {
  JobId id;
  Team team;
  Priority priority = Priority::kNormal;
  std::int64_t due_ms = 0;  // when it has to start, see plan_starts
  std::int64_t submitted_ms = 0;
  Resources wanted;  // of all its tasks that wait
  // 1: nothing of it has begun for so long that it goes before its equals; 2: before everything else.
  int starvation = 0;
};

// The order in which to serve. `usage`: what each team has been granted. Higher priority goes first; among
// equals a job that is overdue, the oldest first; then a team within its guarantee before one that borrows,
// then the team that has least of its share; inside a team the job that is due first.
std::vector<QueuedJob> serve_order(std::vector<QueuedJob> jobs,
                                   const std::vector<config::TeamSettings>& teams,
                                   std::map<Team, Resources> usage);

// A job that should be complete at one of several times, the earlier the better.
struct TimedJob {
  JobId id;
  double work = 0;          // CPU seconds left, by the owner's estimate
  double least_s = 0;       // its tasks' run time: it can't be complete sooner than this
  std::vector<double> due;  // seconds from now, ascending; may have passed
};

// By when each job has to start to keep the time that it's planned to keep; those that can keep none are left
// out. In the order of their first times, one job too many makes all that follow it late; here the largest of
// those before that time is put off to its next one, until the rest is in time (Moore and Hodgson's rule,
// with `cpus` as the machine, `begun` being the work that it has yet to do). A job's last time is the one to
// miss least: a job is made to miss it only if those that have no later time, by themselves, are too much.
std::map<JobId, double> plan_starts(const std::vector<TimedJob>& jobs, double cpus, double begun);

}  // namespace beaconsill::scheduler
