// Tracks the tasks that the scheduler has granted to a shard, and their status and progress.
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
    // An earlier leader may have started the task: it is not placed before the shard is reconciled.
    kAwaitingReconciliation,
    kWaiting,  // to be placed
    kPlaced,
    kDone,
    kReleased  // returned to the scheduler; this is not yet written to the state store
  };
  Generation generation;
  Status status = Status::kWaiting;
  bool earlier_term = false;  // granted to an earlier leader of the shard
  bool preempt = false;       // tasks of lower priority may be stopped for it
  std::optional<Zone> zone;
  MachineName machine;  // where it is placed, if it is
  Attempt attempt;
  // Only for gangs: whether the task was started under this attempt. A task is never started twice under one
  // attempt.
  bool started = false;
  Instant since{};  // when it was granted or last returned to waiting
  // The machine on which other tasks are being preempted for this one, which waits for that machine for up to
  // a heartbeat period.
  std::optional<MachineName> preemption_target;

  void reset_to_waiting(bool reconciled, Instant now) {
    status = earlier_term && !reconciled ? Status::kAwaitingReconciliation : Status::kWaiting;
    since = now;
  }
  // Returns whether the task is done or released, so that this shard has nothing left to do for it.
  bool is_finished() const { return status == Status::kDone || status == Status::kReleased; }
};

struct ShardJob {
  state_store::JobRecord record;  // its specification has the job's priority in this shard
  std::optional<state_store::TerminalState> terminal_state;
  state_store::Progress recorded;
  bool revoked = false;
  std::set<Generation> generations;  // of the chunks granted to this shard
  std::map<std::uint32_t, GrantedTask> granted_tasks;
  bool works = false;       // whether a task has completed, or has run long enough to show that the job works
  bool unwritten = false;   // whether its progress may differ from what is recorded
  bool unreported = false;  // whether its progress or health has changed since the last report
  protocol::JobHealth unreported_health = protocol::JobHealth::kNone;

  void mark_progress() { unwritten = unreported = true; }
  void report_health(protocol::JobHealth health) {
    unreported_health = health;
    unreported = true;
  }
  bool has_waiting_task() const;
};

// The jobs that have tasks granted to the shard. Independent of the state of machines.
class GrantedJobs {
 public:
  GrantedJobs(ShardId shard, Term term) : shard_(shard), term_(term) {}

  ShardJob* find(const JobId& id);
  const ShardJob* find(const JobId& id) const;
  GrantedTask* find_task(const TaskId& id);
  // The job must exist.
  ShardJob& at(const JobId& id) { return jobs_.at(id); }
  const std::set<JobId>& gangs() const { return gangs_; }
  // Returns the jobs that may have a waiting task.
  const std::set<JobId>& waiting() const { return waiting_; }
  void mark_waiting(const JobId& id) { waiting_.insert(id); }
  // Calls visit(id, job) for each job that has a waiting task, ordered by id.
  template <class Visitor>
  void for_each_waiting(Visitor visit);

  // Applies a job's record, its grants to this shard and its recorded progress. Returns nullptr if this shard
  // neither has a grant of the job nor had one before. The record must contain a specification.
  ShardJob* apply(const JobId& id, const state_store::Job& job,
                  std::optional<state_store::TerminalState> terminal_state, bool reconciled, Instant now);
  void erase(const JobId& id);
  // Sets tasks that await reconciliation to waiting, and returns their number.
  std::size_t finish_reconciliation(Instant now);
  // Releases to the scheduler the waiting tasks that have waited for at least the limit, and all waiting
  // tasks of jobs that are terminated or revoked.
  void release_unplaced(Duration limit, Instant now);

  // Returns whether the task's completion is recorded, or no longer matters because the job is terminated.
  bool is_durable(const TaskId& id) const;
  bool has_no_unfinished_tasks(const JobId& id) const;
  // Returns the CPUs requested by waiting tasks of at least this priority.
  double waiting_cpus(Priority priority) const;

  // Returns the jobs whose progress has to be written to the state store, with the value to write. A job is
  // returned until the value has been read back as recorded.
  std::map<JobId, state_store::Progress> unwritten_progress();
  // Returns the progress to report to the scheduler: of the jobs that changed since the last call, and if
  // `all` is set also of all jobs with unwritten progress.
  std::vector<protocol::JobProgress> progress_report(bool all);

 private:
  void set_record(ShardJob& shard_job, const state_store::Job& job) const;
  void apply_chunk(const JobId& id, ShardJob& job, const state_store::Chunk& chunk, bool reconciled,
                   std::set<std::uint32_t>& granted_indices, Instant now);

  ShardId shard_;
  Term term_;
  std::unordered_map<JobId, ShardJob> jobs_;  // unordered, as it is searched for each task in each heartbeat
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
