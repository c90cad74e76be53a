// What connects this controller with the others.
#pragma once

#include "controller/cancellation_visibility.h"
#include "controller/controller_context.h"
#include "controller/peer_heartbeats.h"
#include "controller/peer_links.h"

namespace beaconsill::controller {

// Owns the links, the heartbeats and what they say of cancellations. Nothing is thrown, except by start() if
// the address can't be bound (std::system_error). One thread.
class PeerService {
 public:
  using MessageHandler = PeerLinks::MessageHandler;

  // `on_message` gets every message but heartbeats that name no shard. `led_terms`: the shards that this
  // controller leads, for its heartbeats.
  PeerService(ControllerContext& ctx, MessageHandler on_message, PeerHeartbeats::LedTerms led_terms);
  void start();
  void stop();
  void on_view(const state_store::StateView::ChangeSet& changes) { heartbeats_.on_view(changes); }

  // What its parts offer to the other components.
  PeerMessenger& messenger() { return links_; }
  const PeerStatus& status() const { return heartbeats_; }
  CancellationVisibility& cancellations() { return cancellations_; }

 private:
  void on_message(const protocol::PeerMessage& message);

  MessageHandler on_message_;
  PeerLinks links_;
  CancellationVisibility cancellations_;
  PeerHeartbeats heartbeats_;
};

}  // namespace beaconsill::controller
