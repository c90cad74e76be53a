// Assembles each job from the state store keys that hold its record, dependencies, grants and progress.
#pragma once

#include <cstdint>
#include <map>

#include "state_store/job.h"

namespace beaconsill::state_store {

// The values of a job's additional dependency keys, by segment number.
using DependencyKeys = std::map<std::uint32_t, Versioned<DependencySegment>>;

// Changes may arrive in any order and more than once; for each key the change with the highest revision wins.
// Each `apply_...` function throws ProtocolError for a malformed value. Not thread-safe.
class JobIndex {
 public:
  enum class RecordChange {
    kNone,
    kCompleted,  // the change made the job complete, see Job::complete
    kDeleted,    // the job record was deleted
  };

  RecordChange apply_record(const JobId& id, const protocol::Change& change);
  RecordChange apply_dependencies(const JobId& id, std::uint32_t segment, const protocol::Change& change);
  void apply_grants(const JobId& id, const protocol::Change& change);
  void apply_progress(const JobId& id, ShardId shard, const protocol::Change& change);
  void clear();

  // Returns all jobs, including those of which only grants or progress have been read and not the record.
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // Returns null if the job is unknown or not complete.
  const Job* find(const JobId& id) const;
  const DependencyKeys& dependency_keys(const JobId& id) const;
  const std::map<JobId, DependencyKeys>& all_dependency_keys() const { return dependency_keys_; }

 private:
  // Adds the dependencies of the additional keys to the job's specification once the record and all these
  // keys have been read. Returns true only for the call that completes the job.
  bool try_complete(const JobId& id, Job& job) const;
  // Erases the job if it has neither a record nor grants nor progress.
  void erase_if_empty(const JobId& id);

  std::map<JobId, Job> jobs_;
  std::map<JobId, DependencyKeys> dependency_keys_;
};

}  // namespace beaconsill::state_store
