// Sending messages to the other controllers, as interfaces: components run in tests without sockets.
#pragma once

#include "protocol/peer.h"

namespace beaconsill::controller {

// Messages may be lost, repeated or delayed. Throws nothing; one thread.
class PeerMessenger {
 public:
  virtual ~PeerMessenger() = default;
  // Does nothing if `to` isn't a peer of this controller.
  virtual void send(const ControllerName& receiver, protocol::PeerPayload payload) = 0;
  // Sends the message to all peers.
  virtual void broadcast(const protocol::PeerPayload& payload) = 0;
};

// The connections below the messages. The controller of a call has to be a peer.
class PeerConnections : public PeerMessenger {
 public:
  // Whether there is an open connection to the peer.
  virtual bool connected(const ControllerName& peer) const = 0;
  // Drops the connection to the peer with all that is queued, and connects again.
  virtual void reset(const ControllerName& peer) = 0;
};

}  // namespace beaconsill::controller
