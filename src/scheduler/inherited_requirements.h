// Pipelines: what a job inherits from the jobs that depend on it. Users set a deadline and the priority that
// they care about on the last job only; both flow back from there.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace beaconsill::scheduler {

// By when a job should be complete, and how important that is.
struct Requirement {
  Priority priority = Priority::kLow;
  std::vector<std::int64_t> due_ms;  // wall times, ascending: the first is the one to meet if possible
  bool operator==(const Requirement&) const = default;
};

// What meets both: the higher priority, and of the first due times the earlier, of the second ones, and so
// on.
Requirement stricter_of(const Requirement& first, const Requirement& second);

class InheritedRequirements {
 public:
  // A job that waits for its dependencies. `own`: what it needs itself; `takes`: how long before its due
  // times it has to start. Ignored if the job waits already.
  void on_waiting(const JobId& job, const std::vector<JobId>& depends_on, const Requirement& own,
                  Duration takes);
  // The job waits no longer, or is over: its own due times are its own matter from here.
  void on_released(const JobId& job) { waiting_.erase(job); }
  // The job is over: nothing depends on it any more.
  void on_over(const JobId& job);
  // What the jobs that wait for this one need of it, through the longest path behind it. It gets stricter
  // only: cancelling some of them doesn't relax it.
  const Requirement& of(const JobId& job) const;
  bool waiting(const JobId& job) const { return waiting_.contains(job); }
  // Whether no job waits.
  bool empty() const { return waiting_.empty(); }
  // Jobs whose inherited requirement got stricter since the last call; a job may be listed several times.
  std::vector<JobId> take_changed();
  // Dependencies looked at so far: the cost of this class, for tests.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct WaitingJob {
    std::vector<JobId> depends_on;
    Requirement own;
    Duration takes{};
  };
  std::unordered_map<JobId, WaitingJob> waiting_;
  std::unordered_map<JobId, Requirement> inherited_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::scheduler
