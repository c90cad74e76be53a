// Deletes the keys of jobs that are over and that nothing needs any more.
#pragma once

#include <set>

#include "controller/draft_state.h"
#include "controller/leadership.h"
#include "controller/timers.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {

// Part of the SchedulerService. How jobs ended (the terminal records) is kept for good. One transaction at a
// time, and only with writes that nothing else needs. What isn't deleted is tried again. Throws nothing; one
// thread.
class GarbageCollector {
 public:
  GarbageCollector(ControllerContext& ctx, Leadership& leadership);
  void start();
  void stop();
  // This controller is no longer the leader.
  void reset() { collecting_.clear(); }

 private:
  void run();
  // Each adds deletions to the draft, if the job's keys are to be deleted.
  DraftState delete_job_keys(const JobId& id, state_store::TxnDraft& draft);
  DraftState delete_dependency_keys(const JobId& id, const state_store::StateView::DependencyKeys& keys,
                                    state_store::TxnDraft& draft) const;

  ControllerContext& ctx_;
  Leadership& leadership_;
  PeriodicTimer timer_;
  std::set<JobId> collecting_;  // jobs whose keys the transaction under way deletes
};

}  // namespace beaconsill::controller
