// Bin packing: computes how many tasks of a request can be placed on machines, and ranks the machines for
// placement. All functions are pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "protocol/peer.h"
#include "shard/machine.h"

namespace beaconsill::shard {

struct PackingRules {
  std::uint32_t task_cap = 64;  // maximum number of tasks on one machine
  double reserve = 0;  // fraction of a machine's CPUs left free by requests of priority kNormal or lower
};

// Returns the request for `wanted` tasks of the job.
protocol::ResourceRequest request_of(const protocol::JobSpec& spec, std::uint32_t wanted);

// Returns whether the request's tasks may run on a machine of this type and zone, regardless of its capacity.
bool is_allowed(const protocol::ResourceRequest& request, const MachineType& type, const Zone& zone,
                bool spot);

// Returns how many tasks of size `each` can use the `idle` resources at the same time. The scarcest resource
// limits the number.
std::uint32_t tasks_that_fit(const Resources& idle, const Resources& each);

// How tasks of a lower priority than the request's are treated: their resources count as used or as
// available.
enum class LowerPriorityWork { kLeftRunning, kPreempted };

// Returns how many further tasks of the request the machine has capacity for, within its resources and the
// task cap.
std::uint32_t available_tasks(const Machine& machine, const protocol::ResourceRequest& request,
                              const PackingRules& rules, LowerPriorityWork lower);

// Returns how many further tasks of the request the machines have capacity for, by zone.
protocol::CapacityByZone estimate(const std::map<MachineName, Machine>& machines,
                                  const protocol::ResourceRequest& request, const PackingRules& rules,
                                  Instant now);

// Returns the same from a summary, which contains only free capacity: no preemptible capacity, no images and
// no numbers of tasks. Does not apply `rules.reserve`.
protocol::CapacityByZone estimate(const protocol::Summary& summary, const protocol::ResourceRequest& request,
                                  const PackingRules& rules);

// The state of a task's image on a machine, which determines how soon the task could run there. Ordered from
// the earliest possible start to the latest.
enum class ImageState {
  kCached,
  kFetching,          // the image is being fetched
  kNotFetching,       // no image is being fetched
  kFetchingOther,     // another image is being fetched
  kFetchLimitReached  // the limit on concurrent fetches is reached by other images: no task is placed there
};
ImageState image_state(const Machine& machine, const ImageName& image);

// Restricts placement by the state of the image on a machine.
enum class ImagePolicy { kCachedOnly, kMayFetch };

// Returns whether the policy allows a task on a machine where its image is in this state.
inline bool accepts_image_state(ImageState state, ImagePolicy policy) {
  return policy == ImagePolicy::kCachedOnly ? state == ImageState::kCached
                                            : state != ImageState::kFetchLimitReached;
}

// Returns whether the machine has capacity for any task at all. Lets callers skip full machines without
// evaluating each request.
bool has_capacity(const Machine& machine, const PackingRules& rules);

// Restricts which machines a task may be placed on. Refers to the caller's data, and is valid only during a
// call.
struct PlacementConstraints {
  const protocol::ResourceRequest& request;
  const std::optional<Zone>& zone;  // if set, the only zone allowed
  const std::set<MachineName>& avoided;
  ImagePolicy image_policy;
};

// Returns the machines that have capacity for a task of the request, best first: ordered by the state of the
// image, then by the fewest idle CPUs.
std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines,
                                      const PlacementConstraints& constraints, const PackingRules& rules,
                                      Instant now);

}  // namespace beaconsill::shard
