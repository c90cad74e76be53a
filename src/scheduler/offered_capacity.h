// The capacity that all shards offer to one job in a round, restricted by the job's rules of placement.
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
  std::vector<ShardAllocation> preempting;  // by stopping work of lower priority
  bool empty() const { return free.empty() && preempting.empty(); }
};

class OfferedCapacity {
 public:
  // `by_zone`: the job's rules need to know the zones; capacity where the image is isn't distinguished then.
  explicit OfferedCapacity(bool by_zone) : by_zone_(by_zone) {}

  // `reserved_tasks`: how many tasks of this job fit into what is granted on the shard already, but not yet
  // seen by it.
  void add_shard(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);

  // All tasks in one zone: that of the tasks which are placed already, or else the one with most capacity.
  void restrict_to_one_zone(const TasksByZone& placed);
  // At most `limit` tasks in each zone, counting those that are placed already.
  void spread_over_zones(std::uint32_t limit, const TasksByZone& placed);
  // Free capacity that holds all `tasks` of a gang: of one shard if one can, else of several. None is left if
  // they can't.
  void restrict_to_gang(std::uint32_t tasks);
  bool has_free() const { return !free_.empty(); }

  // Divides the tasks, in this order: free capacity where the image is, other free capacity, preemption. For
  // a service preemption where the image is comes before free capacity elsewhere.
  Placement place(std::uint32_t tasks, JobKind kind) const;

 private:
  void add_zones(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);
  void add_total(ShardId shard, const protocol::CapacityByZone& zones, std::uint32_t reserved_tasks);
  std::vector<ShardCapacity> free_without_image() const;

  bool by_zone_;
  std::vector<ShardCapacity> image_cached_;  // free, where the image is; counted in `free_` as well
  std::vector<ShardCapacity> free_;
  std::vector<ShardCapacity> preemptible_;
  std::vector<ShardCapacity>
      image_cached_preemptible_;  // where the image is; counted in `preemptible_` as well
};

}  // namespace beaconsill::scheduler
