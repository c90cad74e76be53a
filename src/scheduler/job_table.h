// All jobs that don't wait for dependencies, with indexes by what is to be done about them.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "base/types.h"
#include "scheduler/job_entry.h"

namespace beaconsill::scheduler {

// Estimation rounds, periodic runs and queries must not go through all jobs there are: they use the indexes.
// Owns the entries; pointers and references to them are valid until the entry is erased.
class JobTable {
 public:
  JobEntry* find(const JobId& id);
  const JobEntry* find(const JobId& id) const;
  // The job must exist.
  JobEntry& at(const JobId& id) { return jobs_.at(id); }
  const JobEntry& at(const JobId& id) const { return jobs_.at(id); }
  JobEntry& find_or_insert(const JobId& id) { return jobs_[id]; }
  void erase(const JobId& id) { jobs_.erase(id); }

  // Puts the job into the indexes by its present state; `unindex` has to be called before that changes.
  void index(const JobId& id, const JobEntry& entry);
  void unindex(const JobId& id);

  // Not over, with a pending task.
  const std::set<JobId>& waiting() const { return waiting_; }
  // Arrays and gangs that aren't over.
  const std::set<JobId>& batch() const { return batch_; }
  // Not over.
  const std::set<JobId>& open() const { return open_; }
  // All tasks done, not yet recorded as over.
  const std::set<JobId>& completed() const { return completed_; }
  // Over, with no task left on any machine.
  const std::set<JobId>& collectable() const { return collectable_; }

 private:
  std::map<JobId, JobEntry> jobs_;
  std::set<JobId> waiting_;
  std::set<JobId> batch_;
  std::set<JobId> open_;
  std::set<JobId> completed_;
  std::set<JobId> collectable_;
};

}  // namespace beaconsill::scheduler
