// Pipelines: what the jobs that wait for a job need of it. Users set a deadline and the priority that they
// care about on the last job only; both flow back from there.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace beaconsill::scheduler {

// By when a job should be complete, and how important that is.
struct Requirement {
  Priority priority = Priority::kLow;
  std::vector<std::int64_t> due_ms;  // wall times, ascending: the first is the one to keep if possible
  bool operator==(const Requirement&) const = default;
};

// What both need: the higher priority, and of the first times the earlier, of the second ones, and so on.
Requirement stricter_of(const Requirement& a, const Requirement& b);

class InheritedRequirements {
 public:
  // A job that waits for others. `own`: what it needs itself; `takes`: how long before that it has to start.
  void on_waiting(const JobId& job, const std::vector<JobId>& depends_on, const Requirement& own,
                  Duration takes);
  // It waits no longer, or is over: its own times are its own matter from here.
  void on_released(const JobId& job) { waiting_.erase(job); }
  // The job is over: nobody needs anything of it.
  void on_over(const JobId& job);
  // What the jobs that wait for this one need of it, through the longest path behind it. It gets stricter
  // only: that some of them were called off since isn't taken back.
  const Requirement& of(const JobId& job) const;
  bool waiting(const JobId& job) const { return waiting_.contains(job); }
  bool empty() const { return waiting_.empty(); }
  // Jobs of which more is needed since the last call.
  std::vector<JobId> take_changed();
  // Jobs looked at so far.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct Waiting {
    std::vector<JobId> depends_on;
    Requirement own;
    Duration takes{};
  };
  std::unordered_map<JobId, Waiting> waiting_;
  std::unordered_map<JobId, Requirement> inherited_;
  std::vector<JobId> changed_;
  std::uint64_t visited_count_ = 0;
};

}  // namespace beaconsill::scheduler
