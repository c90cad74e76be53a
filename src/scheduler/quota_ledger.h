// Enforces the teams' quotas: tracks what is charged to each team and how much more it may be granted.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/types.h"
#include "config/settings.h"
#include "scheduler/job_entry.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {

// All rules are implemented in this class and in JobEntry::charged_tasks:
// - A granted task is charged until it is recorded or reported as done, or recorded as released.
// - A task whose release is only reported by message stays charged unless its job is in a terminal state.
// - Such a task may nevertheless be granted again, by a write that is conditional on the reporting shard
//   leader's term.
// - If the job is in a terminal state, such a task isn't charged. In that case every grant to the team is
//   conditional on the reporting shard leader's term.
// - Teams without limits may be granted any amount.
class QuotaLedger {
 public:
  explicit QuotaLedger(std::vector<config::TeamSettings> teams);

  // Charges the job's charged_tasks to its team. Each call must be undone by `release` before the entry
  // changes.
  void charge(const JobEntry& entry) { apply(entry, +1); }
  void release(const JobEntry& entry) { apply(entry, -1); }

  // Returns how many tasks of the job may be granted, given the teams' `usage`. The number includes tasks
  // whose release is only reported by message, which are charged already.
  std::uint32_t allowed_tasks(const JobEntry& entry, const TeamUsage& usage) const;
  // Returns the shards on whose current terms a grant to this job must be conditional.
  std::set<ShardId> required_terms(const JobEntry& entry) const;

  const TeamUsage& usage() const { return usage_; }
  const std::vector<config::TeamSettings>& teams() const { return teams_; }

 private:
  void apply(const JobEntry& entry, int sign);

  std::vector<config::TeamSettings> teams_;
  TeamUsage usage_;
  // The number of jobs in a terminal state, by team and shard, for which the shard's leader has reported
  // releases that are not recorded yet.
  std::map<Team, std::map<ShardId, int>> unrecorded_release_jobs_;
};

}  // namespace beaconsill::scheduler
