// Facts about jobs that messages between controllers carry ahead of, or in the same form as, the records of
// the state store.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ranges.h"
#include "base/types.h"

namespace beaconsill::protocol {

// The record of a job's cancellation in the state store. Ordered by revision.
struct CancelledJob {
  Revision revision;
  JobId job;
  std::uint32_t done = 0;  // tasks that had completed, for display
  auto operator<=>(const CancelledJob&) const = default;
};

// Tasks of one grant that a shard has released.
struct ReleasedTasks {
  Generation generation;
  Ranges tasks;
  bool operator==(const ReleasedTasks&) const = default;
};

}  // namespace beaconsill::protocol
