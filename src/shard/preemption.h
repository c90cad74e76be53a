// Preemption: stops tasks of lower priority to free capacity on a machine for a task of higher priority.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Returns whether tasks are being stopped for this task, which meanwhile waits for its target machine.
bool awaits_preemption(const GrantedTask& task, Duration heartbeat_period, Instant now);

// Performs preemptions during one placement pass over a shard's waiting tasks.
class Preemption {
 public:
  Preemption(ShardState& state, Instant now) : state_(state), now_(now) {}

  // Chooses the machine on which freeing capacity for one task of the job loses the least work, stops tasks
  // there and sets that machine as the task's preemption target. Returns false if there is no such machine.
  bool free_capacity_for(const ShardJob& job, GrantedTask& task, ImagePolicy image_policy);
  // Ends the reservation of a task that has been placed on its target.
  void on_placed(const MachineName& target, const Resources& resources);

 private:
  // The tasks that would be stopped on one machine.
  struct Plan {
    Machine* machine = nullptr;
    std::vector<MachineTaskEntry*> victims;
    double lost_cpu_seconds = 0;
  };
  void collect_reservations();
  bool is_candidate(const Machine& machine, const protocol::ResourceRequest& request, const GrantedTask& task,
                    ImagePolicy image_policy) const;
  std::optional<Plan> plan_on(Machine& machine, const protocol::ResourceRequest& request) const;

  ShardState& state_;
  Instant now_;
  // Capacity that is being freed for waiting tasks and is reserved for them, by machine. Computed at the
  // first preemption of the pass.
  std::optional<std::map<MachineName, Resources>> reserved_;
};

}  // namespace beaconsill::shard
