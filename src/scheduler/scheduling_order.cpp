// The order in which waiting jobs are served: their times, limits and longest waits.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "scheduler/counts.h"
#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

// In multiples of the longest wait: from when on a job that got nothing goes before work of higher priority.
constexpr double kBeforeAll = 1.3;
// What can keep none of its times comes after all that can.
constexpr std::int64_t kTooLate = std::int64_t{1} << 50;
// What is left of a task that is out, on average.
constexpr double kUnderWay = 0.5;

}  // namespace

std::vector<std::int64_t> Scheduler::due(const state_store::JobRecord& record,
                                         std::optional<WallMs> counts_from) const {
  const auto& spec = *record.spec;
  std::set<std::int64_t> times;
  auto add = [&](WallMs from, double seconds) {
    times.insert(from.value() + static_cast<std::int64_t>(seconds * 1000));
  };
  for (const auto& o : objectives_) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == "deadline" && spec.deadline_s) add(record.submitted, *spec.deadline_s * o.times);
    if (!counts_from || o.within_s <= 0) continue;
    if (o.kind == "finished") add(*counts_from, o.within_s);
    // All its tasks are to start by then; the last of them is complete a run time later.
    if (o.kind == "wait") add(*counts_from, o.within_s + spec.estimate_s);
  }
  if (times.empty() && spec.deadline_s) add(record.submitted, *spec.deadline_s);
  return {times.begin(), times.end()};
}

double Scheduler::starvation(const JobId& id, const Entry& e, WallMs wall) const {
  if (crash_loops_.contains(id)) return 0;
  if (e.out > 0 || !e.done.empty() || params_.longest_wait <= Duration(0)) return 0;
  return static_cast<double>(wall.value() - e.counts_from.value()) / 1000 / to_seconds(params_.longest_wait);
}

std::map<JobId, double> Scheduler::plan_start_times(WallMs wall) const {
  std::vector<TimedJob> timed;
  double cpus = 0, begun = 0;
  for (const auto& id : arrays_) {
    const auto& e = jobs_.at(id);
    const auto& spec = *e.record.spec;
    cpus += spec.each.cpus * e.out;
    if (crash_loops_.contains(id)) continue;
    if (e.pending.empty()) {
      begun += spec.each.cpus * spec.estimate_s * kUnderWay * e.out;
      continue;
    }
    TimedJob t{
        id, spec.each.cpus * spec.estimate_s * (e.pending.count() + kUnderWay * e.out), spec.estimate_s, {}};
    for (auto due : e.need.due_ms) t.due.push_back(static_cast<double>(due - wall.value()) / 1000);
    timed.push_back(std::move(t));
  }
  // When work waits, what is out is what the machines can hold.
  auto planned = plan_starts(timed, cpus, begun);
  if (spdlog::should_log(spdlog::level::debug)) {
    double work = begun;
    for (const auto& t : timed) work += t.work;
    spdlog::debug("plan: {} jobs, {:.0f} CPU s for {:.0f} CPUs, {} of them can keep none of their times",
                  timed.size(), work, cpus, timed.size() - planned.size());
  }
  return planned;
}

std::vector<QueuedJob> Scheduler::order(Instant now, WallMs wall, bool services_only) const {
  auto planned = services_only ? std::map<JobId, double>{} : plan_start_times(wall);
  std::vector<QueuedJob> waiting;
  for (const auto& id : waiting_) {
    const auto& e = jobs_.at(id);
    bool service = e.record.spec->kind == JobKind::kService;
    if (e.oversized_pieces > 0 || (services_only && !service)) continue;
    auto n = grantable(id, e, usage_, now);
    bool gang = e.record.spec->kind == JobKind::kGang;
    // A gang is granted as a whole, and anew only once nothing of its last attempt is left anywhere.
    if (n == 0 || (gang && n < e.pending.count())) continue;
    QueuedJob q;
    q.id = id;
    q.team = e.record.spec->team;
    q.priority = e.need.priority;
    q.due_ms = q.submitted_ms = e.counts_from.value();
    q.wanted = e.record.spec->each * static_cast<double>(n);
    auto waits = starvation(id, e, wall);
    q.starvation = waits < 1 ? 0 : waits < kBeforeAll ? 1 : 2;
    if (!e.need.due_ms.empty() && !service) {
      auto start = planned.find(id);
      q.due_ms = start == planned.end() ? e.need.due_ms.back() + kTooLate
                                        : wall.value() + static_cast<std::int64_t>(start->second * 1000);
    }
    waiting.push_back(std::move(q));
  }
  return serve_order(std::move(waiting), teams_, usage_);
}

// Whether some service could be granted a task now.
bool Scheduler::services_wait(Instant now) const {
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const JobId& id) {
    const auto& e = jobs_.at(id);
    return e.record.spec->kind == JobKind::kService && e.oversized_pieces == 0 &&
           grantable(id, e, usage_, now) > 0;
  });
}

std::uint32_t Scheduler::grantable(const JobId& id, const Entry& e, const std::map<Team, Resources>& usage,
                                   Instant now) const {
  auto n = std::min(e.pending.count(), allowed_by_quota(e, usage));
  if (!crash_loops_.contains(id)) return n;
  if (e.out > 0 || !crash_loops_.due(id, now)) return 0;
  return e.record.spec->kind == JobKind::kGang ? n : std::min(n, 1u);
}

std::uint32_t Scheduler::allowed_by_quota(const Entry& e, const std::map<Team, Resources>& usage) const {
  const auto& spec = *e.record.spec;
  // What was told to be returned is in the ledger until the write that grants it anew. How many tasks of a
  // job may be out is bounded by the size of the value that holds its grants alone, see on_oversized.
  double n = spec.tasks - std::min(spec.tasks, e.charged);
  for (const auto& t : teams_) {
    if (t.name != spec.team) continue;
    auto it = usage.find(t.name);
    Resources used = it == usage.end() ? Resources{} : it->second;
    if (t.cpus_max > 0 && spec.each.cpus > 0)
      n = std::min(n, std::floor((t.cpus_max - used.cpus) / spec.each.cpus + kRoundingSlack));
    if (t.gpus_max > 0 && spec.each.gpus > 0)
      n = std::min(n, std::floor((t.gpus_max - used.gpus) / spec.each.gpus + kRoundingSlack));
  }
  // Found by the simulation, seed 1366: with more in the ledger than the limit allows, what was returned may
  // not be granted anew in full.
  return static_cast<std::uint32_t>(std::max(n + e.notified_released, 0.0));
}

}  // namespace beaconsill::scheduler
