// Places the waiting tasks of a shard on its machines (bin packing).
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "shard/preemption.h"
#include "shard/shard_state.h"

namespace beaconsill::shard {

// Performs one placement pass over all waiting tasks of a shard.
class Placer {
 public:
  Placer(ShardState& state, Instant now) : state_(state), now_(now), preemption_(state, now) {}

  // Places all tasks for which there is capacity, ordered by priority, then by deadline. Among tasks of equal
  // priority, those that can run where their image is cached are placed first: a task that has to fetch its
  // image occupies capacity for far longer, and could take it from a task that does not.
  void place_all();

 private:
  struct WaitingJob {
    JobId id;
    ShardJob* job = nullptr;
  };
  // A request for which no machine has capacity, with the zone that it is restricted to.
  struct UnplaceableRequest {
    protocol::ResourceRequest request;
    std::optional<Zone> zone;
  };
  // Machines for the tasks of one job, best first. They are searched only once for each run of tasks with the
  // same zone: each placed task makes the first machine fuller, so it remains the best until it has no
  // capacity left.
  struct Candidates {
    bool searched = false;
    std::optional<Zone> zone;  // the zone that was searched
    std::vector<Machine*> machines;
    std::size_t next = 0;
  };
  struct JobPlacement {
    const JobId& id;
    ShardJob& job;
    ImagePolicy image_policy;
    protocol::ResourceRequest request;
    std::set<MachineName> avoided;  // machines on which the job failed recently
    bool fails_everywhere;          // the job is retried with one task at a time
    Candidates candidates;
  };
  enum class Next { kNextTask, kNextJob };

  std::vector<WaitingJob> collect_waiting_jobs();
  // Returns whether the job fails on every machine and must not be retried yet.
  bool in_crash_loop_backoff(const JobId& id) const;
  void place_job(const JobId& id, ShardJob& job, ImagePolicy image_policy);
  Next place_task(JobPlacement& placement, std::uint32_t index, GrantedTask& task);
  Machine* best_candidate(JobPlacement& placement, const std::optional<Zone>& zone);
  // Returns whether this pass has already found no capacity for a request that is no larger and allows the
  // same machines.
  bool is_unplaceable(const protocol::ResourceRequest& request, const std::optional<Zone>& zone) const;
  Machine* usable_preemption_target(const GrantedTask& task);
  bool preempt(const JobPlacement& placement, GrantedTask& task, const Machine* best);

  ShardState& state_;
  Instant now_;
  Preemption preemption_;
  std::vector<Machine*> machines_with_capacity_;  // usable machines with capacity for any task
  std::vector<UnplaceableRequest> unplaceable_;
};

}  // namespace beaconsill::shard
