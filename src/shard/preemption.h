// Preemption: stops work of lower priority so that a task of higher priority fits on a machine.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Whether work is being stopped for the task, which waits for its target machine meanwhile.
bool awaits_preemption(const GrantedTask& task, Duration heartbeat_period, Instant now);

// Serves one placement pass over a shard's waiting tasks.
class Preemption {
 public:
  Preemption(ShardState& state, Instant now) : state_(state), now_(now) {}

  // Stops the work that loses least, so that one task of the job fits, and makes that machine its target.
  // False: there is no such machine.
  bool make_room_for(const ShardJob& job, GrantedTask& task, ImagePolicy image_policy);
  // A task has been placed on its target: nothing is reserved for it any more.
  void on_placed(const MachineName& target, const Resources& resources);

 private:
  // What would be stopped on one machine.
  struct Plan {
    Machine* machine = nullptr;
    std::vector<MachineTask*> victims;
    double lost_cpu_seconds = 0;
  };
  void collect_reservations();
  bool is_candidate(const Machine& machine, const protocol::ResourceRequest& request, const GrantedTask& task,
                    ImagePolicy image_policy) const;
  std::optional<Plan> plan_on(Machine& machine, const protocol::ResourceRequest& request) const;

  ShardState& state_;
  Instant now_;
  // Capacity that is being freed for waiting tasks, and is theirs. Summed up at the first preemption.
  std::optional<std::map<MachineName, Resources>> reserved_;
};

}  // namespace beaconsill::shard
