// Interfaces for sending messages to the other controllers. They let tests run components without sockets.
#pragma once

#include "protocol/peer.h"

namespace beaconsill::controller {

// Messages may be lost, duplicated or delayed. Methods don't throw. Single-threaded.
class PeerMessenger {
 public:
  virtual ~PeerMessenger() = default;
  // Does nothing if `receiver` isn't a peer of this controller.
  virtual void send(const ControllerName& receiver, protocol::PeerPayload payload) = 0;
  // Sends the message to all peers.
  virtual void broadcast(const protocol::PeerPayload& payload) = 0;
};

// Adds control over the connections that carry the messages. The `peer` arguments must be peers of this
// controller.
class PeerConnections : public PeerMessenger {
 public:
  // Whether there is an open connection to the peer.
  virtual bool connected(const ControllerName& peer) const = 0;
  // Closes the connection to the peer, discards all queued messages, and connects again.
  virtual void reset(const ControllerName& peer) = 0;
};

}  // namespace beaconsill::controller
