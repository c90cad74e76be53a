// Placement (bin packing) of waiting tasks on the machines of a shard.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "shard/preemption.h"
#include "shard/shard_state.h"

namespace beaconsill::shard {

// One pass over all waiting tasks of a shard.
class Placer {
 public:
  Placer(ShardState& state, Instant now) : state_(state), now_(now), preemption_(state, now) {}

  // Places what fits, by priority, then by deadline. Of equal priority, tasks that find their image cached go
  // first: one that fetches holds its place for far longer, and would take that of one that doesn't have to.
  void place_all();

 private:
  struct WaitingJob {
    JobId id;
    ShardJob* job = nullptr;
  };
  // A request, and the zone it is bound to, for which no machine has capacity.
  struct UnplaceableRequest {
    protocol::ResourceRequest request;
    std::optional<Zone> zone;
  };
  // Machines for the tasks of one job, the best first. They are looked for once in each zone: what is placed
  // makes the first one fuller, and so only better, until it has no capacity left.
  struct Candidates {
    bool searched = false;
    std::optional<Zone> zone;  // the search's
    std::vector<Machine*> machines;
    std::size_t next = 0;
  };
  struct JobPlacement {
    const JobId& id;
    ShardJob& job;
    ImagePolicy image_policy;
    protocol::ResourceRequest request;
    std::set<MachineName> avoided;  // the job failed there lately
    bool fails_everywhere;          // to be tried by one task at a time
    Candidates candidates;
  };
  enum class Next { kNextTask, kNextJob };

  std::vector<WaitingJob> collect_waiting_jobs();
  // The job fails wherever it is started, and isn't to be tried at present.
  bool in_crash_loop_backoff(const JobId& id) const;
  void place_job(const JobId& id, ShardJob& job, ImagePolicy image_policy);
  Next place_task(JobPlacement& placement, std::uint32_t index, GrantedTask& task);
  Machine* best_candidate(JobPlacement& placement, const std::optional<Zone>& zone);
  // A task that needs no less, and may use no other machines, was found not to fit.
  bool is_unplaceable(const protocol::ResourceRequest& request, const std::optional<Zone>& zone) const;
  Machine* usable_preemption_target(const GrantedTask& task);
  bool preempt(const JobPlacement& placement, GrantedTask& task, const Machine* best);

  ShardState& state_;
  Instant now_;
  Preemption preemption_;
  std::vector<Machine*> open_machines_;  // those with any capacity
  std::vector<UnplaceableRequest> unplaceable_;
};

}  // namespace beaconsill::shard
