// Reconciles workers' heartbeats with the tasks that are granted to the shard and placed on its machines.
#pragma once

#include "protocol/worker.h"
#include "shard/shard_state.h"

namespace beaconsill::shard {

// How a heartbeat was triggered, which determines what it proves.
enum class HeartbeatOrigin {
  kUnsolicited,   // sent by the worker by itself: does not prove that the worker receives anything
  kCommandAnswer  // the answer to commands or a probe: proves that these have reached the worker
};

enum class HeartbeatResult {
  kApplied,
  kDropped  // stale, of a later term, or of a terminated machine
};

// Applies one heartbeat or job update to a shard's state. Create one per event; it refers to the state.
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ShardState& state, Instant now) : state_(state), now_(now) {}

  HeartbeatResult reconcile(const protocol::WorkerHeartbeat& heartbeat, HeartbeatOrigin origin);

  // Processes a live task that the machine lists. Records the granted task as placed on this machine if it is
  // not placed yet, or if its recorded placement is based on an outdated heartbeat. Otherwise, if the
  // machine is confirmed, stops the listed task if it is another attempt or on another machine.
  void adopt(Machine& machine, const TaskKey& key, MachineTask& task);

 private:
  Machine& find_or_add_machine(const protocol::WorkerHeartbeat& heartbeat);
  bool is_of_later_term(const protocol::WorkerHeartbeat& heartbeat);
  // Whether the heartbeat is no newer than what is known of the machine, or was sent by its worker before a
  // restart.
  static bool is_stale(const Machine& machine, const protocol::WorkerHeartbeat& heartbeat);
  // Probes a machine from which only stale heartbeats arrive: its worker may have restarted, which the answer
  // to the probe shows.
  void probe_if_only_stale(Machine& machine);
  // Drops all tasks known of the machine: a new incarnation runs none of the tasks of the previous one.
  void on_new_incarnation(Machine& machine);
  // Whether the pause before this heartbeat suggests that the worker waited in vain for the answer to its
  // previous one.
  bool likely_missed_answer(const Machine& machine) const;
  void update_contact(Machine& machine, const protocol::WorkerHeartbeat& heartbeat, HeartbeatOrigin origin,
                      bool lease_expired);
  void update_reclaim_notice(Machine& machine, const protocol::WorkerHeartbeat& heartbeat) const;
  void update_tasks(Machine& machine, const protocol::WorkerHeartbeat& heartbeat);
  // Drops the tasks that the heartbeat, which was just applied, doesn't list.
  void drop_unlisted_tasks(Machine& machine, const protocol::WorkerHeartbeat& heartbeat);
  void update_task(Machine& machine, const TaskKey& key, MachineTask& task,
                   const protocol::TaskStatus& status);
  bool is_outdated(const GrantedTask& granted_task, const TaskId& id, const Machine& machine,
                   const MachineTask& task);
  void on_ended(Machine& machine, const TaskKey& key, MachineTask& task);
  void on_task_failed(Machine& machine, const JobId& id);
  // Records that a task placed on the machine at `placed` has completed, or has run for kStableAfter.
  void on_task_succeeded(Machine& machine, const JobId& id, Instant placed);
  void quarantine_if_faulty(Machine& machine);

  ShardState& state_;
  Instant now_;
};

}  // namespace beaconsill::shard
