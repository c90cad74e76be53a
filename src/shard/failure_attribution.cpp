#include "shard/failure_attribution.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {

// A failure counts for so long.
constexpr Duration kFailureRetention = std::chrono::seconds(60);
// Jobs known to work that fail on one machine: it is the machine.
constexpr std::size_t kWorkingJobs = 2;
// The same of jobs of which nothing is known: too many to be submitted with a mistake each.
constexpr std::size_t kUnknownJobs = 5;
// Of these, so many are reason enough to use other machines first.
constexpr std::size_t kSuspectedFromJobs = 2;
constexpr Duration kSuspicionPeriod = std::chrono::seconds(10);
// Machines on which a job fails while it works on none: it is the job.
constexpr std::size_t kFailsOnMachines = 2;
constexpr Duration kFirstBackoff = std::chrono::seconds(1);
constexpr Duration kLongestBackoff = std::chrono::seconds(30);

}  // namespace

void FailureAttribution::on_failed(const MachineName& machine, const JobId& id, bool works, Instant now) {
  forget_old(now);
  failures_by_machine_[machine][id] = now;
  auto& job = jobs_[id];
  job.failed_on[machine] = job.last_failure = now;
  job.works = job.works || works;
  // All tasks of a large array fail within moments: that counts once.
  if (!fails_everywhere(job) || (job.retry_at && now < *job.retry_at)) return;
  job.backoff = std::clamp(2 * job.backoff, kFirstBackoff, kLongestBackoff);
  job.retry_at = now + job.backoff;
}

void FailureAttribution::on_worked(const MachineName& machine, const JobId& job, Instant placed) {
  if (auto failures = failures_by_machine_.find(machine); failures != failures_by_machine_.end()) {
    std::erase_if(failures->second, [&](const auto& failure) { return failure.second <= placed; });
    if (failures->second.empty()) failures_by_machine_.erase(failures);
  }
  on_job_works(job);
}

void FailureAttribution::on_job_works(const JobId& id) {
  if (auto job = jobs_.find(id); job != jobs_.end()) job->second.works = true;
}

bool FailureAttribution::fails_everywhere(const Job& job) {
  return !job.works && job.failed_on.size() >= kFailsOnMachines;
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
  return working >= kWorkingJobs || working + unknown >= kUnknownJobs;
}

std::optional<Instant> FailureAttribution::suspect_until(const MachineName& machine) const {
  auto failures = failures_by_machine_.find(machine);
  if (failures == failures_by_machine_.end()) return std::nullopt;
  std::size_t unexplained = 0;
  std::optional<Instant> last_failure;
  for (const auto& [id, when] : failures->second) {
    if (fails_everywhere(jobs_.at(id))) continue;
    ++unexplained;
    last_failure = last_failure ? std::max(*last_failure, when) : when;
  }
  if (!last_failure || unexplained < kSuspectedFromJobs) return std::nullopt;
  return *last_failure + kSuspicionPeriod;
}

bool FailureAttribution::job_fails(const JobId& id, Instant now) const {
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

// All entries of a job are erased together, so that each failure on a machine has its job.
void FailureAttribution::forget_old(Instant now) {
  // Hundreds of tasks of an array fail within moments, and hardly ever has anything become old.
  if (std::erase_if(jobs_,
                    [&](const auto& job) { return now - job.second.last_failure >= kFailureRetention; }) == 0)
    return;
  for (auto machine = failures_by_machine_.begin(); machine != failures_by_machine_.end();) {
    std::erase_if(machine->second, [&](const auto& failure) { return !jobs_.contains(failure.first); });
    machine = machine->second.empty() ? failures_by_machine_.erase(machine) : std::next(machine);
  }
}

}  // namespace beaconsill::shard
