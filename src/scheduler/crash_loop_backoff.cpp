#include "scheduler/crash_loop_backoff.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {

constexpr Duration kInitialDelay = std::chrono::seconds(2);
constexpr Duration kMaxDelay = std::chrono::seconds(30);

}  // namespace

void CrashLoopBackoff::on_job_health(const JobId& id, protocol::JobHealth health,
                                     std::optional<Instant> last_granted, Instant now) {
  if (health == protocol::JobHealth::kHealthy) erase(id);
  if (health != protocol::JobHealth::kFailing) return;
  auto [it, is_new] = jobs_.try_emplace(id);
  auto& backoff = it->second;
  if (is_new) spdlog::info("crash_loop_backoff_started job={} reason=fails_on_several_machines", id.value());
  if (!is_new && last_granted <= backoff.last_failure) return;
  backoff.last_failure = now;
  backoff.delay = std::clamp(2 * backoff.delay, kInitialDelay, kMaxDelay);
}

bool CrashLoopBackoff::retry_due(const JobId& id, Instant now) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() || now - job->second.last_failure >= job->second.delay;
}

}  // namespace beaconsill::scheduler
