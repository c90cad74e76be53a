// Attributes task failures either to the job, if its tasks fail on every machine (for example because it was
// submitted with a mistake), or to the machine, if every job fails there. A single failure doesn't show which
// of them is at fault. The outcome of the same job on other machines, and of other jobs on the same machine,
// does.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/types.h"

namespace beaconsill::shard {

// Stores the failures of the last minute, and which of the failed jobs have worked since. Times are those of
// one controller's steady clock. No member function throws.
class FailureAttribution {
 public:
  // Records that a task failed. `works`: whether some task of the job is known to have completed, or to have
  // run long enough to show that the job doesn't fail on every machine.
  void on_task_failed(const MachineName& machine, const JobId& job, bool works, Instant now);
  // Records that a task placed at `placed` has completed or run long enough to count as working. Its job then
  // counts as working, and failures on its machine up to `placed` no longer count against the machine.
  void on_task_succeeded(const MachineName& machine, const JobId& job, Instant placed);
  // Records that the job works, on whichever machine or shard that was observed.
  void mark_job_working(const JobId& job);
  void on_machine_terminated(const MachineName& machine) { failures_by_machine_.erase(machine); }

  // Whether failures of the job, or on the machine, are stored, so that on_task_succeeded would have an
  // effect.
  bool has_recent_failures(const MachineName& machine, const JobId& job) const {
    return failures_by_machine_.contains(machine) || jobs_.contains(job);
  }
  // Whether jobs that work elsewhere failed on the machine, or so many other jobs that mistakes in them don't
  // explain it.
  bool is_machine_faulty(const MachineName& machine) const;
  // Returns the time until which the machine should get no tasks, because several jobs failed on it and it
  // isn't known yet whether they fail elsewhere as well. Returns std::nullopt if the machine isn't suspected.
  std::optional<Instant> suspected_until(const MachineName& machine) const;
  // Whether tasks of the job failed on several machines while none is known to work. Such a job should be
  // retried with one task at a time.
  bool is_job_failing(const JobId& job, Instant now) const;
  // Returns when a failing job is to be retried, or std::nullopt if the job hasn't been failing.
  std::optional<Instant> retry_at(const JobId& job) const;
  // Returns the machines on which the job failed within the last minute. The job should avoid them.
  std::set<MachineName> failed_on(const JobId& job, Instant now) const;

 private:
  struct Job {
    std::map<MachineName, Instant> failed_on;
    bool works = false;
    Instant last_failure{};
    Duration backoff{};
    std::optional<Instant> retry_at;
  };
  using FailuresByJob = std::map<JobId, Instant>;  // time of the last failure of each job
  void erase_expired(Instant now);
  static bool fails_everywhere(const Job& job);

  std::unordered_map<JobId, Job> jobs_;  // jobs with a task failure within the last minute
  // Failures on each machine that no later success there has cleared. Each of these jobs is in `jobs_`.
  std::map<MachineName, FailuresByJob> failures_by_machine_;
};

}  // namespace beaconsill::shard
