#include "lead/failing_jobs.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::lead {
namespace {
constexpr Duration kFirstBackoff = std::chrono::seconds(2);
constexpr Duration kLongestBackoff = std::chrono::seconds(30);
}  // namespace

void FailingJobs::on_verdict(const JobId& id, wire::Verdict verdict, Instant granted, Instant now) {
  if (verdict == wire::Verdict::kWorks) erase(id);
  if (verdict != wire::Verdict::kFails) return;
  auto [it, fresh] = jobs_.try_emplace(id);
  auto& job = it->second;
  if (fresh)
    spdlog::info("{}: its tasks fail on several machines, tried one at a time from now on", id.value());
  if (!fresh && granted <= job.failed) return;
  job.failed = now;
  job.backoff = std::clamp(2 * job.backoff, kFirstBackoff, kLongestBackoff);
}

bool FailingJobs::due(const JobId& id, Instant now) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() || now - job->second.failed >= job->second.backoff;
}

}  // namespace beaconsill::lead
