// What a shard leader does: answers the workers of its shards and carries out what the shards' state machines
// decide.
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

// Owns the shards that this controller leads and the components that work for them; the context and the
// PeerService belong to the Controller. Requests that fail are logged and repeated; nothing is thrown. One
// thread.
class ShardService {
 public:
  // `notify_leader` delivers to the leader what became of granted tasks, or loses it.
  ShardService(ControllerContext& ctx, PeerService& peers, LeaderNotifier::Send notify_leader);
  void start();
  void stop();

  // This controller leads the shard under `term`, or no longer.
  void acquire_shard(ShardId id, Term term);
  void release_shard(ShardId id);
  // The terms under which a peer leads shards: a higher one ends this controller's term, also when the state
  // store can't be read.
  void on_terms(const std::vector<protocol::ShardTerm>& terms);
  // The shards led, without those of which a higher term is known.
  std::vector<protocol::ShardTerm> led_terms() const;
  bool leads(ShardId id) const { return shards_.contains(id); }
  // No machine of the shard is suspected or lost at present.
  bool is_stable(ShardId id) const;

  // Workers' heartbeats and their relays.
  HeartbeatEndpoint& heartbeats() { return heartbeats_; }
  void on_view(const state_store::StateView::ChangeSet& changes);
  void on_catalogue();
  // Calls `respond` for each led shard, within this call.
  void on_estimate_request(const protocol::EstimateRequest& request,
                           const std::function<void(protocol::EstimateResponse)>& respond);
  // The cloud has deleted these machines.
  void on_machines_terminated(const std::vector<MachineName>& machines);
  // The leader has no use for these machines.
  void on_release(const std::vector<MachineName>& machines);
  // What the led shards report to the leader.
  std::vector<protocol::Summary> summaries() const;
  // Tasks of the job that run on machines of led shards.
  std::uint32_t running(const JobId& id) const;

 private:
  void schedule_run();
  void run();
  void run_periodic();
  void check_process_pause();
  void delete_machines(ShardId id, LedShard& shard);

  ControllerContext& ctx_;
  PeerService& peers_;
  LedShards shards_;
  RegistrySync registry_;
  ProgressWriter progress_;
  LeaderNotifier leader_notifier_;
  CommandSender commands_;
  HeartbeatEndpoint heartbeats_;
  PeriodicTimer run_timer_;
  OneShotTimer early_run_timer_;
  std::optional<Instant> last_pause_;  // the last one that the shards were notified of
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
