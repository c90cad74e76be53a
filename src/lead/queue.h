// Which job is served next: a queue for each team, served in turn by shares.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::lead {

struct QueuedJob {
  JobId id;
  Team team;
  Priority priority = Priority::kNormal;
  int tier = 0;             // which of its times it can still keep, see plan_tiers
  std::int64_t due_ms = 0;  // that time
  std::int64_t submitted_ms = 0;
  Resources wanted;  // of all its tasks that wait
  // 1: nothing of it has begun for so long that it goes before its equals; 2: before everything else.
  int overdue = 0;
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
  double least_s = 0;       // it can't be complete sooner than this, however much room it gets
  std::vector<double> due;  // seconds from now, ascending; may have passed
};
struct Tier {
  int tier = 0;  // index into `due` of the time it's planned to keep; due.size(): none
  double due = 0;
};

// Which of its times each job is to keep, so that as many jobs as possible keep their first one, then their
// second, and so on. In the order of their due times alone, one job too many makes all that follow it late;
// here the largest are put off instead until the rest is in time (Moore and Hodgson's rule, with `cpus` as
// the machine).
std::map<JobId, Tier> plan_tiers(std::vector<TimedJob> jobs, double cpus);

}  // namespace beaconsill::lead
