// Determines the order in which waiting jobs are scheduled: by priority, starvation and fair sharing between
// teams.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.h"
#include "config/settings.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {

// How far a job is moved forward in the queue because it has waited too long. Only jobs without any
// outstanding or done task are moved.
enum class StarvationBoost {
  kNone,
  kAheadOfEqualPriority,  // The job precedes other jobs of its priority.
  kAheadOfAllPriorities   // The job has waited even longer and also precedes jobs of higher priority.
};

struct QueuedJob {
  JobId id;
  Team team;
  Priority priority = Priority::kNormal;
  // Wall time by which to start, see plan_starts; for services and without due times: eligible_since_ms.
  std::int64_t start_by_ms = 0;
  std::int64_t eligible_since_ms = 0;  // wall time of submission or of completion of the last dependency
  Resources grantable_resources;       // total of all its tasks that may be granted now
  StarvationBoost starvation_boost = StarvationBoost::kNone;
};

// Returns the jobs in the order in which they are to be scheduled. `usage` is what each team has been
// granted. The criteria, in descending precedence:
// - Jobs with StarvationBoost::kAheadOfAllPriorities go first, the oldest of them first.
// - Jobs of higher priority go first.
// - Among jobs of equal priority, starving jobs go first, the oldest of them first.
// - Teams that are within their guarantee go before teams that borrow beyond it.
// - The team that uses the smallest fraction of its guarantee goes first.
// - Within a team, the job that has to start first goes first.
// Each job in the order is charged to its team before the next one is chosen.
std::vector<QueuedJob> order_by_fair_share(std::vector<QueuedJob> jobs,
                                           const std::vector<config::TeamSettings>& teams, TeamUsage usage);

}  // namespace beaconsill::scheduler
