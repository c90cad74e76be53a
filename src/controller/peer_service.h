// Links to the other controllers: heartbeats, messages, and what the peers have shown of themselves.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "controller/controller_context.h"
#include "controller/timers.h"
#include "net/peer_link.h"
#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"

namespace beaconsill::controller {

// Owns the links. Messages may be lost; nothing is thrown, except by start() if the address can't be bound
// (std::system_error). One thread.
class PeerService {
 public:
  using MessageHandler = std::function<void(const protocol::PeerMessage&)>;
  using LedTerms = std::function<std::vector<protocol::ShardTerm>()>;
  // A controller that leads a shard, as it says in its heartbeats.
  struct ShardLeader {
    ControllerName controller;
    Term term;
  };

  // `on_message` gets every message but heartbeats that name no shard. `led_terms`: the shards that this
  // controller leads, for its heartbeats.
  PeerService(ControllerContext& ctx, MessageHandler on_message, LedTerms led_terms);
  void start();
  void stop();

  void send(const ControllerName& to, protocol::PeerPayload body);
  void broadcast(const protocol::PeerPayload& body);
  // Whether the controller has answered a recent heartbeat; this controller itself always has.
  bool reachable(const ControllerName& controller) const;
  // Some reachable peer says that the state store answers it.
  bool others_reach_state_store() const;
  // The controller under the highest term that any peer has advertised for the shard.
  std::optional<ShardLeader> shard_leader(ShardId shard) const;

  // Cancellations that have become known here are sent to the peers that may lack them.
  void on_view(const state_store::StateView::ChangeSet& changes);
  // Whether a user may be notified that the job, whose end is known here, is cancelled. If so, the caller
  // notifies in the same callback; if not, the peers are being asked to acknowledge it, and a retry of the
  // request will succeed.
  bool may_reveal_cancellation(const JobId& id);
  // All cancellations that users were notified of before this time are known here: by the state store, or by
  // what every peer has sent.
  Instant cancellations_known_until() const;

 private:
  struct Peer {
    std::shared_ptr<net::PeerSender> link;
    bool reaches_state_store = false;
    bool heartbeat_due = false;  // without waiting for the period
  };

  void send_heartbeats();
  void schedule_heartbeat(Peer& peer);
  void send_due_heartbeats();
  protocol::Heartbeat make_heartbeat();
  void send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat);
  void reset_if_unanswered(const ControllerName& name, Peer& peer);

  void on_bytes(std::string_view bytes);
  void on_heartbeat(const protocol::PeerMessage& message, const protocol::Heartbeat& heartbeat);
  void note_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat);

  shard::CancellationBarrier::Known known_cancellations() const;
  // The highest revision of a cancellation that this controller may have acknowledged to a user, for peers of
  // earlier versions.
  Revision acknowledged_until();

  ControllerContext& ctx_;
  MessageHandler on_message_;
  LedTerms led_terms_;
  PeriodicTimer heartbeat_timer_;
  OneShotTimer due_heartbeats_timer_;
  Instant last_due_heartbeats_{};
  std::map<ControllerName, Peer> peers_;
  std::shared_ptr<net::PeerReceiver> receiver_;
  std::uint64_t sequence_;  // of the last heartbeat sent
  shard::CancellationBarrier cancellation_barrier_;
  std::optional<Revision> acknowledged_until_;  // none until everything was read
  std::map<ShardId, ShardLeader> shard_leaders_;
};

}  // namespace beaconsill::controller
