// Heartbeats between the controllers.
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

// Sends a heartbeat to each peer periodically, and at once where cancellations have to get there; keeps what
// the heartbeats of the peers show. Throws nothing; one thread.
class PeerHeartbeats : public PeerStatus {
 public:
  using LedTerms = std::function<std::vector<protocol::ShardTerm>()>;

  // `led_terms`: the shards that this controller leads, for its heartbeats.
  PeerHeartbeats(ControllerContext& ctx, PeerConnections& connections, CancellationVisibility& cancellations,
                 LedTerms led_terms);
  // Sends the first heartbeats within this call.
  void start();
  void stop();

  bool reachable(const ControllerName& controller) const override;
  bool others_reach_state_store() const override;
  std::optional<AdvertisedLeader> shard_leader(ShardId shard) const override;

  // What a peer's heartbeat shows; first which shards the peer leads, then the rest.
  void note_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat);
  void on_heartbeat(const ControllerName& from, const protocol::Heartbeat& heartbeat);
  // Cancellations that have become known here are sent to the peers that may lack them.
  void on_view(const state_store::StateView::ChangeSet& changes);

 private:
  struct Peer {
    bool reaches_state_store = false;
    bool heartbeat_due = false;  // without waiting for the period
  };

  void send_heartbeats();
  void schedule_heartbeat(Peer& peer);
  void send_due_heartbeats();
  protocol::Heartbeat make_heartbeat();
  void send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat);
  void reset_if_unanswered(const ControllerName& name);

  ControllerContext& ctx_;
  PeerConnections& connections_;
  CancellationVisibility& cancellations_;
  LedTerms led_terms_;
  PeriodicTimer heartbeat_timer_;
  OneShotTimer due_heartbeats_timer_;
  std::optional<Instant> last_due_heartbeats_;
  std::map<ControllerName, Peer> peers_;
  std::uint64_t sequence_;  // of the last heartbeat sent
  std::map<ShardId, AdvertisedLeader> shard_leaders_;
};

}  // namespace beaconsill::controller
