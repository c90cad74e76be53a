// Stores the task progress that shard leaders report by message before they record it in the state store.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/shard_terms.h"
#include "state_store/records.h"

namespace beaconsill::scheduler {

// What the leaders of one shard have reported about one job.
struct ShardProgress {
  Term term;  // term of the shard leader that reported the releases
  state_store::Progress progress;
};
// The reports about one job, by shard.
using ProgressByShard = std::map<ShardId, ShardProgress>;

// Reports are stored until the job is erased. A reported completion remains valid in every term. A reported
// release is valid only in the term in which it was reported, because a later shard leader may start the
// task.
class ReportedProgress {
 public:
  // Reports may arrive repeatedly and in any order. Releases are ignored unless the report's term is current.
  void on_report(const protocol::ProgressReport& report);
  // Replaces the current terms and discards releases that were reported under other terms. Returns the jobs
  // concerned; a job is listed once for each shard whose releases were discarded.
  std::vector<JobId> on_terms(const ShardTerms& terms);
  // Returns nullptr if nothing was reported about the job. The pointer is valid until the next call of a
  // non-const function.
  const ProgressByShard* find(const JobId& job) const;
  void erase(const JobId& job) { by_job_.erase(job); }

 private:
  std::map<JobId, ProgressByShard> by_job_;
  ShardTerms terms_;
};

}  // namespace beaconsill::scheduler
