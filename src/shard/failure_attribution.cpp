#include "shard/failure_attribution.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {

// How long a failure counts.
constexpr Duration kFailureRetention = std::chrono::seconds(60);
// If this many jobs that are known to work fail on one machine, the machine is faulty.
constexpr std::size_t kFaultyAfterWorkingJobs = 2;
// If this many jobs fail on one machine, none of which fails everywhere, the machine is faulty: it is
// unlikely that each of them was submitted with a mistake.
constexpr std::size_t kFaultyAfterUnexplainedJobs = 5;
// If this many such jobs fail on one machine, it gets no tasks for kSuspicionPeriod after the last failure.
constexpr std::size_t kSuspectedAfterJobs = 2;
constexpr Duration kSuspicionPeriod = std::chrono::seconds(10);
// If a job fails on this many machines and works on none, the failure is attributed to the job.
constexpr std::size_t kJobFailsAfterMachines = 2;
constexpr Duration kInitialBackoff = std::chrono::seconds(1);
constexpr Duration kMaxBackoff = std::chrono::seconds(30);

}  // namespace

void FailureAttribution::on_task_failed(const MachineName& machine, const JobId& id, bool works,
                                        Instant now) {
  erase_expired(now);
  failures_by_machine_[machine][id] = now;
  auto& job = jobs_[id];
  job.failed_on[machine] = job.last_failure = now;
  job.works = job.works || works;
  // All tasks of a large array can fail almost simultaneously. These failures extend the backoff only once.
  if (!fails_everywhere(job) || (job.retry_at && now < *job.retry_at)) return;
  job.backoff = std::clamp(2 * job.backoff, kInitialBackoff, kMaxBackoff);
  job.retry_at = now + job.backoff;
}

void FailureAttribution::on_task_succeeded(const MachineName& machine, const JobId& job, Instant placed) {
  if (auto failures = failures_by_machine_.find(machine); failures != failures_by_machine_.end()) {
    std::erase_if(failures->second, [&](const auto& failure) { return failure.second <= placed; });
    if (failures->second.empty()) failures_by_machine_.erase(failures);
  }
  mark_job_working(job);
}

void FailureAttribution::mark_job_working(const JobId& id) {
  if (auto job = jobs_.find(id); job != jobs_.end()) job->second.works = true;
}

bool FailureAttribution::fails_everywhere(const Job& job) {
  return !job.works && job.failed_on.size() >= kJobFailsAfterMachines;
}

bool FailureAttribution::is_machine_faulty(const MachineName& machine) const {
  auto failures = failures_by_machine_.find(machine);
  if (failures == failures_by_machine_.end()) return false;
  std::size_t working = 0;
  std::size_t unknown = 0;
  for (const auto& [id, when] : failures->second) {
    const auto& job = jobs_.at(id);
    if (job.works) {
      ++working;
    } else if (!fails_everywhere(job)) {
      ++unknown;
    }
  }
  return working >= kFaultyAfterWorkingJobs || working + unknown >= kFaultyAfterUnexplainedJobs;
}

std::optional<Instant> FailureAttribution::suspected_until(const MachineName& machine) const {
  auto failures = failures_by_machine_.find(machine);
  if (failures == failures_by_machine_.end()) return std::nullopt;
  std::size_t unexplained = 0;
  std::optional<Instant> last_failure;
  for (const auto& [id, when] : failures->second) {
    if (fails_everywhere(jobs_.at(id))) continue;
    ++unexplained;
    last_failure = last_failure ? std::max(*last_failure, when) : when;
  }
  if (!last_failure || unexplained < kSuspectedAfterJobs) return std::nullopt;
  return *last_failure + kSuspicionPeriod;
}

bool FailureAttribution::is_job_failing(const JobId& id, Instant now) const {
  auto job = jobs_.find(id);
  return job != jobs_.end() && now - job->second.last_failure < kFailureRetention &&
         fails_everywhere(job->second);
}

std::optional<Instant> FailureAttribution::retry_at(const JobId& id) const {
  auto job = jobs_.find(id);
  if (job == jobs_.end()) return std::nullopt;
  return job->second.retry_at;
}

std::set<MachineName> FailureAttribution::failed_on(const JobId& id, Instant now) const {
  std::set<MachineName> out;
  auto job = jobs_.find(id);
  if (job == jobs_.end()) return out;
  for (const auto& [machine, when] : job->second.failed_on)
    if (now - when < kFailureRetention) out.insert(machine);
  return out;
}

// All entries of a job are erased together, so that the job of each failure on a machine remains in `jobs_`.
void FailureAttribution::erase_expired(Instant now) {
  // Skips the pass over all machines if no job has expired, which is the common case when hundreds of tasks
  // of an array fail almost simultaneously.
  if (std::erase_if(jobs_,
                    [&](const auto& job) { return now - job.second.last_failure >= kFailureRetention; }) == 0)
    return;
  for (auto machine = failures_by_machine_.begin(); machine != failures_by_machine_.end();) {
    std::erase_if(machine->second, [&](const auto& failure) { return !jobs_.contains(failure.first); });
    machine = machine->second.empty() ? failures_by_machine_.erase(machine) : std::next(machine);
  }
}

}  // namespace beaconsill::shard
