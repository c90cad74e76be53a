// Holds the state of a shard that its components share, and the operations that keep its indexes consistent.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "shard/command_channel.h"
#include "shard/failure_attribution.h"
#include "shard/failure_detector.h"
#include "shard/granted_jobs.h"
#include "shard/machine.h"
#include "shard/registry_state.h"
#include "shard/shard_params.h"
#include "shard/stop_reason.h"
#include "shard/task_locations.h"

namespace beaconsill::shard {

// Owned by ShardManager, which passes it to the components by reference for the duration of a call.
struct ShardState {
  ShardState(ShardId shard, Term shard_term, const ShardParams& shard_params, Instant now);

  Machine* find_machine(const MachineName& name);
  struct FoundMachine {
    Machine& machine;
    bool added;  // whether the machine was added by this call
  };
  // A new machine is initialized with its name, the first fencing token of the term and `now` as the time at
  // which it was first seen.
  FoundMachine find_or_add_machine(const MachineName& name, Instant now);
  // Sets the resources and image cache size of the machine from the catalogue entry of its type, if there is
  // one.
  void apply_catalogue(Machine& machine) const;

  // Requests that the task be stopped within `grace` seconds, or sooner if an earlier request said so.
  void stop(Machine& machine, const TaskKey& key, MachineTask& task, double grace, StopReason reason);
  // Requests that all live tasks of the job be stopped within `grace` seconds.
  void stop_job(const JobId& id, double grace, StopReason reason);
  // To be called when the attempt is no longer on its machine. The granted task can then be placed again.
  void requeue(const TaskKey& key, Instant now);
  // Removes the task, which is no longer on the machine. Raises the machine's token if copies of the task's
  // start command could still be executed under it: after a restart the worker accepts whatever token it
  // receives first, and the task may run elsewhere by then. Returns an iterator to the following task.
  TaskLocations::TaskIterator drop_task(Machine& machine, TaskLocations::TaskIterator task);
  // Drops and requeues the tasks of the machine for which drops(key, task) returns true.
  template <class Predicate>
  void drop_tasks_if(Machine& machine, Predicate drops, Instant now);
  // To be called when the machine is known to run no tasks any more. Drops and requeues all of them.
  void drop_all_tasks(Machine& machine, Instant now);
  // Assigns the granted task to the machine, to be started with the next commands.
  void place(Machine& machine, const TaskId& id, const ShardJob& job, GrantedTask& granted_task, Instant now);

  // To be called when the job's grants or state changed: the next orphan check visits all machines of its
  // tasks.
  void mark_possible_orphans(const JobId& id);
  void erase_job(const JobId& id);

  // Ends the reconciliation once every registered machine has sent a heartbeat under this term or is
  // terminated.
  void check_reconciled(Instant now);
  // Records that a later term of the shard exists, so that its leader is another controller.
  void supersede() { superseded = true; }

  ShardId id;
  Term term;
  ShardParams params;
  Instant acquired_at;
  std::shared_ptr<const protocol::Catalogue> catalogue;
  std::map<MachineName, Machine> machines;
  std::set<MachineName> terminated;  // proven to be terminated: late heartbeats of these are dropped
  GrantedJobs jobs;
  TaskLocations locations;
  DispatchQueue dispatch_queue;
  FailureAttribution failure_attribution;
  FailureDetector failure_detector;
  RegistryState registry;
  bool reconciled = false;
  bool superseded = false;
  std::uint64_t heartbeat_count = 0;
  std::uint64_t next_attempt;
  // Number of machines and tasks visited so far, except those that `locations` counts.
  mutable std::uint64_t visited_count = 0;
};

// Returns the time in seconds that a task of the job gets to save a checkpoint when it is stopped; 0 if its
// tasks have no checkpoints.
inline double grace_to_save(const protocol::JobSpec& spec) {
  return spec.checkpoint_s > 0 ? spec.save_s : 0;
}

template <class Predicate>
void ShardState::drop_tasks_if(Machine& machine, Predicate drops, Instant now) {
  bool dropped = false;
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    if (!drops(it->first, it->second)) {
      ++it;
      continue;
    }
    auto key = it->first;
    it = drop_task(machine, it);
    requeue(key, now);
    dropped = true;
  }
  if (dropped) machine.invalidate_load();
}

}  // namespace beaconsill::shard
