// Bin packing: how many tasks of a request fit on machines, and which machines suit them best. Pure
// functions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "protocol/peer.h"
#include "shard/machine.h"

namespace beaconsill::shard {

struct PackingRules {
  std::uint32_t task_cap = 64;  // most tasks on one machine
  double reserve = 0;           // share of a machine's CPUs that arrays leave free
};

// The request of `wanted` tasks of the job.
protocol::ResourceRequest request_of(const protocol::JobSpec& spec, std::uint32_t wanted);

// Whether the request's tasks may run on such a machine, capacity aside.
bool is_allowed(const protocol::ResourceRequest& request, const MachineType& type, const Zone& zone,
                bool spot);

// How often `each` fits into `idle`, the scarcest resource deciding.
std::uint32_t tasks_that_fit(const Resources& idle, const Resources& each);

// What becomes of work of a lower priority than the request's.
enum class LowerPriorityWork { kKept, kPreempted };

// How many tasks of the request fit on the machine, by its resources and the task cap.
std::uint32_t available_tasks(const Machine& machine, const protocol::ResourceRequest& request,
                              const PackingRules& rules, LowerPriorityWork lower);

// How many tasks of the request fit on the machines, by zone.
protocol::CapacityByZone estimate(const std::map<MachineName, Machine>& machines,
                                  const protocol::ResourceRequest& request, const PackingRules& rules,
                                  Instant now);

// The same from a summary, which knows free capacity only.
protocol::CapacityByZone estimate(const protocol::Summary& summary, const protocol::ResourceRequest& request,
                                  const PackingRules& rules);

// How soon a task could run on a machine, as far as its image tells; the soonest first.
enum class ImageState {
  kCached,
  kFetching,          // it is being fetched
  kNoFetch,           // nothing is being fetched
  kBesideOtherFetch,  // another image is being fetched
  kFetchLimitReached  // as many others are being fetched as may be at the same time: no task is sent there
};
ImageState image_state(const Machine& machine, const ImageName& image);

// Where a task may be placed, as far as its image tells.
enum class ImagePolicy { kCachedOnly, kMayFetch };

// Whether a task may be placed where its image is in this state.
inline bool accepts_image_state(ImageState state, ImagePolicy policy) {
  return policy == ImagePolicy::kCachedOnly ? state == ImageState::kCached
                                            : state != ImageState::kFetchLimitReached;
}

// Some capacity for some task: what is full needn't be looked at request by request.
bool has_capacity(const Machine& machine, const PackingRules& rules);

// Which machines a task may be placed on. Refers to the caller's data for the time of a call.
struct PlacementConstraints {
  const protocol::ResourceRequest& request;
  const std::optional<Zone>& zone;  // the only one allowed, if any
  const std::set<MachineName>& avoided;
  ImagePolicy image_policy;
};

// The machines on which a task fits, best first: by the state of its image; among equals the fullest.
std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines,
                                      const PlacementConstraints& constraints, const PackingRules& rules,
                                      Instant now);

}  // namespace beaconsill::shard
