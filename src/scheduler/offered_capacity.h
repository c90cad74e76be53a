// Collects the capacity that all shards offer to one job in a round, and restricts it by the placement rules
// of the job.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.h"
#include "protocol/api.h"
#include "protocol/peer.h"
#include "scheduler/apportionment.h"
#include "scheduler/tasks_by_zone.h"

namespace beaconsill::scheduler {

// How a job's tasks are divided among the shards.
struct Placement {
  std::vector<ShardAllocation> free;
  std::vector<ShardAllocation> preempting;  // for which tasks of lower priority are stopped
  bool empty() const { return free.empty() && preempting.empty(); }
};

class OfferedCapacity {
 public:
  // `by_zone`: keeps capacity apart by zone, for jobs whose placement rules refer to zones. Capacity where
  // the image is cached isn't distinguished then.
  explicit OfferedCapacity(bool by_zone) : by_zone_(by_zone) {}

  // `reserved_tasks`: the capacity, in tasks of this job, that is already granted on the shard although the
  // shard's estimate may still count it as free.
  void add_shard(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);

  // Restricts the capacity to one zone: the zone of the tasks that are placed already, or else the zone with
  // the most free capacity.
  void restrict_to_one_zone(const TasksByZone& placed);
  // Restricts the capacity to at most `limit` tasks in each zone, including those that are placed already.
  void spread_over_zones(std::uint32_t limit, const TasksByZone& placed);
  // Restricts the capacity to free capacity for all `tasks` tasks of a gang: on one shard if one has enough,
  // else on several. Nothing is left if all shards together don't have enough.
  void restrict_to_gang(std::uint32_t tasks);
  bool has_free_capacity() const { return !free_.empty(); }

  // Divides the tasks among the shards. Free capacity where the image is cached is used first, then other
  // free capacity, then preemption. For a service, preemption where the image is cached goes before free
  // capacity elsewhere.
  Placement place(std::uint32_t tasks, JobKind kind) const;

 private:
  void add_zones(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);
  void add_total(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);
  std::vector<ShardCapacity> free_without_image() const;

  bool by_zone_;
  std::vector<ShardCapacity> image_cached_;  // free, with the image cached; counted in `free_` as well
  std::vector<ShardCapacity> free_;
  std::vector<ShardCapacity> preemptible_;
  // Preemptible, with the image cached; counted in `preemptible_` as well.
  std::vector<ShardCapacity> image_cached_preemptible_;
};

}  // namespace beaconsill::scheduler
