// Jobs whose tasks fail on every machine: submitted with a mistake, most likely, and not yet cancelled. They
// are tried again by one task at a time, ever more seldom, lest they take machines, rounds and writes from
// others.
#pragma once

#include <unordered_map>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::scheduler {

// Rests on the owners' messages alone: after a change of leader such a job is granted once more as a whole.
class CrashLoopBackoff {
 public:
  // `granted`: when the job was last granted tasks. All failures of one grant count once.
  void on_job_health(const JobId& job, protocol::JobHealth verdict, Instant granted, Instant now);
  // The job works, or is over.
  void erase(const JobId& job) { jobs_.erase(job); }
  bool contains(const JobId& job) const { return jobs_.contains(job); }
  // Whether one of its tasks may be granted, if none is out.
  bool due(const JobId& job, Instant now) const;

 private:
  struct Job {
    Instant failed{};
    Duration backoff{};
  };
  std::unordered_map<JobId, Job> jobs_;
};

}  // namespace beaconsill::scheduler
