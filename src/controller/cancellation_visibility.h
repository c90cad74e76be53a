// When cancellations may be shown to users, and up to when all that were shown are known here.
#pragma once

#include <cstdint>
#include <optional>

#include "controller/controller_context.h"
#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"

namespace beaconsill::controller {

// Feeds shard::CancellationBarrier with what the watch cache holds and with the heartbeats of the peers. The
// peers of all calls are those of the settings. Throws nothing; one thread.
class CancellationVisibility {
 public:
  // `contact_timeout`: a peer that has echoed no heartbeat for so long is granted no read lease.
  CancellationVisibility(ControllerContext& ctx, Duration contact_timeout);

  // Whether a user may be notified that the job, whose end is known here, is cancelled. If so, the caller
  // notifies in the same callback; if not, the peers are being asked to acknowledge it, and a retry of the
  // request will succeed.
  bool may_reveal(const JobId& id);
  // All cancellations that users were notified of before this time are known here: by the state store, or by
  // what every peer has sent.
  std::optional<Instant> known_until() const;

  // Whether a job of the changed ones is cancelled.
  bool has_cancelled(const state_store::StateView::ChangeSet& changes) const;
  // Whether the peer is ready and not known to have all cancellations.
  bool lacks_cancellations(const ControllerName& peer) const {
    return barrier_.lacks_cancellations(peer, known());
  }

  // The highest revision of a cancellation that this controller may have acknowledged to a user, for peers of
  // earlier versions.
  Revision acknowledged_until();
  // What the heartbeat of this number to the peer has to carry. It counts as sent from now on.
  protocol::CancellationSync outgoing(const ControllerName& peer, std::uint64_t sequence) {
    return barrier_.prepare_sync(peer, sequence, known(), ctx_.now());
  }
  using NextHeartbeat = shard::CancellationBarrier::NextHeartbeat;
  // A heartbeat received: its cancellations are applied to the view. Says when the next one has to be sent
  // back.
  NextHeartbeat on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& heartbeat);

  // When the newest heartbeat was sent that the peer has echoed.
  std::optional<Instant> echoed(const ControllerName& peer) const {
    return barrier_.last_echoed_sent_at(peer);
  }
  // Number of the last heartbeat received, to be echoed.
  std::uint64_t received(const ControllerName& peer) const { return barrier_.last_received_sequence(peer); }
  // When the oldest heartbeat was sent that may still be echoed; none if there is none.
  std::optional<Instant> oldest_sent(const ControllerName& peer) const {
    return barrier_.oldest_awaited_sent_at(peer);
  }
  // Forgets which heartbeats were sent, for a new connection: their echoes no longer count.
  void forget_sent(const ControllerName& peer) { barrier_.discard_sent_heartbeats(peer); }

 private:
  shard::CancellationBarrier::LocalView known() const;

  ControllerContext& ctx_;
  shard::CancellationBarrier barrier_;
  std::optional<Revision> acknowledged_until_;  // none until everything was read
};

}  // namespace beaconsill::controller
