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
  std::int64_t due_ms = 0;  // when it should be complete, or started
  Resources wanted;         // of all its tasks that wait
};

// The order in which to serve. `usage`: what each team has been granted. Higher priority goes first; among
// equals a team within its guarantee before one that borrows, then the team that has least of its share;
// inside a team the job that is due first.
std::vector<JobId> serve_order(std::vector<QueuedJob> jobs, const std::vector<config::TeamSettings>& teams,
                               std::map<Team, Resources> usage);

}  // namespace beaconsill::lead
