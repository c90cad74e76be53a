// Which job is served next: a queue for each team, served in turn by fair share.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.h"
#include "config/settings.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {

// How far a job of which nothing has begun is moved forward in the queue.
enum class Starvation {
  kNone,
  kBeforeEquals,  // waiting for so long that it goes before others of its priority
  kBeforeAll      // still longer: it goes before higher priorities as well
};

struct QueuedJob {
  JobId id;
  Team team;
  Priority priority = Priority::kNormal;
  std::int64_t due_ms = 0;        // wall time by which it has to start, see plan_starts
  std::int64_t submitted_ms = 0;  // wall time
  Resources wanted;               // of all its tasks that may be granted
  Starvation starvation = Starvation::kNone;
};

// The jobs in the order in which to serve them. `usage`: what each team has been granted. Higher priority
// goes first; among equals a starving job, the oldest first; then a team within its guarantee before one that
// borrows, then the team that has the least of its share; inside a team the job that is due first.
std::vector<QueuedJob> serve_order(std::vector<QueuedJob> jobs,
                                   const std::vector<config::TeamSettings>& teams, TeamUsage usage);

}  // namespace beaconsill::scheduler
