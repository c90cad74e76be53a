// Records of cancelled jobs and released tasks that are used both in the state store and in messages between
// controllers. A message may arrive before its receiver has read the same record from the state store.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ranges.h"
#include "base/types.h"

namespace beaconsill::protocol {

// The record of a job's cancellation in the state store. Records are ordered by revision.
struct CancelledJob {
  Revision revision;
  JobId job;
  std::uint32_t done = 0;  // number of tasks that had completed; only reported to users
  auto operator<=>(const CancelledJob&) const = default;
};

// Tasks of one grant (identified by its generation) that a shard has released.
struct ReleasedTasks {
  Generation generation;
  Ranges tasks;
  bool operator==(const ReleasedTasks&) const = default;
};

}  // namespace beaconsill::protocol
