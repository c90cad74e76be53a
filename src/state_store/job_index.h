// The jobs of the state store, put together from their keys.
#pragma once

#include <cstdint>
#include <map>

#include "state_store/job.h"

namespace beaconsill::state_store {

// The further keys of a job's dependencies, by their number.
using DependencyKeys = std::map<std::uint32_t, Versioned<DependencySegment>>;

// Changes may arrive in any order and more than once: for each key the one with the highest version stands.
// Each `apply_...` throws ProtocolError for a value that isn't understood. Not thread-safe.
class JobIndex {
 public:
  enum class RecordChange {
    kNone,
    kCompleted,  // the job is complete now
    kDropped,    // its record was deleted
  };

  RecordChange apply_record(const JobId& id, const protocol::Change& change);
  RecordChange apply_dependencies(const JobId& id, std::uint32_t segment, const protocol::Change& change);
  void apply_grants(const JobId& id, const protocol::Change& change);
  void apply_progress(const JobId& id, ShardId shard, const protocol::Change& change);
  void clear();

  // Also jobs known only by a grant or progress, until their record comes.
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // Null: the job isn't complete.
  const Job* find(const JobId& id) const;
  const DependencyKeys& dependency_keys(const JobId& id) const;
  const std::map<JobId, DependencyKeys>& all_dependency_keys() const { return dependency_keys_; }

 private:
  // Puts the record together once all its keys are there; whether they are only now.
  bool complete(const JobId& id, Job& job) const;
  void erase_if_unknown(const JobId& id);

  std::map<JobId, Job> jobs_;
  std::map<JobId, DependencyKeys> dependency_keys_;
};

}  // namespace beaconsill::state_store
