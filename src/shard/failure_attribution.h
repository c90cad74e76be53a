// Attributes task failures to the job, whose tasks then fail on every machine (submitted with a mistake,
// say), or to the machine, on which then every job fails. One failure tells neither; what becomes of the same
// job on other machines, and of other jobs on the same machine, does.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/types.h"

namespace beaconsill::shard {

// Holds what has failed within the last minute, and what has worked since. Times are those of one
// controller's steady clock. Throws nothing.
class FailureAttribution {
 public:
  // A task failed. `works`: some task of the job is known to have completed, or to run well.
  void on_failed(const MachineName& machine, const JobId& job, bool works, Instant now);
  // A task that was placed at `placed` completed or runs well: neither its job nor its machine explains what
  // failed before.
  void on_worked(const MachineName& machine, const JobId& job, Instant placed);
  // The job works, wherever that was seen.
  void on_job_works(const JobId& job);
  void on_machine_terminated(const MachineName& machine) { failures_by_machine_.erase(machine); }

  // Whether on_worked would change anything.
  bool concerns(const MachineName& machine, const JobId& job) const {
    return failures_by_machine_.contains(machine) || jobs_.contains(job);
  }
  // Jobs that work failed here, or so many that their mistakes don't explain it.
  bool is_machine_faulty(const MachineName& machine) const;
  // Several jobs failed here, and it isn't known yet whether they fail elsewhere as well: the machine should
  // get no tasks until that time. None if it isn't suspected.
  std::optional<Instant> suspect_until(const MachineName& machine) const;
  // Its tasks failed on several machines, and none is known to work: to be tried by one task at a time.
  bool job_fails(const JobId& job, Instant now) const;
  // When such a job is to be tried again; none for a job that has never been one.
  std::optional<Instant> retry_at(const JobId& job) const;
  // Machines on which the job failed lately, to be avoided by it.
  std::set<MachineName> failed_on(const JobId& job, Instant now) const;

 private:
  struct Job {
    std::map<MachineName, Instant> failed_on;
    bool works = false;
    Instant last_failure{};
    Duration backoff{};
    std::optional<Instant> retry_at;
  };
  using FailuresByJob = std::map<JobId, Instant>;  // the last failure of each
  void forget_old(Instant now);
  static bool fails_everywhere(const Job& job);

  std::unordered_map<JobId, Job> jobs_;  // those of which some task failed lately
  // Failures since which nothing has worked on the machine. Each of these jobs is in `jobs_`.
  std::map<MachineName, FailuresByJob> failures_by_machine_;
};

}  // namespace beaconsill::shard
