// The kinds and priorities of jobs.
#pragma once

#include <cstddef>

namespace beaconsill {

enum class JobKind {
  kArray,   // the tasks run independently of each other
  kGang,    // either all tasks run at the same time, or none
  kService  // the tasks are replicas that run until the job is cancelled
};

// In ascending order: a task may preempt tasks of a lower priority.
enum class Priority { kLow, kNormal, kHigh, kProduction };
constexpr std::size_t kPriorityCount = 4;

}  // namespace beaconsill
