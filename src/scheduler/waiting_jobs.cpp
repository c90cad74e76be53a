#include "scheduler/waiting_jobs.h"

#include <algorithm>
#include <utility>

#include "shard/estimator.h"

namespace beaconsill::scheduler {
namespace {

// A starving job with at least this wait ratio also precedes jobs of higher priority.
constexpr double kAheadOfAllPrioritiesWaitRatio = 1.3;
// Added to the last due time of a job that can't meet any of its due times, so that it is sorted behind all
// jobs that can.
constexpr std::int64_t kUnreachableDueTimeOffsetMs = std::int64_t{1} << 50;
constexpr double kMsPerSecond = 1000;

StarvationBoost starvation_boost(double wait_ratio) {
  if (wait_ratio < 1) return StarvationBoost::kNone;
  return wait_ratio < kAheadOfAllPrioritiesWaitRatio ? StarvationBoost::kAheadOfEqualPriority
                                                     : StarvationBoost::kAheadOfAllPriorities;
}

}  // namespace

std::uint32_t WaitingJobs::grantable_tasks(const JobId& id, const JobEntry& entry, const TeamUsage& usage,
                                           Instant now) const {
  auto tasks = std::min(entry.pending.count(), quota_.allowed_tasks(entry, usage));
  if (!crash_loops_.contains(id)) return tasks;
  if (entry.outstanding_tasks > 0 || !crash_loops_.retry_due(id, now)) return 0;
  return entry.is_gang() ? tasks : std::min(tasks, 1u);
}

double WaitingJobs::wait_ratio(const JobId& id, const JobEntry& entry, WallMs wall) const {
  return crash_loops_.contains(id) ? 0 : deadlines_.wait_ratio(entry, wall);
}

std::vector<QueuedJob> WaitingJobs::build_queue(Instant now, WallMs wall, bool services_only) const {
  auto starts = services_only ? StartTimes{} : deadlines_.plan_start_times(jobs_, crash_loops_, wall);
  std::vector<QueuedJob> waiting;
  for (const auto& id : jobs_.waiting()) {
    const auto& entry = jobs_.at(id);
    if (entry.oversized_grants_size || (services_only && !entry.is_service())) continue;
    auto tasks = grantable_tasks(id, entry, quota_.usage(), now);
    // All tasks of a gang are granted together. A gang of which only some tasks are pending is queued, too:
    // its other tasks have to be revoked and released before it is granted again, see GrantBuilder.
    if (tasks == 0 || (entry.is_gang() && tasks < entry.pending.count())) continue;
    waiting.push_back(make_queued_job(id, entry, tasks, starts, wall));
  }
  return order_by_fair_share(std::move(waiting), quota_.teams(), quota_.usage());
}

QueuedJob WaitingJobs::make_queued_job(const JobId& id, const JobEntry& entry, std::uint32_t tasks,
                                       const StartTimes& starts, WallMs wall) const {
  QueuedJob job;
  job.id = id;
  job.team = entry.spec().team;
  job.priority = entry.requirement.priority;
  job.start_by_ms = job.eligible_since_ms = entry.eligible_since.value();
  job.grantable_resources = entry.spec().each * static_cast<double>(tasks);
  job.starvation_boost = starvation_boost(wait_ratio(id, entry, wall));
  const auto& due_ms = entry.requirement.due_ms;
  if (due_ms.empty() || entry.is_service()) return job;
  auto start = starts.find(id);
  job.start_by_ms = start == starts.end()
                        ? due_ms.back() + kUnreachableDueTimeOffsetMs
                        : wall.value() + static_cast<std::int64_t>(start->second * kMsPerSecond);
  return job;
}

bool WaitingJobs::has_grantable_service(Instant now) const {
  return std::any_of(jobs_.waiting().begin(), jobs_.waiting().end(), [&](const JobId& id) {
    const auto& entry = jobs_.at(id);
    return entry.is_service() && !entry.oversized_grants_size &&
           grantable_tasks(id, entry, quota_.usage(), now) > 0;
  });
}

std::vector<Demand> WaitingJobs::demand(Instant now) const {
  std::vector<Demand> demand;
  auto usage = quota_.usage();
  for (const auto& id : jobs_.waiting()) {
    const auto& entry = jobs_.at(id);
    auto tasks = grantable_tasks(id, entry, usage, now);
    if (tasks == 0) continue;
    auto uncharged_tasks = tasks - std::min(tasks, entry.released_by_message_tasks);
    usage.charge(entry.spec().team, entry.spec().each * static_cast<double>(uncharged_tasks));
    demand.push_back({shard::request_of(entry.spec(), tasks), now - entry.waiting_since});
  }
  return demand;
}

}  // namespace beaconsill::scheduler
