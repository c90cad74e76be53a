// Deletes the state store keys of terminated jobs once no other component needs them.
#pragma once

#include <set>

#include "controller/draft_state.h"
#include "controller/leadership.h"
#include "controller/timers.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {

// Part of the SchedulerService. Terminal records, which say how jobs ended, are never deleted. Sends one
// transaction at a time, and only while the rate limit leaves spare writes. Keys that a failed transaction
// didn't delete are retried in a later run. Methods don't throw. Single-threaded.
class GarbageCollector {
 public:
  GarbageCollector(ControllerContext& ctx, Leadership& leadership);
  void start();
  void stop();
  // Must be called when this controller is no longer the leader.
  void reset() { jobs_being_deleted_.clear(); }

 private:
  void run();
  // Both functions add deletions to the draft if the job's keys are to be deleted. kFull means that
  // the draft has no space left and the remaining jobs have to wait for a later transaction.
  DraftState delete_job_keys(const JobId& id, state_store::TxnDraft& draft);
  DraftState delete_dependency_keys(const JobId& id, const state_store::StateView::DependencyKeys& keys,
                                    state_store::TxnDraft& draft) const;

  ControllerContext& ctx_;
  Leadership& leadership_;
  PeriodicTimer timer_;
  std::set<JobId> jobs_being_deleted_;  // by the transaction in flight
};

}  // namespace beaconsill::controller
