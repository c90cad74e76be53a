// Divides a job's tasks among the shards by their answers' proportions.
#pragma once

#include <optional>
#include <vector>

#include "base/types.h"
#include "protocol/api.h"

namespace beaconsill::scheduler {

struct ShardCapacity {
  ShardId shard;
  std::optional<Zone> zone;  // set where the zone matters to the job
  std::uint32_t room = 0;
};
struct ShardAllocation {
  ShardId shard;
  std::optional<Zone> zone;
  std::uint32_t tasks = 0;
  bool operator==(const ShardAllocation&) const = default;
};

// `n` tasks over the rooms, in proportion to them (largest remainders first), never more than a room holds.
// What is over stays with the leader.
std::vector<ShardAllocation> apportion(std::uint32_t n, const std::vector<ShardCapacity>& rooms);

// The most tasks of the job that may be in one zone.
std::uint32_t zone_limit(const protocol::JobSpec& spec);

}  // namespace beaconsill::scheduler
