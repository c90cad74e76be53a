// Propagates priorities and due times in pipelines of dependent jobs. Users set a deadline and a priority on
// the last job of a pipeline only; the jobs that it depends on inherit both.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace beaconsill::scheduler {

// When a job should be complete, and its priority.
struct Requirement {
  Priority priority = Priority::kLow;
  std::vector<std::int64_t> due_ms;  // wall times, ascending; the first is preferred
  bool operator==(const Requirement&) const = default;
};

// Returns a requirement that satisfies both: the higher priority, the earlier of the first due times, the
// earlier of the second due times, and so on.
Requirement combined_requirement(const Requirement& left, const Requirement& right);

class InheritedRequirements {
 public:
  // Registers a job that waits for its dependencies, and propagates its requirement to them. `own` is the
  // job's requirement without inherited ones. `lead_time` is how long before its due times the job has to
  // start. The call is ignored if the job is already registered.
  void on_wait_started(const JobId& job, const std::vector<JobId>& depends_on, const Requirement& own,
                       Duration lead_time);
  // Must be called when the job no longer waits for dependencies or reaches a terminal state. From then on it
  // no longer passes requirements on to its dependencies.
  void on_wait_ended(const JobId& job) { waiting_.erase(job); }
  // Must be called when the job reaches a terminal state, after which no job waits for it.
  void on_terminated(const JobId& job);
  // Returns the requirement that the waiting jobs which depend on this one, directly or indirectly, impose on
  // it. The earliest due time over all dependency paths applies. A requirement is never relaxed, even if some
  // dependent jobs are cancelled.
  const Requirement& inherited_by(const JobId& job) const;
  bool waiting(const JobId& job) const { return waiting_.contains(job); }
  // Returns true if no job waits for dependencies.
  bool empty() const { return waiting_.empty(); }
  // Returns the jobs whose inherited requirement has become stricter since the last call. A job may be listed
  // several times.
  std::vector<JobId> take_changed();
  // Returns the number of dependencies examined so far. Tests use it to bound the cost of this class.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct WaitingJob {
    std::vector<JobId> depends_on;
    Requirement own;
    Duration lead_time{};
  };
  std::unordered_map<JobId, WaitingJob> waiting_;
  std::unordered_map<JobId, Requirement> inherited_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::scheduler
