#include "lead/queue.h"

#include <algorithm>
#include <deque>

namespace beaconsill::lead {

std::vector<JobId> serve_order(std::vector<QueuedJob> jobs, const std::vector<config::TeamSettings>& teams,
                               std::map<Team, Resources> usage) {
  std::sort(jobs.begin(), jobs.end(), [](const QueuedJob& a, const QueuedJob& b) {
    if (a.priority != b.priority) return a.priority > b.priority;
    if (a.due_ms != b.due_ms) return a.due_ms < b.due_ms;
    return a.id < b.id;
  });
  std::map<Team, std::deque<const QueuedJob*>> queues;
  for (const auto& j : jobs) queues[j.team].push_back(&j);
  std::map<Team, const config::TeamSettings*> settings;
  for (const auto& t : teams) settings[t.name] = &t;

  struct Rank {
    int priority;
    bool borrows;
    double fill;
    auto operator<=>(const Rank&) const = default;
  };
  auto rank = [&](const Team& team, const QueuedJob& head) {
    const auto* s = settings.contains(team) ? settings[team] : nullptr;
    const auto& used = usage[team];
    double share = s && s->cpus > 0 ? s->cpus : s && s->gpus > 0 ? s->gpus : 1;
    bool by_gpu = s && s->cpus <= 0 && s->gpus > 0;
    double have = by_gpu ? used.gpus : used.cpus;
    bool borrows = !s || (s->cpus > 0 && used.cpus >= s->cpus) || (s->gpus > 0 && used.gpus >= s->gpus);
    return Rank{-static_cast<int>(head.priority), borrows, have / share};
  };
  std::vector<JobId> out;
  while (!queues.empty()) {
    auto best = queues.begin();
    auto best_rank = rank(best->first, *best->second.front());
    for (auto it = std::next(queues.begin()); it != queues.end(); ++it) {
      auto r = rank(it->first, *it->second.front());
      if (r < best_rank) {
        best = it;
        best_rank = r;
      }
    }
    const auto* job = best->second.front();
    out.push_back(job->id);
    usage[best->first] += job->wanted;
    best->second.pop_front();
    if (best->second.empty()) queues.erase(best);
  }
  return out;
}

}  // namespace beaconsill::lead
