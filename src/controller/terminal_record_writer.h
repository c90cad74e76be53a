// Records how jobs ended.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "controller/leadership.h"
#include "controller/peer_messenger.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls the writers on its timer. What isn't written stays in the
// scheduler's or the view's list, and is tried again after a delay. Throws nothing; one thread.
class TerminalRecordWriter {
 public:
  TerminalRecordWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership)
      : ctx_(ctx), messenger_(messenger), leadership_(leadership) {}

  // Jobs all of whose tasks are done.
  void write_completed();
  // Jobs that are cancelled through jobs that they depend on: each gets a record of its own, so that the
  // records of the others can be garbage-collected in time.
  void write_cancelled_dependents();
  // This controller is no longer the leader.
  void reset() { in_progress_.clear(); }

 private:
  void write(const std::vector<JobId>& ids, state_store::TerminalState end, state_store::Urgency urgency);
  protocol::Txn build_txn(const std::vector<JobId>& ids, state_store::TerminalState end,
                          const protocol::Condition& leader) const;
  void finish(const std::vector<JobId>& ids);
  void log_if_late(const JobId& id, const state_store::Job& job) const;
  bool retry_delayed() const { return retry_at_ && ctx_.now() < *retry_at_; }

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  Leadership& leadership_;
  std::set<JobId> in_progress_;  // a transaction with their records is under way
  std::optional<Instant> retry_at_;
};

}  // namespace beaconsill::controller
