// Reconciliation of workers' heartbeats with what the shard is granted and has placed.
#pragma once

#include "protocol/worker.h"
#include "shard/shard_state.h"

namespace beaconsill::shard {

// How a heartbeat came, which tells what it proves.
enum class HeartbeatOrigin {
  kOwnAccord,     // sent by the worker without being asked: it may receive nothing
  kCommandAnswer  // the answer to commands or a probe, so these have reached the worker
};

enum class HeartbeatResult {
  kApplied,
  kDropped  // stale, of a later term, or of a terminated machine
};

// Works on a shard's state for the time of one event.
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ShardState& state, Instant now) : state_(state), now_(now) {}

  HeartbeatResult reconcile(const protocol::WorkerHeartbeat& heartbeat, HeartbeatOrigin origin);

  // Assigns a live task on the machine to its grant, if that is on no machine yet or only by an outdated
  // heartbeat; stops it if it runs elsewhere.
  void adopt(Machine& machine, const TaskKey& key, MachineTask& task);

 private:
  Machine& find_or_add_machine(const protocol::WorkerHeartbeat& heartbeat);
  bool is_of_later_term(const protocol::WorkerHeartbeat& heartbeat);
  // The heartbeat is of an incarnation that runs nothing of the earlier one's tasks.
  void on_new_incarnation(Machine& machine);
  // Whether the worker made a pause before this heartbeat as one does that waits for an answer in vain.
  bool likely_missed_answer(const Machine& machine) const;
  void update_contact(Machine& machine, const protocol::WorkerHeartbeat& heartbeat, HeartbeatOrigin origin,
                      bool lease_expired);
  void update_reclaim_notice(Machine& machine, const protocol::WorkerHeartbeat& heartbeat) const;
  void update_tasks(Machine& machine, const protocol::WorkerHeartbeat& heartbeat);
  void update_task(Machine& machine, const TaskKey& key, MachineTask& task,
                   const protocol::TaskStatus& status);
  bool is_outdated(const GrantedTask& granted_task, const TaskId& id, const Machine& machine,
                   const MachineTask& task);
  void on_ended(Machine& machine, const TaskKey& key, MachineTask& task);
  void on_task_failed(Machine& machine, const JobId& id);
  // A task placed on the machine at `placed` has completed, or runs well.
  void on_task_worked(Machine& machine, const JobId& id, Instant placed);
  void quarantine_if_faulty(Machine& machine);

  ShardState& state_;
  Instant now_;
};

}  // namespace beaconsill::shard
