// Stores all jobs that don't wait for dependencies, with indexes by scheduling state.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "base/types.h"
#include "scheduler/job_entry.h"

namespace beaconsill::scheduler {

// The indexes allow estimation rounds, periodic work and queries to avoid iterating over all jobs. The table
// owns the entries; pointers and references to an entry are valid until the entry is erased.
class JobTable {
 public:
  JobEntry* find(const JobId& id);
  const JobEntry* find(const JobId& id) const;
  // The job must exist.
  JobEntry& at(const JobId& id) { return jobs_.at(id); }
  const JobEntry& at(const JobId& id) const { return jobs_.at(id); }
  JobEntry& find_or_insert(const JobId& id) { return jobs_[id]; }
  void erase(const JobId& id) { jobs_.erase(id); }

  // Adds the job to the indexes that match its current state. `unindex` must be called before that state
  // changes.
  void index(const JobId& id, const JobEntry& entry);
  void unindex(const JobId& id);

  // Jobs with pending tasks that are not in a terminal state.
  const std::set<JobId>& waiting() const { return waiting_; }
  // Arrays and gangs that are not in a terminal state.
  const std::set<JobId>& batch() const { return batch_; }
  // Jobs that are not in a terminal state.
  const std::set<JobId>& open() const { return open_; }
  // Arrays and gangs all of whose tasks are done but whose terminal state is not yet recorded.
  const std::set<JobId>& completed() const { return completed_; }
  // Jobs in a terminal state that have no outstanding tasks, so that their keys can be deleted.
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
