// Back-off for jobs whose tasks fail on every machine: most likely submitted with a mistake and not yet
// cancelled. They are tried again by one task at a time, ever more seldom, so that they don't take machines,
// rounds and writes from others.
#pragma once

#include <optional>
#include <unordered_map>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::scheduler {

// Rests on the shard leaders' messages alone: after a failover such a job is granted once more as a whole.
class CrashLoopBackoff {
 public:
  // What a shard leader found out about the job. `last_granted`: when it was last granted tasks, if ever. All
  // failures of one grant count once.
  void on_job_health(const JobId& job, protocol::JobHealth health, std::optional<Instant> last_granted,
                     Instant now);
  // The job works, or is over.
  void erase(const JobId& job) { jobs_.erase(job); }
  // Whether the job is in back-off.
  bool contains(const JobId& job) const { return jobs_.contains(job); }
  // Whether one of its tasks may be granted, if none is outstanding. True for jobs that aren't in back-off.
  bool due(const JobId& job, Instant now) const;

 private:
  struct Backoff {
    Instant failed{};
    Duration delay{};
  };
  std::unordered_map<JobId, Backoff> jobs_;
};

}  // namespace beaconsill::scheduler
