#include "controller/peer_links.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
// Share of the controller's memory that messages queued for all peers together may take if the peers stall.
// It is relative to the memory because both the size of summaries and the memory that a controller needs grow
// with the number of machines.
constexpr double kQueueShareOfMemory = 1.0 / 16;
constexpr double kBytesPerMegabyte = 1024 * 1024;

// Limits on accepted connections. A peer that reconnects may leave earlier connections that aren't closed
// yet.
constexpr std::size_t kMaxConnectionsPerPeer = 4;
constexpr std::size_t kSpareConnections = 4;

std::size_t max_queued_bytes(const config::Settings& settings) {
  auto bytes = settings.memory_mb * kBytesPerMegabyte * kQueueShareOfMemory;
  return static_cast<std::size_t>(bytes /
                                  static_cast<double>(std::max<std::size_t>(1, settings.peers.size())));
}
}  // namespace

PeerLinks::PeerLinks(ControllerContext& ctx, MessageHandler on_message)
    : ctx_(ctx), on_message_(std::move(on_message)) {
  for (const auto& peer : ctx.settings.peers)
    links_[peer.controller] = std::make_shared<net::PeerSender>(
        ctx.io_context, *net::parse_endpoint(peer.address), max_queued_bytes(ctx.settings));
}

void PeerLinks::start() {
  auto max_connections = kMaxConnectionsPerPeer * links_.size() + kSpareConnections;
  receiver_ = std::make_shared<net::PeerReceiver>(
      ctx_.io_context, *net::parse_endpoint(ctx_.settings.peer_listen_address), max_connections,
      [this](std::string_view bytes) { on_bytes(bytes); });
  receiver_->start();
  for (auto& [name, link] : links_) link->start();
}

void PeerLinks::stop() {
  if (receiver_) receiver_->stop();
  for (auto& [name, link] : links_) link->stop();
}

void PeerLinks::send(const ControllerName& receiver, protocol::PeerPayload payload) {
  auto it = links_.find(receiver);
  if (it == links_.end()) return;
  it->second->send(protocol::encode_peer({ctx_.settings.controller, std::move(payload)}));
}

void PeerLinks::broadcast(const protocol::PeerPayload& payload) {
  auto bytes = protocol::encode_peer({ctx_.settings.controller, payload});
  for (auto& [name, link] : links_) link->send(bytes);
}

void PeerLinks::on_bytes(std::string_view bytes) {
  auto message = protocol::decode_peer(bytes);
  if (!message || !links_.contains(message->from)) {
    spdlog::info("peer_message_dropped reason=malformed_or_unknown_controller");
    return;
  }
  on_message_(*message);
}

}  // namespace beaconsill::controller
