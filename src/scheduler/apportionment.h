// Divides a job's tasks among the shards in proportion to the capacity that they estimate.
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
  std::optional<Zone> zone;  // set where the zone matters to the job
  std::uint32_t tasks = 0;
};
struct ShardAllocation {
  ShardId shard;
  std::optional<Zone> zone;
  std::uint32_t tasks = 0;
  bool operator==(const ShardAllocation&) const = default;
};

// `tasks` divided in proportion to the capacities (largest remainders first), never more than each holds.
// Tasks beyond the sum of the capacities are left out. Allocations of no task are left out as well.
std::vector<ShardAllocation> apportion(std::uint32_t tasks, const std::vector<ShardCapacity>& capacities);

// The most tasks of the job that may be in one zone.
std::uint32_t zone_limit(const protocol::JobSpec& spec);

}  // namespace beaconsill::scheduler
