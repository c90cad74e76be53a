// Back-off for jobs whose tasks fail on several machines, most likely because of a mistake in the job that
// the user has not noticed yet. Such a job is retried with increasing delays, one task at a time (a gang as a
// whole), so that it doesn't take machines, estimation rounds and writes from other jobs.
#pragma once

#include <optional>
#include <unordered_map>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::scheduler {

// The state is derived from the shard leaders' messages only and isn't persisted. After a failover of the
// scheduler, such a job is therefore granted in full once more.
class CrashLoopBackoff {
 public:
  // Processes the health of a job as reported by a shard leader. `last_granted` is when the job was last
  // granted tasks, if ever. Several failures of the same grant lengthen the delay only once.
  void on_job_health(const JobId& job, protocol::JobHealth health, std::optional<Instant> last_granted,
                     Instant now);
  // Ends the back-off of a job that works or has reached a terminal state.
  void erase(const JobId& job) { jobs_.erase(job); }
  bool contains(const JobId& job) const { return jobs_.contains(job); }
  // Returns true if the delay since the job's last failure has passed, or if the job isn't in back-off. The
  // caller must check that none of the job's tasks is outstanding.
  bool retry_due(const JobId& job, Instant now) const;

 private:
  struct Backoff {
    Instant last_failure{};
    Duration delay{};
  };
  std::unordered_map<JobId, Backoff> jobs_;
};

}  // namespace beaconsill::scheduler
