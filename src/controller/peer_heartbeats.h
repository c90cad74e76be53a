// Exchanges heartbeats with the other controllers and tracks the status that they report.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "controller/cancellation_visibility.h"
#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "controller/peer_status.h"
#include "controller/timers.h"
#include "protocol/peer.h"

namespace beaconsill::controller {

// Sends a heartbeat to each peer periodically, and an immediate one to a peer that needs cancellations.
// Tracks which peers are reachable, and which shards they lead and whether they reach the state store
// according to their heartbeats. Methods don't throw. Single-threaded.
class PeerHeartbeats : public PeerStatus {
 public:
  using LedTerms = std::function<std::vector<protocol::ShardTerm>()>;

  // `led_terms` returns the shards that this controller leads, with their terms, for its heartbeats.
  PeerHeartbeats(ControllerContext& ctx, PeerConnections& connections, CancellationVisibility& cancellations,
                 LedTerms led_terms);
  // Sends the first heartbeats within this call.
  void start();
  void stop();

  bool reachable(const ControllerName& controller) const override;
  bool any_peer_reaches_state_store() const override;
  std::optional<AdvertisedLeader> shard_leader(ShardId shard) const override;

  // Records which shards the peer leads according to its heartbeat. Must be called before on_heartbeat().
  void record_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat);
  // Processes the rest of the peer's heartbeat.
  void on_heartbeat(const ControllerName& from, const protocol::Heartbeat& heartbeat);
  // Must be called after the view has changed. Sends new cancellations to the peers that may not have them.
  void on_view(const state_store::StateView::ChangeSet& changes);

 private:
  struct Peer {
    bool reaches_state_store = false;
    bool immediate_heartbeat_scheduled = false;  // to be sent without waiting for the period
  };

  void send_heartbeats();
  void schedule_immediate_heartbeat(Peer& peer);
  void send_immediate_heartbeats();
  protocol::Heartbeat make_heartbeat();
  void send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat);
  void reset_if_unanswered(const ControllerName& name);

  ControllerContext& ctx_;
  PeerConnections& connections_;
  CancellationVisibility& cancellations_;
  LedTerms led_terms_;
  PeriodicTimer heartbeat_timer_;
  OneShotTimer immediate_heartbeat_timer_;
  std::optional<Instant> last_immediate_heartbeats_at_;
  std::map<ControllerName, Peer> peers_;
  std::uint64_t sequence_;  // of the last heartbeat sent
  std::map<ShardId, AdvertisedLeader> shard_leaders_;
};

}  // namespace beaconsill::controller
