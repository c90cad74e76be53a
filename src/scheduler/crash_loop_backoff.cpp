#include "scheduler/crash_loop_backoff.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {
constexpr Duration kFirstBackoff = std::chrono::seconds(2);
constexpr Duration kLongestBackoff = std::chrono::seconds(30);
}  // namespace

void CrashLoopBackoff::on_job_health(const JobId& id, protocol::JobHealth verdict, Instant granted,
                                     Instant now) {
  if (verdict == protocol::JobHealth::kWorks) erase(id);
  if (verdict != protocol::JobHealth::kFails) return;
  auto [it, fresh] = jobs_.try_emplace(id);
  auto& job = it->second;
  if (fresh)
    spdlog::info("{}: its tasks fail on several machines, tried one at a time from now on", id.value());
  if (!fresh && granted <= job.failed) return;
  job.failed = now;
  job.backoff = std::clamp(2 * job.backoff, kFirstBackoff, kLongestBackoff);
}

bool CrashLoopBackoff::due(const JobId& id, Instant now) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() || now - job->second.failed >= job->second.backoff;
}

}  // namespace beaconsill::scheduler
