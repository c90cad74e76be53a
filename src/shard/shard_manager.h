// Manages one shard of the machines on the shard's leader: a state machine that takes heartbeats, grants and
// times, and says what to send and to write. It has no sockets and no clock; the controller performs what it
// requests. Times are those of this controller's steady clock.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "protocol/peer.h"
#include "shard/command_delivery.h"
#include "shard/heartbeat_reconciler.h"
#include "shard/shard_params.h"
#include "shard/shard_state.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {

// Coordinates the components, each of which has a file of its own: HeartbeatReconciler, Placer with
// Preemption and gang scheduling, CommandDelivery, FailureDetector, RegistryState, GrantedJobs and the
// periodic checks. Movable: none of them refers to another.
class ShardManager {
 public:
  using Batch = CommandBatch;
  using CommandResult = shard::CommandResult;
  using HeartbeatResponse = shard::HeartbeatResponse;

  // `term`: under which this controller has acquired the shard, at `now`.
  ShardManager(ShardId id, Term term, const ShardParams& params, Instant now);

  ShardId id() const { return state_.id; }
  Term term() const { return state_.term; }
  const std::map<MachineName, Machine>& machines() const { return state_.machines; }
  // None: there is no such machine.
  Machine* find_machine(const MachineName& name) { return state_.find_machine(name); }
  // A later term of the shard exists, so its leader is another controller: nothing may be sent any more.
  bool superseded() const { return state_.superseded; }
  // Another controller or a worker knows of this term of the shard.
  void supersede(Term term);
  // Reconciled, and every machine is reachable.
  bool is_stable(Instant now) const;
  // Every registered machine has sent a heartbeat under this term or is terminated.
  bool is_reconciled() const { return state_.reconciled; }

  void set_catalogue(std::shared_ptr<const protocol::Catalogue> catalogue);

  // ---- Events
  // Machines registered in the state store, of all buckets: first of all after acquiring the shard.
  void on_registry(const std::vector<state_store::MachineRecord>& records, Instant now);
  // A heartbeat sent by the worker of its own accord.
  HeartbeatResult on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat, Instant now);
  // What to answer the machine's heartbeat with, which renews its lease from `now`. The machine has to be
  // known.
  HeartbeatResponse heartbeat_response(const MachineName& name, Instant now);
  // A heartbeat came by way of another controller: whether the worker is to be redirected here rather than
  // answered that way.
  bool should_redirect_here(const protocol::WorkerHeartbeat& heartbeat, Instant now);
  // The machine's heartbeat came to this controller itself.
  void on_direct_contact(const MachineName& name);
  // The state of a job changed. None: it was removed.
  void on_job(const JobId& id, const state_store::Job* job,
              std::optional<state_store::TerminalState> terminal_state, Instant now);
  // Lets time pass and places tasks. `cancellations_known_until`: all cancellations revealed to users
  // before this time are known here. `up_to_date_at`: the state store was read as of this time, the shard's
  // role included.
  void tick(Instant now, Instant cancellations_known_until, Instant up_to_date_at);

  // ---- Commands
  // What can be sent now; each must be followed by on_command_result.
  std::vector<Batch> take_command_batches(Instant now);
  // `heartbeat`: the body of the answer, if there was one.
  void on_command_result(const Batch& batch, CommandResult result,
                         const std::optional<protocol::WorkerHeartbeat>& heartbeat, Instant now);

  // ---- State
  // Jobs whose progress is to be written, with the value to write.
  std::map<JobId, state_store::Progress> unwritten_progress() { return state_.jobs.unwritten_progress(); }
  // The same for the scheduler, to which it counts at once: what is new since the last call, or all that is
  // unwritten.
  std::vector<protocol::JobProgress> progress_report(bool all) { return state_.jobs.progress_report(all); }
  // Whether the shard holds no task of the job any more, once that progress is written.
  bool holds_no_tasks_of(const JobId& id) const { return state_.jobs.has_no_unfinished_tasks(id); }
  // Buckets of the registry to be written.
  RegistryState::RecordsByBucket registry_buckets_to_write();

  // ---- Machines
  // The controller has not run for a while, and so received nothing: time without contact counts from here.
  void on_process_pause(Instant now);
  // To be deleted now. Each must be followed by on_machine_terminated or on_delete_failed.
  std::vector<MachineName> take_machines_to_delete(Instant now);
  // The machine is proved to be terminated.
  void on_machine_terminated(const MachineName& name, Instant now);
  void on_delete_failed(const MachineName& name, Instant now);
  // The scheduler scales in: the machine takes no more tasks, and is deleted. Ignored if it has tasks.
  void release(const MachineName& name);

  // ---- Queries
  // By zone, how many tasks of the request fit beside those that wait here already.
  protocol::CapacityByZone estimate(const protocol::ResourceRequest& request, Instant now) const;
  protocol::Summary summary(Instant now) const;
  // Running tasks of the job.
  std::uint32_t running(const JobId& id) const;
  // Machines and tasks visited so far: what a heartbeat, a grant or a query costs must not grow with all
  // machines and tasks there are.
  std::uint64_t visited_count() const { return state_.visited_count + state_.locations.visited_count(); }

 private:
  void apply_to_listed_tasks(const JobId& id, ShardJob& job, Instant now);
  void run_periodic_checks(Instant now, Instant up_to_date_at);

  ShardState state_;
  // When these checks were last made.
  std::optional<Instant> periodic_checks_at_;
  std::optional<Instant> orphan_check_at_;
};

}  // namespace beaconsill::shard
