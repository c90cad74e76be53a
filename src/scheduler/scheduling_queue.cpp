#include "scheduler/scheduling_queue.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <utility>

namespace beaconsill::scheduler {
namespace {

bool precedes_within_team(const QueuedJob& left, const QueuedJob& right) {
  bool left_ahead_of_all = left.starvation_boost == StarvationBoost::kAheadOfAllPriorities;
  bool right_ahead_of_all = right.starvation_boost == StarvationBoost::kAheadOfAllPriorities;
  if (left_ahead_of_all != right_ahead_of_all) return left_ahead_of_all;
  if (!left_ahead_of_all && left.priority != right.priority) return left.priority > right.priority;
  if (left.starvation_boost != right.starvation_boost) return left.starvation_boost > right.starvation_boost;
  if (left.starvation_boost != StarvationBoost::kNone && left.eligible_since_ms != right.eligible_since_ms)
    return left.eligible_since_ms < right.eligible_since_ms;
  if (left.start_by_ms != right.start_by_ms) return left.start_by_ms < right.start_by_ms;
  return left.id < right.id;
}

// Rank of a team according to the job at the head of its queue. The fields are compared in the order of their
// declaration, and the team with the lowest rank goes first.
struct TeamRank {
  int negated_priority;
  // When the job became eligible if it's starving, else the maximum. Starving jobs are ordered by age
  // regardless of their teams' usage.
  std::int64_t starving_since_ms;
  bool borrows;       // The team uses its whole guarantee, so that further grants exceed it.
  double share_used;  // fraction of the guarantee, in GPUs for teams whose guarantee is for GPUs only
  auto operator<=>(const TeamRank&) const = default;
};

// `settings` is null for a team that isn't configured. Such a team has no guarantee.
TeamRank compute_team_rank(const QueuedJob& head, const config::TeamSettings* settings,
                           const Resources& used) {
  double guarantee = 1;
  bool by_gpu = false;
  bool borrows = true;
  if (settings) {
    by_gpu = settings->cpus <= 0 && settings->gpus > 0;
    if (settings->cpus > 0) guarantee = settings->cpus;
    if (by_gpu) guarantee = settings->gpus;
    borrows = (settings->cpus > 0 && used.cpus >= settings->cpus) ||
              (settings->gpus > 0 && used.gpus >= settings->gpus);
  }
  int negated_priority = head.starvation_boost == StarvationBoost::kAheadOfAllPriorities
                             ? std::numeric_limits<int>::min()
                             : -static_cast<int>(head.priority);
  auto starving_since = head.starvation_boost == StarvationBoost::kNone
                            ? std::numeric_limits<std::int64_t>::max()
                            : head.eligible_since_ms;
  return {negated_priority, starving_since, borrows, (by_gpu ? used.gpus : used.cpus) / guarantee};
}

}  // namespace

std::vector<QueuedJob> order_by_fair_share(std::vector<QueuedJob> jobs,
                                           const std::vector<config::TeamSettings>& teams, TeamUsage usage) {
  std::sort(jobs.begin(), jobs.end(), precedes_within_team);
  std::map<Team, std::deque<const QueuedJob*>> queues;
  for (const auto& job : jobs) queues[job.team].push_back(&job);
  std::map<Team, const config::TeamSettings*> settings_by_team;
  for (const auto& team : teams) settings_by_team[team.name] = &team;

  auto rank_of = [&](const Team& team, const QueuedJob& head) {
    auto settings = settings_by_team.find(team);
    return compute_team_rank(head, settings == settings_by_team.end() ? nullptr : settings->second,
                             usage.of(team));
  };
  std::vector<QueuedJob> order;
  while (!queues.empty()) {
    auto best = queues.begin();
    auto best_rank = rank_of(best->first, *best->second.front());
    for (auto it = std::next(queues.begin()); it != queues.end(); ++it) {
      auto candidate_rank = rank_of(it->first, *it->second.front());
      if (candidate_rank < best_rank) {
        best = it;
        best_rank = candidate_rank;
      }
    }
    const auto* job = best->second.front();
    order.push_back(*job);
    usage.charge(best->first, job->grantable_resources);
    best->second.pop_front();
    if (best->second.empty()) queues.erase(best);
  }
  return order;
}

}  // namespace beaconsill::scheduler
