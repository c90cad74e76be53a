#include "controller/peer_service.h"

#include <utility>
#include <variant>

namespace beaconsill::controller {

PeerService::PeerService(ControllerContext& ctx, MessageHandler on_message,
                         PeerHeartbeats::LedTerms led_terms)
    : on_message_(std::move(on_message)),
      links_(ctx, [this](const protocol::PeerMessage& message) { this->on_message(message); }),
      cancellations_(ctx, kReachableTimeout),
      heartbeats_(ctx, links_, cancellations_, std::move(led_terms)) {}

void PeerService::start() {
  links_.start();
  heartbeats_.start();
}

void PeerService::stop() {
  heartbeats_.stop();
  links_.stop();
}

void PeerService::on_message(const protocol::PeerMessage& message) {
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message.payload);
  if (!heartbeat) {
    on_message_(message);
    return;
  }
  heartbeats_.record_shard_leaders(message.from, *heartbeat);
  if (!heartbeat->terms.empty()) on_message_(message);
  heartbeats_.on_heartbeat(message.from, *heartbeat);
}

}  // namespace beaconsill::controller
