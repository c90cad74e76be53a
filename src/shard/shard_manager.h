// The owner of a shard: a state machine that takes reports, grants and times, and says what to send and
// write. It has no sockets; the controller carries its wishes out.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/peer.h"
#include "shard/estimator.h"
#include "shard/failure_attribution.h"
#include "shard/machine.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {

struct ShardParams {
  Duration heartbeat_period{};
  Duration lease{};
  Duration cancel_limit{};
  Duration grace{};  // silence after which a machine is deleted
  PackingRules rules;
};

class ShardManager {
 public:
  ShardManager(ShardId id, Term term, ShardParams params, Instant now);

  ShardId id() const { return id_; }
  Term term() const { return term_; }
  const std::map<MachineName, Machine>& machines() const { return machines_; }
  Machine* find_machine(const MachineName& name);
  // Some worker has seen a token of a higher term: another owner exists.
  bool superseded() const { return superseded_; }
  // Word of a higher term came by another way.
  void supersede(Term t);
  // All is in good order: rebuilt, and every machine in touch.
  bool is_stable(Instant now) const;
  // Every registered machine has been heard under this term or is gone.
  bool is_reconciled() const { return reconciled_; }

  void set_catalogue(std::shared_ptr<const protocol::Catalogue> c);

  // ---- What happens
  // Machines registered in the state store, all buckets: first of all after taking the shard over.
  void on_registry(const std::vector<state_store::MachineRecord>& records, Instant now);
  // A report, by the worker or in the body of an answer to commands. False: it's stale.
  bool on_worker_heartbeat(const protocol::WorkerHeartbeat& r, Instant now) {
    return reconcile_heartbeat(r, false, now);
  }
  // What to answer a machine's report with; the lease runs anew from here.
  struct HeartbeatResponse {
    Token token;
    // While commands don't get through to the machine, what is to be stopped is told this way. Only stops:
    // they can be repeated, and need no settling.
    std::vector<protocol::Command> commands;
  };
  HeartbeatResponse answer(const MachineName& m, Instant now);
  // A report came by way of another controller: whether the worker is to be pointed here rather than answered
  // that way.
  bool should_redirect_here(const protocol::WorkerHeartbeat& r, Instant now);
  // Its report came to this controller itself.
  void on_direct_contact(const MachineName& m);
  // The state of a job changed (none: it's gone).
  void on_job(const JobId& id, const state_store::Job* job, std::optional<state_store::TerminalState> end,
              Instant now);
  // Lets time pass and places tasks. `word`: all cancellations told before this time are known here, by
  // whatever way. `read`: the state store was read as of this time, the shard's role included.
  void tick(Instant now, Instant word, Instant read);

  // ---- Commands
  struct Batch {
    MachineName machine;
    std::string address;
    Incarnation incarnation;
    Token token;
    std::vector<protocol::Command> commands;
  };
  // What can be sent now; each must be followed by on_commands.
  std::vector<Batch> take_command_batches(Instant now);
  enum class CommandResult { kExecuted, kRejected, kNoAnswer };
  // `report`: the body of the answer.
  void on_commands(const Batch& b, CommandResult result,
                   const std::optional<protocol::WorkerHeartbeat>& heartbeat, Instant now);

  // ---- State
  // Jobs whose progress is to be written, with the value to write.
  std::map<JobId, state_store::Progress> unwritten_progress();
  // The same for the leader, to whom it counts at once: what is new since the last call, or all that is
  // unwritten.
  std::vector<protocol::JobProgress> progress_report(bool all);
  // Whether the shard holds no task of the job any more, once that progress is written.
  bool holds_no_tasks_of(const JobId& id) const;
  // Buckets of the registry to be written.
  std::map<std::uint32_t, std::vector<state_store::MachineRecord>> unregistered_machines();

  // ---- Machines
  // The controller has not run for a while, and so heard nobody: silence counts from here.
  void on_process_pause(Instant now);
  // To be deleted now, since they went quiet, are sick, closed and empty. Followed by on_deleted or
  // on_delete_failed.
  std::vector<MachineName> take_machines_to_delete(Instant now);
  void on_deleted(const MachineName& m, Instant now);
  void on_delete_failed(const MachineName& m, Instant now);
  // Takes no more tasks; deleted once it's empty. Ignored if it has work.
  void release(const MachineName& m);

  // ---- Questions
  protocol::CapacityByZone estimate(const protocol::ResourceRequest& s, Instant now) const;
  protocol::Summary summary(Instant now) const;
  std::uint32_t running(const JobId& id) const;
  // Machines and tasks looked at so far: what a report, a grant or a question costs must not grow with all
  // machines and tasks there are.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  struct GrantedTask {
    enum class Status {
      kAwaitingReconciliation,  // an earlier owner may have started it: not before the shard is rebuilt
      kWaiting,                 // on no machine
      kPlaced,
      kDone,
      kReleased  // given back, not yet written
    };
    Generation generation;
    Status status = Status::kWaiting;
    bool earlier = false;  // granted to an earlier owner
    bool preempt = false;
    std::optional<Zone> zone;
    MachineName machine;
    Attempt attempt;
    bool started = false;  // gangs: under this attempt; it's never started twice under one
    Instant since{};
    // Where room is being made for it: it waits for that machine for a report period.
    std::optional<MachineName> target;
  };
  struct ShardJob {
    state_store::JobRecord record;
    std::optional<state_store::TerminalState> end;
    state_store::Progress recorded;
    bool revoked = false;
    std::set<Generation> generations;  // of the chunks this shard holds
    std::map<std::uint32_t, GrantedTask> granted_tasks;
    bool works = false;           // some task of it has completed, or runs well
    bool dirty = false;           // its progress may differ from what is recorded
    bool unacknowledged = false;  // the same, since the leader was told
    void mark() { dirty = unacknowledged = true; }
    // What the leader is still to be told of its failures.
    protocol::JobHealth verdict = protocol::JobHealth::kNone;
  };

  // `hears`: the report answers commands, so they have reached the worker.
  bool reconcile_heartbeat(const protocol::WorkerHeartbeat& r, bool answers_commands, Instant now);
  Batch probe_batch(Machine& m, Instant now);
  Batch command_batch(Machine& m, Instant now);
  // All changes of a machine's tasks go through these two, which keep `where_`.
  std::pair<MachineTask&, bool> put(Machine& m, const TaskKey& key);  // whether it's new
  std::map<TaskKey, MachineTask>::iterator drop(Machine& m, std::map<TaskKey, MachineTask>::iterator t);
  // Drops the tasks of the machine for which `gone(key, task)` holds, and requeues them.
  template <class F>
  void drop_if(Machine& m, F gone, Instant now);
  using Listed = std::map<TaskId, std::vector<Machine*>>;
  // Calls `f(machine, key, task)` for all that machines list of the job, or of one task.
  template <class F>
  void each_listed(const JobId& id, F f) const;
  template <class F>
  void each_listed(const Listed::value_type& task, F f) const;
  // There may be something to send to the machine.
  void mark_for_dispatch(Machine& m);
  void wait(const JobId& id) { waiting_.insert(id); }
  void erase_job(const JobId& id);
  // What is known of the job has changed: where its tasks are, some may be strays.
  void mark_possible_orphans(const JobId& id);
  void set_record(ShardJob& pj, const state_store::Job& job) const;
  // The attempt is off its machine: its task may be started anew.
  void requeue(const TaskKey& key, Instant now);
  void drop_all_tasks(Machine& m, Instant now);
  void on_ended(Machine& m, const TaskKey& key, MachineTask& t, Instant now);
  void on_task_failed(Machine& m, const JobId& job, Instant now);
  // A task placed on the machine at `placed` has completed, or runs well.
  void on_task_worked(Machine& m, const JobId& job, Instant placed, Instant now);
  void quarantine_if_faulty(Machine& m);
  // The job fails wherever it's started, and isn't to be tried at present.
  bool in_crash_loop_backoff(const JobId& id, Instant now) const;
  void adopt(Machine& m, const TaskKey& key, MachineTask& t, Instant now);
  bool is_outdated(const GrantedTask& granted_task, const TaskId& task, const Machine& m,
                   const MachineTask& t);
  void update(Machine& m, const TaskKey& key, MachineTask& t, const protocol::TaskStatus& r, Instant now);
  void resolve_in_flight(Machine& m, Instant now);
  void suspect(Machine& m, Instant now);
  void check_reconciled(Instant now);
  void check_leases(Instant now, Instant read);
  void check_reclaim_notices(Instant now);
  void place_all(Instant now);
  void place_gang(const JobId& id, ShardJob& job, const std::vector<Machine*>& open, Instant now);
  void check_gangs(Instant now);
  void stop_gang_members(const JobId& id, double grace);
  // One pass over all that waits.
  struct Pass {
    Instant now;
    std::vector<Machine*> open;  // machines with any room
    // Shapes, and zones that they are bound to, for which no machine has room.
    std::vector<std::pair<protocol::ResourceRequest, std::optional<Zone>>> full;
    // Room that is being made for tasks, and is theirs. Summed up when it's first asked for.
    std::optional<std::map<MachineName, Resources>> promised;
  };
  // `warm`: only where the image is.
  void place_job(const JobId& id, ShardJob& job, bool warm, Pass& pass);
  void start(Machine& m, const TaskId& id, const ShardJob& job, GrantedTask& granted_task, Instant now);
  // False: there is no such machine. `warm`: only where the image is.
  bool preempt_for(const ShardJob& job, GrantedTask& granted_task, bool warm, Pass& pass);
  bool on_some_machine(const TaskId& id) const;
  bool making_room(const GrantedTask& granted_task, Instant now) const;
  void release_unplaced(Instant now);
  void stop_orphaned_tasks(Instant now, Instant read);
  void abandon(Machine& m, MachineTask& t);
  state_store::Progress progress_of(const ShardJob& job) const;
  void stop(Machine& m, MachineTask& t, double grace) {
    t.stop_grace = std::min(t.stop_grace.value_or(grace), grace);
    mark_for_dispatch(m);
  }
  Machine& machine(const protocol::WorkerHeartbeat& r, Instant now);
  void set_type(Machine& m);
  void set_failure_timeouts(Machine& m) const;
  // Neither a report from it nor, if it's in doubt that it hears, a sign of that for so long. One that has
  // not yet reported under this owner's term is in doubt.
  bool is_unreachable(const Machine& m, Duration patience, Instant now) const;
  std::set<Zone> partitioned_zones(Instant now) const;
  Instant reachable_since(const Zone& zone) const;
  // Silence after which a report is late.
  Duration suspicion_timeout() const;
  void probe_late(Instant now);
  void probe(Machine& m, Instant now);
  // When a machine of the zone last answered commands or a probe.
  Instant commands_answered(const Zone& zone) const;
  bool hangs(const Machine& m, Instant now) const;
  const char* reason_to_delete(const Machine& m, bool partitioned, Instant now) const;
  ShardJob* find_job(const JobId& id);
  GrantedTask* find_granted_task(const TaskId& id);
  bool is_durable(const TaskId& id) const;

  ShardId id_;
  Term term_;
  ShardParams params_;
  Instant began_;
  std::shared_ptr<const protocol::Catalogue> catalogue_;
  std::map<MachineName, Machine> machines_;
  std::unordered_map<JobId, ShardJob> jobs_;  // looked up for each task of each report
  std::set<JobId> gangs_;                     // of these
  std::set<JobId> waiting_;                   // jobs of which some task may be waiting
  // The machines that list a task, one entry for each attempt: what is asked about a task or a job is
  // answered without going through all machines.
  Listed where_;
  FailureAttribution failure_attribution_;
  std::vector<Machine*> dispatch_queue_;
  std::uint64_t heartbeat_count_ = 0;
  mutable std::uint64_t visited_count_ = 0;
  std::map<std::uint32_t, std::vector<state_store::MachineRecord>> registry_;  // as written
  std::set<MachineName> terminated_;  // proved gone; their late reports are dropped
  std::uint64_t next_attempt_;
  bool reconciled_ = false;
  bool registry_known_ = false;
  bool superseded_ = false;
  bool registry_dirty_ = true;  // what is registered may differ from what should be
  Instant timeouts_checked_{}, orphans_checked_{};
  Instant observing_since_{};
  std::map<Zone, Instant> commands_answered_;
  std::map<Zone, Instant> partitioned_;  // when the zone was last taken to be cut off
};

template <class F>
void ShardManager::each_listed(const JobId& id, F f) const {
  for (auto w = where_.lower_bound(TaskId{id, 0}); w != where_.end() && w->first.job == id; ++w)
    each_listed(*w, f);
}

template <class F>
void ShardManager::each_listed(const Listed::value_type& task, F f) const {
  const auto& [id, machines] = task;
  for (auto at = machines.begin(); at != machines.end(); ++at) {
    auto* m = *at;
    // A machine that lists several attempts stands there as often.
    if (std::find(machines.begin(), at, m) != at) continue;
    auto t = m->tasks.lower_bound({id, Attempt()});
    for (; t != m->tasks.end() && t->first.first == id; ++t, ++visited_count_) f(*m, t->first, t->second);
  }
}

template <class F>
void ShardManager::drop_if(Machine& m, F gone, Instant now) {
  bool dropped = false;
  for (auto it = m.tasks.begin(); it != m.tasks.end();) {
    if (!gone(it->first, it->second)) {
      ++it;
      continue;
    }
    auto key = it->first;
    it = drop(m, it);
    requeue(key, now);
    dropped = true;
  }
  if (dropped) m.changed();
}

}  // namespace beaconsill::shard
