// Tracks whether this controller is the leader, and owns the scheduler's state machine while it is.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "controller/controller_context.h"
#include "scheduler/scheduler.h"

namespace beaconsill::controller {

// Owned by the SchedulerService and shared by its components. Before the leader may write anything, it has to
// read everything that earlier leaders wrote. The grants that were written last may not be in the view yet,
// and without them the ledger of the teams' usage would allow a team more than its quota. Doesn't throw; runs
// on the event loop's single thread.
class Leadership {
 public:
  explicit Leadership(ControllerContext& ctx) : ctx_(ctx) {}

  void begin_term(Term term);
  void end_term() { scheduler_.reset(); }
  // After this, callbacks of pending reads have no effect.
  void stop() { stopped_ = true; }

  bool is_leader() const { return scheduler_ != nullptr; }
  // Whether this controller is the leader under `term`. A callback passes the term of its request to find out
  // whether its result is still wanted.
  bool is_leader_under(Term term) const { return is_leader() && term == term_; }
  Term term() const { return term_; }
  // Must be called only while is_leader() is true.
  scheduler::Scheduler& scheduler() const { return *scheduler_; }

  // Completes the ledger by reading everything that earlier leaders wrote, unless that was done in this term
  // or is pending. Calls `on_read` after a successful read.
  void read_ledger(std::function<void()> on_read);
  // Returns the condition that each transaction of the leader must contain, so that it is applied only while
  // this controller is the leader. Returns std::nullopt if this controller isn't the leader according to the
  // view, or hasn't read the ledger.
  std::optional<protocol::Condition> leader_role_condition() const;
  // The terms of all shards that have a leader according to the view.
  scheduler::ShardTerms shard_terms() const;
  // The maximum number of jobs that one transaction may change.
  std::size_t max_changes_per_txn() const;

 private:
  ControllerContext& ctx_;
  Term term_;
  std::unique_ptr<scheduler::Scheduler> scheduler_;
  bool ledger_read_ = false;
  bool ledger_read_pending_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
