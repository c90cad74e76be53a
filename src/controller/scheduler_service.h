// Runs the leader's work: passes events to the scheduler's state machine and performs its decisions.
#pragma once

#include <map>
#include <set>

#include "controller/autoscaler_service.h"
#include "controller/controller_context.h"
#include "controller/garbage_collector.h"
#include "controller/grant_writer.h"
#include "controller/leadership.h"
#include "controller/peer_service.h"
#include "controller/round_driver.h"
#include "controller/shard_service.h"
#include "controller/terminal_record_writer.h"
#include "controller/timers.h"
#include "controller/version_recorder.h"

namespace beaconsill::controller {

// Owns the leader's components; the context, the PeerService and the ShardService belong to the Controller.
// While another controller is the leader, summaries of shards are stored and all other events are
// ignored. Requests that fail are logged and repeated at the next tick. Doesn't throw; runs on the event
// loop's single thread.
class SchedulerService {
 public:
  SchedulerService(ControllerContext& ctx, PeerService& peers, ShardService& shards);
  void start();
  void stop();

  // Called when this controller has become the leader under `term`.
  void become_leader(Term term);
  // Called when this controller is no longer the leader.
  void step_down();
  bool is_leader() const { return leadership_.is_leader(); }

  void on_view(const state_store::StateView::ChangeSet& changes);
  // Called for messages from shard leaders, including this controller's own shards.
  void on_estimate_response(const protocol::EstimateResponse& response);
  void on_progress_report(const protocol::ProgressReport& report);
  void on_summary(const protocol::Summary& summary);
  void on_catalogue();

 private:
  void schedule_run();
  void run();
  void refresh_jobs(const std::set<JobId>& jobs);
  void refresh_job(const JobId& id);

  ControllerContext& ctx_;
  Leadership leadership_;
  GrantWriter grant_writer_;
  RoundDriver round_driver_;
  TerminalRecordWriter terminal_record_writer_;
  VersionRecorder version_recorder_;
  AutoscalerService autoscaler_;
  GarbageCollector garbage_collector_;
  PeriodicTimer run_timer_;
  OneShotTimer early_run_timer_;
  std::map<ShardId, protocol::Summary> summaries_;  // also updated while another controller is the leader
};

}  // namespace beaconsill::controller
