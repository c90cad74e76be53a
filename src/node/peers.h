// Links to the other controllers: heartbeats, and how recent what they said is.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "net/peer_link.h"
#include "node/context.h"
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
  // A user was told of a cancellation at this revision.
  void told(Revision r) { told_ = std::max(told_, r); }
  // All cancellations told to users before this time are known here, by the word of every other node.
  Instant word() const;
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
    std::deque<std::pair<std::uint64_t, Instant>> sent;  // heartbeats not yet echoed
    std::uint64_t last_sequence = 0;                     // of theirs, echoed back
    Instant echoed{};                                    // what the peer last said, it said after this time
    Revision told{UINT64_MAX};
    bool state_ok = false;
  };
  void beat();
  void on_message(std::string_view bytes);

  Context& ctx_;
  Handler handler_;
  std::function<std::vector<wire::PartTerm>()> owned_;
  Repeater beat_;
  std::map<NodeName, Peer> peers_;
  std::shared_ptr<net::PeerReceiver> receiver_;
  std::uint64_t sequence_;
  Revision told_;
  std::map<PartId, Owner> owners_;
};

}  // namespace beaconsill::node
