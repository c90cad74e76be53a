// The connections to the other controllers, and the messages that come and go over them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "net/peer_link.h"

namespace beaconsill::controller {

// Owns a link to each peer and the receiver for all of them. Messages that can't be decoded, or that name an
// unknown controller as their sender, are logged and dropped. Nothing is thrown, except by start() if the
// address can't be bound (std::system_error). One thread.
class PeerLinks : public PeerConnections {
 public:
  using MessageHandler = std::function<void(const protocol::PeerMessage&)>;

  PeerLinks(ControllerContext& ctx, MessageHandler on_message);
  // Listens, and connects to all peers.
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
