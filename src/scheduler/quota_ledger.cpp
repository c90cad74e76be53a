#include "scheduler/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/counts.h"

namespace beaconsill::scheduler {
namespace {

// Returns how many tasks of size `each` fit into what `used` leaves of `limit`, with all amounts in CPUs or
// all in GPUs. The result is negative if `used` exceeds `limit`.
double tasks_within(double limit, double used, double each) {
  return std::floor((limit - used) / each + kRoundingSlack);
}

}  // namespace

QuotaLedger::QuotaLedger(std::vector<config::TeamSettings> teams) : teams_(std::move(teams)) {}

void QuotaLedger::apply(const JobEntry& entry, int sign) {
  const auto& team = entry.spec().team;
  usage_.charge(team, entry.spec().each * (sign * static_cast<double>(entry.charged_tasks)));
  if (!entry.terminal_state) return;
  auto& jobs_by_shard = unrecorded_release_jobs_[team];
  for (auto shard : entry.released_by_message)
    if ((jobs_by_shard[shard] += sign) == 0) jobs_by_shard.erase(shard);
}

std::uint32_t QuotaLedger::allowed_tasks(const JobEntry& entry, const TeamUsage& usage) const {
  const auto& spec = entry.spec();
  // Apart from the quota, the number of a job's outstanding tasks is limited only by the size of the value in
  // the state store that contains its grants, see Scheduler::on_oversized.
  double allowed = spec.tasks - std::min(spec.tasks, entry.charged_tasks);
  for (const auto& team : teams_) {
    if (team.name != spec.team) continue;
    Resources used = usage.of(team.name);
    if (team.cpus_max > 0 && spec.each.cpus > 0)
      allowed = std::min(allowed, tasks_within(team.cpus_max, used.cpus, spec.each.cpus));
    if (team.gpus_max > 0 && spec.each.gpus > 0)
      allowed = std::min(allowed, tasks_within(team.gpus_max, used.gpus, spec.each.gpus));
  }
  // `allowed` may be negative. A team that is charged beyond its limit must not be granted all of its
  // released tasks again (found by the simulation, seed 1366).
  return static_cast<std::uint32_t>(std::max(allowed + entry.released_by_message_tasks, 0.0));
}

// Without the condition on these terms, a team could exceed its quota (found by reading the code): a shard
// leader reports that a cancelled job's tasks are released, and another job of the team is granted their
// quota. The next shard leader, which has neither read the cancellation nor received the message, could still
// start the cancelled job's tasks. While the reported term is current there is no next leader, and a leader
// that is elected later reads the cancellation first.
std::set<ShardId> QuotaLedger::required_terms(const JobEntry& entry) const {
  std::set<ShardId> shards = entry.released_by_message;
  if (auto team = unrecorded_release_jobs_.find(entry.spec().team); team != unrecorded_release_jobs_.end())
    for (const auto& [shard, jobs] : team->second) shards.insert(shard);
  return shards;
}

}  // namespace beaconsill::scheduler
