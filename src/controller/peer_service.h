// Links to the other controllers: heartbeats, and how recent what they said is.
#pragma once

#include <map>
#include <memory>

#include "controller/controller_context.h"
#include "net/peer_link.h"
#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"

namespace beaconsill::controller {

class PeerService {
 public:
  using Handler = std::function<void(const protocol::PeerMessage&)>;
  // `handler` gets everything but heartbeats that name no shard.
  // `owned`: the shards that this controller owns, for its heartbeats.
  PeerService(ControllerContext& ctx, Handler handler,
              std::function<std::vector<protocol::ShardTerm>()> owned);
  void start();
  void stop();

  void send(const ControllerName& to, protocol::PeerPayload body);
  void broadcast(const protocol::PeerPayload& body);
  // Whether the controller has answered a recent heartbeat; this controller itself always has.
  bool reachable(const ControllerName& controller) const;
  // Cancellations that have become known here go to the peers that may lack them.
  void on_view(const state_store::StateView::ChangeSet& t);
  // Whether a user may be told that the job, whose end is known here, is cancelled. If so, the caller tells
  // it in the same callback; if not, every controller is being asked and a repeat of the request will
  // succeed.
  bool may_acknowledge_cancellation(const JobId& id);
  // All cancellations that users were told of before this time are known here, by what every peer has said.
  Instant cancellations_known_until() const;
  // The owner under the highest term that any peer has claimed for the shard.
  struct Owner {
    ControllerName controller;
    Term term;
  };
  std::optional<Owner> owner(ShardId shard) const;
  // Some peer that is heard says that the state store answers it.
  bool others_reach_state_store() const;

 private:
  struct Peer {
    std::shared_ptr<net::PeerSender> link;
    bool state_ok = false;
    bool heartbeat_due = false;  // a heartbeat is due at once
  };
  void send_heartbeats();
  void schedule_heartbeat(Peer& p);
  void send_due_heartbeats();
  protocol::Heartbeat heartbeat();
  void send_heartbeat(const ControllerName& name, Peer& p, protocol::Heartbeat h);
  void on_message(std::string_view bytes);
  void on_heartbeat(const ControllerName& from, const protocol::Heartbeat& h);
  shard::CancellationBarrier::Known known() const;
  // The highest revision of a cancellation that this controller may have disclosed, for peers of earlier
  // versions.
  Revision acknowledged_until();

  ControllerContext& ctx_;
  Handler handler_;
  std::function<std::vector<protocol::ShardTerm>()> owned_;
  PeriodicTimer send_heartbeats_;
  OneShotTimer soon_;
  Instant last_unscheduled_{};
  std::map<ControllerName, Peer> peers_;
  std::shared_ptr<net::PeerReceiver> receiver_;
  std::uint64_t sequence_;
  shard::CancellationBarrier cancellation_barrier_;
  std::optional<Revision> acknowledged_until_;  // none until everything was read
  std::map<ShardId, Owner> owners_;
};

}  // namespace beaconsill::controller
