// How a job's tasks belong together, and how important the job is.
#pragma once

#include <cstddef>

namespace beaconsill {

enum class JobKind {
  kArray,   // its tasks run independently of each other
  kGang,    // its tasks run all at the same time, or none
  kService  // its tasks are replicas that run until the job is cancelled
};

// Ascending: work may preempt what has a lower one.
enum class Priority { kLow, kNormal, kHigh, kProduction };
constexpr std::size_t kPriorities = 4;

}  // namespace beaconsill
