// Task progress that shard leaders reported by message, ahead of their records in the state store.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/shard_terms.h"
#include "state_store/records.h"

namespace beaconsill::scheduler {

// What one shard leader reported about one job.
struct ShardProgress {
  Term term;  // of the shard leader that reported the releases
  state_store::Progress progress;
};
// What all leaders of the shards that were granted tasks of the job reported about it.
using ProgressByShard = std::map<ShardId, ShardProgress>;

// Keeps reports until the job is removed. That a task is done stays true under every term; that it was
// released counts only under the term in which it was reported, since a later shard leader may start the
// task.
class ReportedProgress {
 public:
  // Reports may be repeated and come in any order. Releases are ignored unless the report's term is current.
  void on_report(const protocol::ProgressReport& report);
  // Replaces the current terms. Returns the jobs of which some reported release counts no longer; a job is
  // listed once for each shard concerned.
  std::vector<JobId> on_terms(const ShardTerms& terms);
  // Null if nothing was reported about the job. Valid until the next call of a non-const function.
  const ProgressByShard* find(const JobId& job) const;
  void erase(const JobId& job) { by_job_.erase(job); }

 private:
  std::map<JobId, ProgressByShard> by_job_;
  ShardTerms terms_;
};

}  // namespace beaconsill::scheduler
