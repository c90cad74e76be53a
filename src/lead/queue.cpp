#include "lead/queue.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace beaconsill::lead {

std::vector<QueuedJob> serve_order(std::vector<QueuedJob> jobs,
                                   const std::vector<config::TeamSettings>& teams,
                                   std::map<Team, Resources> usage) {
  std::sort(jobs.begin(), jobs.end(), [](const QueuedJob& a, const QueuedJob& b) {
    if ((a.overdue > 1) != (b.overdue > 1)) return a.overdue > 1;
    if (a.overdue <= 1 && a.priority != b.priority) return a.priority > b.priority;
    if (a.overdue != b.overdue) return a.overdue > b.overdue;
    if (a.overdue && a.submitted_ms != b.submitted_ms) return a.submitted_ms < b.submitted_ms;
    if (a.tier != b.tier) return a.tier < b.tier;
    if (a.due_ms != b.due_ms) return a.due_ms < b.due_ms;
    return a.id < b.id;
  });
  std::map<Team, std::deque<const QueuedJob*>> queues;
  for (const auto& j : jobs) queues[j.team].push_back(&j);
  std::map<Team, const config::TeamSettings*> settings;
  for (const auto& t : teams) settings[t.name] = &t;

  struct Rank {
    int priority;
    std::int64_t waits;  // overdue jobs go by age, whatever their team has
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
    int priority = head.overdue > 1 ? std::numeric_limits<int>::min() : -static_cast<int>(head.priority);
    auto waits = head.overdue ? head.submitted_ms : std::numeric_limits<std::int64_t>::max();
    return Rank{priority, waits, borrows, have / share};
  };
  std::vector<QueuedJob> out;
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
    out.push_back(*job);
    usage[best->first] += job->wanted;
    best->second.pop_front();
    if (best->second.empty()) queues.erase(best);
  }
  return out;
}

std::map<JobId, Tier> plan_tiers(std::vector<TimedJob> jobs, double cpus) {
  std::map<JobId, Tier> out;
  cpus = std::max(cpus, 1.0);
  double begun = 0;  // work of the tiers before this one
  for (std::size_t tier = 0; !jobs.empty(); ++tier) {
    std::vector<TimedJob> timed, late;
    for (auto& j : jobs) {
      if (tier >= j.due.size()) {
        out[j.id] = {static_cast<int>(j.due.size()), j.due.empty() ? 0 : j.due.back()};
      } else if (j.least_s > j.due[tier]) {
        late.push_back(std::move(j));
      } else {
        timed.push_back(std::move(j));
      }
    }
    std::sort(timed.begin(), timed.end(), [&](const auto& a, const auto& b) {
      return a.due[tier] != b.due[tier] ? a.due[tier] < b.due[tier] : a.id < b.id;
    });
    std::vector<TimedJob> kept;
    double work = begun;
    for (auto& j : timed) {
      work += j.work;
      double due = j.due[tier];
      kept.push_back(std::move(j));
      if (work / cpus <= due) continue;
      auto largest = std::max_element(kept.begin(), kept.end(),
                                      [](const auto& a, const auto& b) { return a.work < b.work; });
      work -= largest->work;
      late.push_back(std::move(*largest));
      kept.erase(largest);
    }
    for (const auto& j : kept) out[j.id] = {static_cast<int>(tier), j.due[tier]};
    begun = work;
    jobs = std::move(late);
  }
  return out;
}

}  // namespace beaconsill::lead
