// The state of a shard that its components share, and the operations that keep its indexes consistent.
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
#include "shard/task_locations.h"

namespace beaconsill::shard {

// Owned by ShardManager, which passes it to the components by reference for the time of a call.
struct ShardState {
  ShardState(ShardId shard, Term shard_term, const ShardParams& shard_params, Instant now);

  Machine* find_machine(const MachineName& name);
  struct FoundMachine {
    Machine& machine;
    bool added;  // it wasn't known before
  };
  // A machine that is added has its name, its first fencing token, and the times of one just seen.
  FoundMachine find_or_add_machine(const MachineName& name, Instant now);
  // Sets what the catalogue says of the machine's type.
  void apply_catalogue(Machine& machine) const;

  // Requests that the task be stopped within `grace` seconds, or sooner if that was requested before.
  void stop(Machine& machine, MachineTask& task, double grace);
  // The same for all tasks of the job.
  void stop_job(const JobId& id, double grace);
  // The attempt has left its machine: its task may be started anew.
  void requeue(const TaskKey& key, Instant now);
  // Drops the tasks of the machine for which drops(key, task) holds, and requeues them.
  template <class Predicate>
  void drop_tasks_if(Machine& machine, Predicate drops, Instant now);
  // The machine is known to run nothing any more.
  void drop_all_tasks(Machine& machine, Instant now);
  // Assigns the granted task to the machine, to be started with the next commands.
  void place(Machine& machine, const TaskId& id, const ShardJob& job, GrantedTask& granted_task, Instant now);

  // What is known of the job has changed: tasks of it may be orphaned now.
  void mark_possible_orphans(const JobId& id);
  void erase_job(const JobId& id);

  // Ends the reconciliation once every registered machine has sent a heartbeat under this term or is
  // terminated.
  void check_reconciled(Instant now);
  // A later term of the shard exists: its leader is another controller.
  void supersede() { superseded = true; }

  ShardId id;
  Term term;
  ShardParams params;
  Instant acquired_at;
  std::shared_ptr<const protocol::Catalogue> catalogue;
  std::map<MachineName, Machine> machines;
  std::set<MachineName> terminated;  // proved to be; their late heartbeats are dropped
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
  // Machines and tasks visited so far, other than by `locations`.
  mutable std::uint64_t visited_count = 0;
};

template <class Predicate>
void ShardState::drop_tasks_if(Machine& machine, Predicate drops, Instant now) {
  bool dropped = false;
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    if (!drops(it->first, it->second)) {
      ++it;
      continue;
    }
    auto key = it->first;
    it = locations.drop(machine, it);
    requeue(key, now);
    dropped = true;
  }
  if (dropped) machine.invalidate_load();
}

}  // namespace beaconsill::shard
