// Writes the terminal records of jobs, which tell whether a job was completed or cancelled, to the state
// store.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "controller/leadership.h"
#include "controller/peer_messenger.h"

namespace beaconsill::controller {

// Part of the SchedulerService, which calls the write functions on its timer. The scheduler lists the
// completed jobs and the view lists the cancelled dependents. A job stays listed until its record is written,
// so a failed write is repeated after a delay. Doesn't throw; runs on the event loop's single thread.
class TerminalRecordWriter {
 public:
  TerminalRecordWriter(ControllerContext& ctx, PeerMessenger& messenger, Leadership& leadership)
      : ctx_(ctx), messenger_(messenger), leadership_(leadership) {}

  // Writes the records of jobs whose tasks are all done.
  void write_completed();
  // Writes the records of jobs that are cancelled because a job they depend on was cancelled. Without a
  // record of its own, a job's other keys can't be garbage-collected.
  void write_cancelled_dependents();
  // Called when this controller is no longer the leader.
  void reset() { in_progress_.clear(); }

 private:
  void write(const std::vector<JobId>& ids, state_store::TerminalState terminal_state,
             state_store::Urgency urgency);
  protocol::Txn build_txn(const std::vector<JobId>& ids, state_store::TerminalState terminal_state,
                          const protocol::Condition& leader) const;
  void remove_in_progress(const std::vector<JobId>& ids);
  void log_if_late(const JobId& id, const state_store::Job& job) const;
  bool retry_delayed() const { return retry_at_ && ctx_.now() < *retry_at_; }

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  Leadership& leadership_;
  std::set<JobId> in_progress_;  // jobs whose record is part of a pending transaction
  std::optional<Instant> retry_at_;
};

}  // namespace beaconsill::controller
