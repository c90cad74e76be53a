#include "scheduler/scheduling_queue.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <utility>

namespace beaconsill::scheduler {
namespace {

bool is_served_before(const QueuedJob& left, const QueuedJob& right) {
  bool left_first = left.starvation == Starvation::kBeforeAll;
  bool right_first = right.starvation == Starvation::kBeforeAll;
  if (left_first != right_first) return left_first;
  if (!left_first && left.priority != right.priority) return left.priority > right.priority;
  if (left.starvation != right.starvation) return left.starvation > right.starvation;
  if (left.starvation != Starvation::kNone && left.submitted_ms != right.submitted_ms)
    return left.submitted_ms < right.submitted_ms;
  if (left.due_ms != right.due_ms) return left.due_ms < right.due_ms;
  return left.id < right.id;
}

// Where a team stands by the job at the head of its queue: the least rank is served next.
struct TeamRank {
  int priority;
  std::int64_t starving_since_ms;  // starving jobs go by age, whatever their team has
  bool borrows;
  double share_used;
  auto operator<=>(const TeamRank&) const = default;
};

// `settings`: null for a team without any, which has no guarantee.
TeamRank rank_of(const QueuedJob& head, const config::TeamSettings* settings, const Resources& used) {
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
  int priority = head.starvation == Starvation::kBeforeAll ? std::numeric_limits<int>::min()
                                                           : -static_cast<int>(head.priority);
  auto starving_since =
      head.starvation == Starvation::kNone ? std::numeric_limits<std::int64_t>::max() : head.submitted_ms;
  return {priority, starving_since, borrows, (by_gpu ? used.gpus : used.cpus) / guarantee};
}

}  // namespace

std::vector<QueuedJob> serve_order(std::vector<QueuedJob> jobs,
                                   const std::vector<config::TeamSettings>& teams, TeamUsage usage) {
  std::sort(jobs.begin(), jobs.end(), is_served_before);
  std::map<Team, std::deque<const QueuedJob*>> queues;
  for (const auto& job : jobs) queues[job.team].push_back(&job);
  std::map<Team, const config::TeamSettings*> settings_of;
  for (const auto& team : teams) settings_of[team.name] = &team;

  auto rank = [&](const Team& team, const QueuedJob& head) {
    auto settings = settings_of.find(team);
    return rank_of(head, settings == settings_of.end() ? nullptr : settings->second, usage.of(team));
  };
  std::vector<QueuedJob> order;
  while (!queues.empty()) {
    auto best = queues.begin();
    auto best_rank = rank(best->first, *best->second.front());
    for (auto it = std::next(queues.begin()); it != queues.end(); ++it) {
      auto candidate_rank = rank(it->first, *it->second.front());
      if (candidate_rank < best_rank) {
        best = it;
        best_rank = candidate_rank;
      }
    }
    const auto* job = best->second.front();
    order.push_back(*job);
    usage.charge(best->first, job->wanted);
    best->second.pop_front();
    if (best->second.empty()) queues.erase(best);
  }
  return order;
}

}  // namespace beaconsill::scheduler
