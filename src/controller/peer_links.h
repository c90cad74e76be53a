// Manages the connections to the other controllers, and sends and receives messages over them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "net/peer_link.h"

namespace beaconsill::controller {

// Owns one sender for each peer and one receiver for all of them. Messages that can't be decoded, or whose
// sender is an unknown controller, are logged and dropped. Only start() throws: std::system_error if the
// listen address can't be bound. Single-threaded.
class PeerLinks : public PeerConnections {
 public:
  using MessageHandler = std::function<void(const protocol::PeerMessage&)>;

  PeerLinks(ControllerContext& ctx, MessageHandler on_message);
  // Starts listening and connects to all peers.
  void start();
  void stop();

  void send(const ControllerName& receiver, protocol::PeerPayload payload) override;
  void broadcast(const protocol::PeerPayload& payload) override;
  bool connected(const ControllerName& peer) const override { return links_.at(peer)->connected(); }
  void reset(const ControllerName& peer) override { links_.at(peer)->reset(); }

 private:
  void on_bytes(std::string_view bytes);

  ControllerContext& ctx_;
  MessageHandler on_message_;
  std::map<ControllerName, std::shared_ptr<net::PeerSender>> links_;
  std::shared_ptr<net::PeerReceiver> receiver_;  // null until start()
};

}  // namespace beaconsill::controller
