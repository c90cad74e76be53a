// Divides a job's tasks among the shards in proportion to their estimated capacities.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"
#include "protocol/api.h"

namespace beaconsill::scheduler {

// How many tasks of a job a shard has capacity for.
struct ShardCapacity {
  ShardId shard;
  std::optional<Zone> zone;  // set only if the job's placement depends on zones
  std::uint32_t tasks = 0;
};
struct ShardAllocation {
  ShardId shard;
  std::optional<Zone> zone;
  std::uint32_t tasks = 0;
  bool operator==(const ShardAllocation&) const = default;
};

// Divides `tasks` among the shards in proportion to `capacities` by the largest remainder method. No shard is
// allocated more than its capacity, and tasks that exceed the sum of the capacities are not allocated. Shards
// that are allocated no task are left out of the result.
std::vector<ShardAllocation> apportion(std::uint32_t tasks, const std::vector<ShardCapacity>& capacities);

// Returns the maximum number of the job's tasks in one zone: half of them, rounded up, if the job is to be
// spread over zones.
std::uint32_t max_tasks_per_zone(const protocol::JobSpec& spec);

}  // namespace beaconsill::scheduler
