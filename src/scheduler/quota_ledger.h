// Keeps every team within its quota: what is charged to each team, and how much more it may be granted.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/types.h"
#include "config/settings.h"
#include "scheduler/job_entry.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {

// Rules, all of them in this class and in JobEntry::charged_tasks:
// - A granted task is charged until it's recorded or reported as done, or recorded as released.
// - A task released by message only stays charged while its job isn't over, but may be granted anew by a
// write
//   that is conditional on the reporting shard leader's term.
// - Of a job that is over, such a task isn't charged; every grant to the team is then conditional on that
// term.
// - A team without limits may be granted anything.
class QuotaLedger {
 public:
  explicit QuotaLedger(std::vector<config::TeamSettings> teams);

  // Adds a job's charged tasks. Each call must be undone by `release` with the same entry, before it changes.
  void charge(const JobEntry& entry) { apply(entry, +1); }
  void release(const JobEntry& entry) { apply(entry, -1); }

  // How many tasks of the job may be granted while the teams have `usage`, including those released by
  // message only, which are charged already.
  std::uint32_t allowed_tasks(const JobEntry& entry, const TeamUsage& usage) const;
  // Shards whose present terms a grant to this job has to be conditional on.
  std::set<ShardId> required_terms(const JobEntry& entry) const;

  const TeamUsage& usage() const { return usage_; }
  const std::vector<config::TeamSettings>& teams() const { return teams_; }

 private:
  void apply(const JobEntry& entry, int sign);

  std::vector<config::TeamSettings> teams_;
  TeamUsage usage_;
  // Number of jobs of the team that are over and of which the shard has tasks released by message only.
  std::map<Team, std::map<ShardId, int>> uncharged_by_message_;
};

}  // namespace beaconsill::scheduler
