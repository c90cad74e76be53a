#include "scheduler/waiting_jobs.h"

#include <algorithm>
#include <utility>

#include "shard/estimator.h"

namespace beaconsill::scheduler {
namespace {

// In multiples of the longest wait: from when on a job that got nothing goes before work of higher priority.
constexpr double kBeforeAllLimit = 1.3;
// Added to the last due time of a job that can meet none: it comes after all that can.
constexpr std::int64_t kUnreachableDueMs = std::int64_t{1} << 50;
constexpr double kMsPerSecond = 1000;

Starvation starvation_of(double waits_in_limits) {
  if (waits_in_limits < 1) return Starvation::kNone;
  return waits_in_limits < kBeforeAllLimit ? Starvation::kBeforeEquals : Starvation::kBeforeAll;
}

}  // namespace

std::uint32_t WaitingJobs::grantable_tasks(const JobId& id, const JobEntry& entry, const TeamUsage& usage,
                                           Instant now) const {
  auto tasks = std::min(entry.pending.count(), quota_.allowed_tasks(entry, usage));
  if (!crash_loops_.contains(id)) return tasks;
  if (entry.outstanding_tasks > 0 || !crash_loops_.due(id, now)) return 0;
  return entry.is_gang() ? tasks : std::min(tasks, 1u);
}

double WaitingJobs::waits_in_limits(const JobId& id, const JobEntry& entry, WallMs wall) const {
  return crash_loops_.contains(id) ? 0 : deadlines_.waits_in_limits(entry, wall);
}

std::vector<QueuedJob> WaitingJobs::in_serving_order(Instant now, WallMs wall, bool services_only) const {
  auto starts = services_only ? StartTimes{} : deadlines_.plan_start_times(jobs_, crash_loops_, wall);
  std::vector<QueuedJob> waiting;
  for (const auto& id : jobs_.waiting()) {
    const auto& entry = jobs_.at(id);
    if (entry.oversized_at || (services_only && !entry.is_service())) continue;
    auto tasks = grantable_tasks(id, entry, quota_.usage(), now);
    // A gang is granted as a whole, and anew only once nothing of its last attempt is left anywhere.
    if (tasks == 0 || (entry.is_gang() && tasks < entry.pending.count())) continue;
    waiting.push_back(queued(id, entry, tasks, starts, wall));
  }
  return serve_order(std::move(waiting), quota_.teams(), quota_.usage());
}

QueuedJob WaitingJobs::queued(const JobId& id, const JobEntry& entry, std::uint32_t tasks,
                              const StartTimes& starts, WallMs wall) const {
  QueuedJob job;
  job.id = id;
  job.team = entry.spec().team;
  job.priority = entry.requirement.priority;
  job.due_ms = job.submitted_ms = entry.counts_from.value();
  job.wanted = entry.spec().each * static_cast<double>(tasks);
  job.starvation = starvation_of(waits_in_limits(id, entry, wall));
  const auto& due_ms = entry.requirement.due_ms;
  if (due_ms.empty() || entry.is_service()) return job;
  auto start = starts.find(id);
  job.due_ms = start == starts.end() ? due_ms.back() + kUnreachableDueMs
                                     : wall.value() + static_cast<std::int64_t>(start->second * kMsPerSecond);
  return job;
}

bool WaitingJobs::any_service(Instant now) const {
  return std::any_of(jobs_.waiting().begin(), jobs_.waiting().end(), [&](const JobId& id) {
    const auto& entry = jobs_.at(id);
    return entry.is_service() && !entry.oversized_at && grantable_tasks(id, entry, quota_.usage(), now) > 0;
  });
}

std::vector<Demand> WaitingJobs::demand(Instant now) const {
  std::vector<Demand> demand;
  auto usage = quota_.usage();
  for (const auto& id : jobs_.waiting()) {
    const auto& entry = jobs_.at(id);
    auto tasks = grantable_tasks(id, entry, usage, now);
    if (tasks == 0) continue;
    auto not_charged = tasks - std::min(tasks, entry.released_by_message_tasks);
    usage.charge(entry.spec().team, entry.spec().each * static_cast<double>(not_charged));
    demand.push_back({shard::request_of(entry.spec(), tasks), now - entry.waiting_since});
  }
  return demand;
}

}  // namespace beaconsill::scheduler
