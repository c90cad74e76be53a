// Whether this controller is the leader, and the scheduler's state machine while it is.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "controller/controller_context.h"
#include "scheduler/scheduler.h"

namespace beaconsill::controller {

// Shared by the components of the SchedulerService, which owns it. Before the leader may write anything it
// has to read everything that earlier leaders wrote: the grants that were written last may not be in the view
// yet, and without them the ledger would allow more than a team's quota. Throws nothing; one thread.
class Leadership {
 public:
  explicit Leadership(ControllerContext& ctx) : ctx_(ctx) {}

  void begin_term(Term term);
  void end_term() { scheduler_.reset(); }
  // No callback of a read under way takes effect any more.
  void stop() { stopped_ = true; }

  bool is_leader() const { return scheduler_ != nullptr; }
  // This controller is the leader, and still under `term`: callbacks compare with the term of their request.
  bool is_leader_under(Term term) const { return is_leader() && term == term_; }
  Term term() const { return term_; }
  // Only while is_leader().
  scheduler::Scheduler& scheduler() const { return *scheduler_; }

  // Reads the ledger unless that was done or is under way; `on_read` is called once it was read.
  void read_ledger(std::function<void()> on_read);
  // The condition that each transaction of the leader carries, so that it is applied only while this
  // controller is the leader. None: it isn't the leader, as far as the view shows, or hasn't read the ledger.
  std::optional<protocol::Condition> still_leader() const;
  // The terms of all shards that have a leader, as the view shows them.
  scheduler::ShardTerms shard_terms() const;
  // The number of jobs that one transaction may change.
  std::size_t max_changes_per_txn() const;

 private:
  ControllerContext& ctx_;
  Term term_;
  std::unique_ptr<scheduler::Scheduler> scheduler_;
  bool ledger_read_ = false;
  bool reading_ledger_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
