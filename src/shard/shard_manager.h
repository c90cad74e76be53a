// Manages one shard of the cluster's machines on the controller that leads the shard. ShardManager is a state
// machine without sockets and clock: its inputs are heartbeats, grants and the time, and it returns the
// commands and records that the controller then sends and writes. Times are those of the controller's steady
// clock.
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
// periodic checks. Movable, since no component stores a reference to another.
class ShardManager {
 public:
  using Batch = CommandBatch;
  using CommandResult = shard::CommandResult;
  using HeartbeatResponse = shard::HeartbeatResponse;

  // `term`: the term under which this controller acquired the shard, at the time `now`.
  ShardManager(ShardId id, Term term, const ShardParams& params, Instant now);

  ShardId id() const { return state_.id; }
  Term term() const { return state_.term; }
  const std::map<MachineName, Machine>& machines() const { return state_.machines; }
  // Returns nullptr if the shard has no such machine.
  Machine* find_machine(const MachineName& name) { return state_.find_machine(name); }
  // Whether a later term of the shard exists. Its leader is then another controller, and this one must send
  // nothing any more.
  bool superseded() const { return state_.superseded; }
  // To be called with a term of the shard that another controller or a worker has reported.
  void supersede(Term term);
  // Whether the shard is reconciled and all of its machines are reachable.
  bool is_stable(Instant now) const;
  // Whether every registered machine has sent a heartbeat under this term or is terminated.
  bool is_reconciled() const { return state_.reconciled; }

  void set_catalogue(std::shared_ptr<const protocol::Catalogue> catalogue);

  // ---- Events
  // The registry of the shard was read from the state store: `records` are those of all buckets. Until the
  // first such event after the shard was acquired, the shard is not reconciled.
  void on_registry_read(const std::vector<state_store::MachineRecord>& records, Instant now);
  // An unsolicited heartbeat of a worker arrived.
  HeartbeatResult on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat, Instant now);
  // Returns the answer to the machine's heartbeat, which renews its lease from `now`. The shard must have the
  // machine.
  HeartbeatResponse heartbeat_response(const MachineName& name, Instant now);
  // To be called for a heartbeat that another controller relayed. Returns whether the worker should be
  // redirected to this controller, rather than answered through the other one.
  bool should_redirect_here(const protocol::WorkerHeartbeat& heartbeat, Instant now);
  // The worker of the machine sent a heartbeat to this controller directly.
  void on_direct_contact(const MachineName& name);
  // The state of a job changed. `job` is nullptr if the job was removed.
  void on_job(const JobId& id, const state_store::Job* job,
              std::optional<state_store::TerminalState> terminal_state, Instant now);
  // Runs the checks that depend on the time and places tasks. `cancellations_known_until`: all cancellations
  // visible to users before this time are known here. `up_to_date_at`: the local copy of the state store,
  // including the record of the shard's leader, is current as of this time.
  void tick(Instant now, Instant cancellations_known_until, Instant up_to_date_at);

  // ---- Commands
  // Returns the batches to send now. For each of them on_command_result must be called later.
  std::vector<Batch> take_command_batches(Instant now);
  // A batch was answered or timed out. `heartbeat`: the body of the answer, if there was one.
  void on_command_result(const Batch& batch, CommandResult result,
                         const std::optional<protocol::WorkerHeartbeat>& heartbeat, Instant now);

  // ---- State
  // Returns the jobs whose progress is to be written to the state store, with the value to write.
  std::map<JobId, state_store::Progress> unwritten_progress() { return state_.jobs.unwritten_progress(); }
  // Returns the progress to report to the scheduler, which takes it into account before it is written: with
  // `all` all unwritten progress, otherwise only what is new since the last call.
  std::vector<protocol::JobProgress> progress_report(bool all) { return state_.jobs.progress_report(all); }
  // Whether the shard has no tasks of the job any more, once the unwritten progress is written.
  bool holds_no_tasks_of(const JobId& id) const { return state_.jobs.has_no_unfinished_tasks(id); }
  // Returns the buckets of the machine registry to be written to the state store.
  RegistryState::RecordsByBucket registry_buckets_to_write();

  // ---- Machines
  // To be called after a pause of this process, in which it received nothing. Time without contact counts
  // from `now`.
  void on_process_pause(Instant now);
  // Returns the machines to delete now. For each of them on_machine_terminated or on_delete_failed must be
  // called later.
  std::vector<MachineName> take_machines_to_delete(Instant now);
  // The machine is proven to be terminated.
  void on_machine_terminated(const MachineName& name, Instant now);
  void on_delete_failed(const MachineName& name, Instant now);
  // The scheduler scales in: the machine gets no more tasks and will be deleted. Ignored if it has tasks.
  void release(const MachineName& name);

  // ---- Queries
  // Returns for each zone how many tasks of the request can be placed in addition to the tasks that are
  // already waiting here.
  protocol::CapacityByZone estimate(const protocol::ResourceRequest& request, Instant now) const;
  protocol::Summary summary(Instant now) const;
  // Returns the number of running tasks of the job.
  std::uint32_t running(const JobId& id) const;
  // Returns the number of machines and tasks visited so far. Tests use it to verify that the cost of a
  // heartbeat, a grant or a query doesn't grow with the total number of machines and tasks.
  std::uint64_t visited_count() const { return state_.visited_count + state_.locations.visited_count(); }

 private:
  // Applies the heartbeat in the answer to a batch.
  void on_answer(Machine& machine, const Batch& batch, const protocol::WorkerHeartbeat& answer, Instant now);
  void apply_to_listed_tasks(const JobId& id, ShardJob& job, Instant now);
  void run_periodic_checks(Instant now, Instant up_to_date_at);

  ShardState state_;
  // When these checks last ran.
  std::optional<Instant> periodic_checks_at_;
  std::optional<Instant> orphan_check_at_;
};

}  // namespace beaconsill::shard
