// Runs the work of a shard leader: responds to the workers of the led shards and performs the decisions of
// the shards' state machines.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "controller/command_sender.h"
#include "controller/controller_context.h"
#include "controller/heartbeat_endpoint.h"
#include "controller/leader_notifier.h"
#include "controller/led_shards.h"
#include "controller/peer_service.h"
#include "controller/progress_writer.h"
#include "controller/registry_sync.h"
#include "controller/timers.h"

namespace beaconsill::controller {

// Owns the shards that this controller leads and the components that handle them. The context and the
// PeerService belong to the Controller. Requests that fail are logged and repeated. Doesn't throw; runs on
// the event loop's single thread.
class ShardService {
 public:
  // `notify_leader` sends the leader a report on the progress of granted tasks. Reports may be lost.
  ShardService(ControllerContext& ctx, PeerService& peers, LeaderNotifier::Send notify_leader);
  void start();
  void stop();

  // Called when this controller has become the leader of the shard under `term`.
  void acquire_shard(ShardId id, Term term);
  // Called when this controller is no longer the leader of the shard.
  void release_shard(ShardId id);
  // Called with the terms under which a peer leads shards. A term higher than this controller's own
  // supersedes it, even while the state store can't be read.
  void on_peer_terms(const std::vector<protocol::ShardTerm>& terms);
  // The shards that this controller leads, except those for which it knows of a higher term.
  std::vector<protocol::ShardTerm> led_terms() const;
  bool leads(ShardId id) const { return shards_.contains(id); }
  // Whether the shard is reconciled and all of its machines are reachable.
  bool is_stable(ShardId id) const;

  // Handles heartbeats from workers, both direct and relayed by other controllers.
  HeartbeatEndpoint& heartbeats() { return heartbeats_; }
  void on_view(const state_store::StateView::ChangeSet& changes);
  void on_catalogue();
  // Calls `respond` once for each led shard before it returns.
  void on_estimate_request(const protocol::EstimateRequest& request,
                           const std::function<void(protocol::EstimateResponse)>& respond);
  // Called when the cloud has deleted these machines.
  void on_machines_terminated(const std::vector<MachineName>& machines);
  // Called when the leader no longer needs these machines.
  void on_release_machines(const std::vector<MachineName>& machines);
  // Returns the summaries of the led shards, which are sent to all controllers.
  std::vector<protocol::Summary> summaries() const;
  // Returns the number of the job's tasks that are running on machines of led shards.
  std::uint32_t count_running_tasks(const JobId& id) const;

 private:
  void schedule_run();
  void run();
  void run_periodic();
  void notify_of_process_pause();
  void delete_machines(ShardId id, LedShard& shard);

  ControllerContext& ctx_;
  PeerService& peers_;
  LedShards shards_;
  RegistrySync registry_sync_;
  ProgressWriter progress_writer_;
  LeaderNotifier leader_notifier_;
  CommandSender command_sender_;
  HeartbeatEndpoint heartbeats_;
  PeriodicTimer run_timer_;
  OneShotTimer early_run_timer_;
  std::optional<Instant> notified_pause_end_;  // of the last pause that the shards were notified of
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
