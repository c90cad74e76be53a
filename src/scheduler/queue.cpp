#include "scheduler/queue.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace beaconsill::scheduler {

std::vector<QueuedJob> serve_order(std::vector<QueuedJob> jobs,
                                   const std::vector<config::TeamSettings>& teams,
                                   std::map<Team, Resources> usage) {
  std::sort(jobs.begin(), jobs.end(), [](const QueuedJob& a, const QueuedJob& b) {
    if ((a.starvation > 1) != (b.starvation > 1)) return a.starvation > 1;
    if (a.starvation <= 1 && a.priority != b.priority) return a.priority > b.priority;
    if (a.starvation != b.starvation) return a.starvation > b.starvation;
    if (a.starvation && a.submitted_ms != b.submitted_ms) return a.submitted_ms < b.submitted_ms;
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
    int priority = head.starvation > 1 ? std::numeric_limits<int>::min() : -static_cast<int>(head.priority);
    auto waits = head.starvation ? head.submitted_ms : std::numeric_limits<std::int64_t>::max();
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

std::map<JobId, double> plan_starts(const std::vector<TimedJob>& jobs, double cpus, double begun) {
  cpus = std::max(cpus, 1.0);
  using Place = std::tuple<double, JobId, const TimedJob*>;
  std::set<Place> ahead, kept;  // by when they have to start
  // For the first of its times that it can keep by starting after `t`. Its work counts in full, and at any
  // time what runs is half done: so the last of it ends half a run time after its share of the work is.
  auto next_start = [](const TimedJob& j, double t) -> std::optional<double> {
    for (double due : j.due)
      if (due >= j.least_s && due - j.least_s / 2 > t) return due - j.least_s / 2;
    return std::nullopt;
  };
  for (const auto& j : jobs)
    if (auto start = next_start(j, 0)) ahead.emplace(*start, j.id, &j);
  double work = begun;
  while (!ahead.empty()) {
    auto first = ahead.extract(ahead.begin());
    double now = std::get<0>(first.value());
    work += std::get<2>(first.value())->work;
    kept.insert(std::move(first));
    while (work / cpus > now && !kept.empty()) {
      auto largest = kept.end(), largest_last = kept.end();
      double bound = begun;  // work that can't be put off any more
      for (auto k = kept.begin(); k != kept.end(); ++k) {
        const auto& j = *std::get<2>(*k);
        bool last = !next_start(j, now);
        if (last) bound += j.work;
        auto& l = last ? largest_last : largest;
        if (l == kept.end() || j.work > std::get<2>(*l)->work) l = k;
      }
      bool miss = largest == kept.end() || (largest_last != kept.end() && bound / cpus > now);
      auto victim = miss ? largest_last : largest;
      const auto& j = *std::get<2>(*victim);
      work -= j.work;
      if (!miss) ahead.emplace(*next_start(j, now), j.id, &j);
      kept.erase(victim);
    }
  }
  std::map<JobId, double> out;
  for (const auto& [start, id, j] : kept) out[id] = start;
  return out;
}

}  // namespace beaconsill::scheduler
