#include "scheduler/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/counts.h"

namespace beaconsill::scheduler {
namespace {

// Tasks of `each` that fit between `used` and `limit`; may be negative.
double tasks_within(double limit, double used, double each) {
  return std::floor((limit - used) / each + kRoundingSlack);
}

}  // namespace

QuotaLedger::QuotaLedger(std::vector<config::TeamSettings> teams) : teams_(std::move(teams)) {}

void QuotaLedger::apply(const JobEntry& entry, int sign) {
  const auto& team = entry.spec().team;
  usage_.charge(team, entry.spec().each * (sign * static_cast<double>(entry.charged_tasks)));
  if (!entry.terminal_state) return;
  auto& jobs_by_shard = uncharged_by_message_[team];
  for (auto shard : entry.released_by_message)
    if ((jobs_by_shard[shard] += sign) == 0) jobs_by_shard.erase(shard);
}

std::uint32_t QuotaLedger::allowed_tasks(const JobEntry& entry, const TeamUsage& usage) const {
  const auto& spec = entry.spec();
  // How many tasks of a job may be outstanding is bounded by the size of the value that holds its grants
  // alone, see Scheduler::on_oversized.
  double allowed = spec.tasks - std::min(spec.tasks, entry.charged_tasks);
  for (const auto& team : teams_) {
    if (team.name != spec.team) continue;
    Resources used = usage.of(team.name);
    if (team.cpus_max > 0 && spec.each.cpus > 0)
      allowed = std::min(allowed, tasks_within(team.cpus_max, used.cpus, spec.each.cpus));
    if (team.gpus_max > 0 && spec.each.gpus > 0)
      allowed = std::min(allowed, tasks_within(team.gpus_max, used.gpus, spec.each.gpus));
  }
  // Found by the simulation, seed 1366: a team charged beyond its limit may not be granted all of its
  // released tasks anew.
  return static_cast<std::uint32_t>(std::max(allowed + entry.released_by_message_tasks, 0.0));
}

// Found by reading the code: a shard leader reported that a cancelled job's tasks were released, and another
// job of the team was granted their quota. The next shard leader, which had neither read the cancellation nor
// knew of the message, could still start them. While the reported term is current no next leader exists; one
// that is elected later reads the cancellation first.
std::set<ShardId> QuotaLedger::required_terms(const JobEntry& entry) const {
  std::set<ShardId> shards = entry.released_by_message;
  if (auto team = uncharged_by_message_.find(entry.spec().team); team != uncharged_by_message_.end())
    for (const auto& [shard, jobs] : team->second) shards.insert(shard);
  return shards;
}

}  // namespace beaconsill::scheduler
