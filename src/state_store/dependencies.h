// Tracks the dependencies between jobs and derives which jobs are ready and which are cancelled. A job starts
// only after every job that it depends on is done; it is cancelled as soon as one of its direct or transitive
// dependencies is cancelled. Both states are functions of records that are written once and never changed
// (job records and terminal records): every controller that has read the same records derives the same
// states, and no later record reverts them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// Not thread-safe; StateView owns it.
class Dependencies {
 public:
  // Returns the terminal record of a job, or null if it has none.
  using TerminalRecordLookup = std::function<const TerminalRecord*(const JobId&)>;

  // Adds a job with its dependencies after its record was read. Repeated calls for a job have no effect.
  void on_job_record(const JobId& job, const std::vector<JobId>& depends_on,
                     const TerminalRecordLookup& terminal_record_of);
  // Removes a job after its record was deleted, which happens only once the job has a terminal record.
  void on_job_record_deleted(const JobId& job);
  // Updates the dependents of `job` after its terminal record was read. `job` need not have been added.
  void on_terminal_record(const JobId& job, const TerminalRecord& record);
  void clear();

  // Returns whether at least one job that this one depends on isn't done yet.
  bool waiting(const JobId& job) const;
  // Returns when the last of the job's dependencies was done, or `fallback` if none of their terminal
  // records has a completion time. Returns std::nullopt if the job still waits for a dependency, or has no
  // dependencies.
  std::optional<WallMs> ready_since(const JobId& job, WallMs fallback) const;
  // Returns the direct or transitive dependency whose recorded cancellation cancels this job, or null if
  // there is none.
  const JobId* cancelled_by(const JobId& job) const;
  // Returns the jobs that are cancelled because a dependency is, but have no terminal record yet.
  const std::set<JobId>& unrecorded_cancellations() const { return unrecorded_cancellations_; }
  // Returns the jobs that have become ready, or were cancelled because a dependency was, since the last call.
  std::vector<JobId> take_changed();
  // Returns how many jobs were visited so far. Tests use it to check that an event visits no more jobs than
  // those whose state it changes.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct Dependent {
    std::vector<JobId> depends_on;
    std::size_t unfinished_count = 0;  // number of jobs in `depends_on` that aren't done
    std::optional<WallMs> ready_since;
    std::optional<JobId> cancelled_by;
    bool has_terminal_record = false;
  };
  // Marks all direct and transitive dependents of the cancelled job `job` as cancelled by `root`.
  void cancel_dependents(const JobId& job, const JobId& root);

  std::unordered_map<JobId, Dependent> dependents_;
  // Direct dependents by dependency, only for dependencies that are neither done nor cancelled.
  std::unordered_map<JobId, std::set<JobId>> dependents_of_;
  std::set<JobId> unrecorded_cancellations_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::state_store
