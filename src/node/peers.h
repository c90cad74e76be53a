// Links to the other controllers: heartbeats, and how recent what they said is.
#pragma once

#include <map>
#include <memory>

#include "net/peer_link.h"
#include "node/context.h"
#include "part/cancellation_disclosure.h"
#include "wire/peer.h"

namespace beaconsill::node {

class PeersDuty {
 public:
  using Handler = std::function<void(const wire::PeerMessage&)>;
  // `handler` gets everything but heartbeats that name no part.
  // `owned`: the parts that this node owns, for its heartbeats.
  PeersDuty(Context& ctx, Handler handler, std::function<std::vector<wire::PartTerm>()> owned);
  void start();
  void stop();

  void send(const NodeName& to, wire::PeerBody body);
  void broadcast(const wire::PeerBody& body);
  // Whether the node has answered a recent heartbeat; this node itself always has.
  bool reachable(const NodeName& node) const;
  // Cancellations that have become known here go to the peers that may lack them.
  void on_view(const store::View::Touched& t);
  // Whether a user may be told that the job, whose end is known here, is cancelled. If so, the caller tells
  // it in the same callback; if not, every controller is being asked and a repeat of the request will
  // succeed.
  bool disclose(const JobId& id);
  // All cancellations that users were told of before this time are known here, by what every peer has said.
  Instant cancellations_known_until() const;
  // The owner under the highest term that any peer has claimed for the part.
  struct Owner {
    NodeName node;
    Term term;
  };
  std::optional<Owner> owner(PartId part) const;
  // Some peer that is heard says that the state service answers it.
  bool state_answers_others() const;

 private:
  struct Peer {
    std::shared_ptr<net::PeerSender> link;
    bool state_ok = false;
    bool hurry = false;  // a heartbeat is due at once
  };
  void beat();
  void hurry(Peer& p);
  void beat_hurried();
  wire::Heartbeat heartbeat();
  void send_heartbeat(const NodeName& name, Peer& p, wire::Heartbeat h);
  void on_message(std::string_view bytes);
  void on_heartbeat(const NodeName& from, const wire::Heartbeat& h);
  part::CancellationDisclosure::Known known() const;
  // The highest revision of a cancellation that this node may have disclosed, for peers of earlier versions.
  Revision disclosed_until();

  Context& ctx_;
  Handler handler_;
  std::function<std::vector<wire::PartTerm>()> owned_;
  Repeater beat_;
  Alarm soon_;
  Instant hurried_{};
  std::map<NodeName, Peer> peers_;
  std::shared_ptr<net::PeerReceiver> receiver_;
  std::uint64_t sequence_;
  part::CancellationDisclosure disclosure_;
  std::optional<Revision> disclosed_;  // none until everything was read
  std::map<PartId, Owner> owners_;
};

}  // namespace beaconsill::node
