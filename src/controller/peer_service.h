// Combines the components through which this controller communicates with the other controllers.
#pragma once

#include "controller/cancellation_visibility.h"
#include "controller/controller_context.h"
#include "controller/peer_heartbeats.h"
#include "controller/peer_links.h"

namespace beaconsill::controller {

// Owns the peer links, the peer heartbeats and the cancellation visibility that depends on them. Only start()
// throws: std::system_error if the listen address can't be bound. Single-threaded.
class PeerService {
 public:
  using MessageHandler = PeerLinks::MessageHandler;

  // `on_message` is called for every message except heartbeats without shard terms. `led_terms` returns the
  // shards that this controller leads, with their terms, for its heartbeats.
  PeerService(ControllerContext& ctx, MessageHandler on_message, PeerHeartbeats::LedTerms led_terms);
  void start();
  void stop();
  // Must be called after the view of the state store has changed.
  void on_view(const state_store::StateView::ChangeSet& changes) { heartbeats_.on_view(changes); }

  // Interfaces for the other components.
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
