// The ledger of the tasks that are granted to a shard, and of what became of them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "protocol/peer.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {

struct GrantedTask {
  enum class Status {
    kAwaitingReconciliation,  // an earlier leader may have started it: not before the shard is reconciled
    kWaiting,                 // on no machine
    kPlaced,
    kDone,
    kReleased  // returned to the scheduler, not yet written
  };
  Generation generation;
  Status status = Status::kWaiting;
  bool earlier_term = false;  // granted to an earlier leader of the shard
  bool preempt = false;       // may have work of lower priority stopped
  std::optional<Zone> zone;
  MachineName machine;  // if placed
  Attempt attempt;
  bool started = false;  // gangs: under this attempt; it's never started twice under one
  Instant since{};       // granted, or waiting again
  // Where work is being preempted for it: it waits for that machine for a heartbeat period.
  std::optional<MachineName> preemption_target;

  void wait_again(bool reconciled, Instant now) {
    status = earlier_term && !reconciled ? Status::kAwaitingReconciliation : Status::kWaiting;
    since = now;
  }
  // It is done or released: nothing is left to do for it here.
  bool is_finished() const { return status == Status::kDone || status == Status::kReleased; }
};

struct ShardJob {
  state_store::JobRecord record;  // with the priority that the job has in this shard
  std::optional<state_store::TerminalState> terminal_state;
  state_store::Progress recorded;
  bool revoked = false;
  std::set<Generation> generations;  // of the chunks this shard holds
  std::map<std::uint32_t, GrantedTask> granted_tasks;
  bool works = false;       // some task of it has completed, or runs well
  bool unwritten = false;   // its progress may differ from what is recorded
  bool unreported = false;  // the same, since the scheduler was last notified
  protocol::JobHealth unreported_health = protocol::JobHealth::kNone;

  void mark_progress() { unwritten = unreported = true; }
  void report_health(protocol::JobHealth health) {
    unreported_health = health;
    unreported = true;
  }
  bool has_waiting_task() const;
};

// The jobs of which the shard holds granted tasks. Knows nothing of machines.
class GrantedJobs {
 public:
  GrantedJobs(ShardId shard, Term term) : shard_(shard), term_(term) {}

  ShardJob* find(const JobId& id);
  const ShardJob* find(const JobId& id) const;
  GrantedTask* find_task(const TaskId& id);
  // The job has to be known.
  ShardJob& at(const JobId& id) { return jobs_.at(id); }
  const std::set<JobId>& gangs() const { return gangs_; }
  // Jobs of which some task may be waiting.
  const std::set<JobId>& waiting() const { return waiting_; }
  void mark_waiting(const JobId& id) { waiting_.insert(id); }
  // Calls visit(id, job) for each job that has a waiting task, in the order of ids.
  template <class Visitor>
  void for_each_waiting(Visitor visit);

  // Takes over a job's record, its grants to this shard and its recorded progress. None: no grant of it
  // concerns this shard. The record must hold a specification.
  ShardJob* apply(const JobId& id, const state_store::Job& job,
                  std::optional<state_store::TerminalState> terminal_state, bool reconciled, Instant now);
  void erase(const JobId& id);
  // Lets the tasks wait that were held back for reconciliation; returns how many.
  std::size_t finish_reconciliation(Instant now);
  // Returns to the scheduler what has waited for longer than the limit, and what is no longer wanted.
  void release_unplaced(Duration limit, Instant now);

  // What the task ended with is recorded, or of no use to anybody.
  bool is_durable(const TaskId& id) const;
  bool holds_no_tasks_of(const JobId& id) const;
  // CPUs wanted by tasks that wait here with at least this priority.
  double waiting_cpus(Priority priority) const;

  // Jobs whose progress is to be written, with the value to write, until it is seen as written.
  std::map<JobId, state_store::Progress> unwritten_progress();
  // For the scheduler: what is new since the last call, or all that is unwritten.
  std::vector<protocol::JobProgress> progress_report(bool all);

 private:
  void set_record(ShardJob& shard_job, const state_store::Job& job) const;
  void apply_chunk(const JobId& id, ShardJob& job, const state_store::Chunk& chunk, bool reconciled,
                   std::set<std::uint32_t>& wanted, Instant now);

  ShardId shard_;
  Term term_;
  std::unordered_map<JobId, ShardJob> jobs_;  // looked up for each task of each heartbeat
  std::set<JobId> gangs_;
  std::set<JobId> waiting_;
};

template <class Visitor>
void GrantedJobs::for_each_waiting(Visitor visit) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto& job = jobs_.at(*it);
    if (!job.has_waiting_task()) {
      it = waiting_.erase(it);
      continue;
    }
    visit(*it, job);
    ++it;
  }
}

}  // namespace beaconsill::shard
