// Decides when this controller may report a cancellation to users, and tracks up to which time it knows all
// cancellations that any controller has reported to users.
#pragma once

#include <cstdint>
#include <optional>

#include "controller/controller_context.h"
#include "protocol/peer.h"
#include "shard/cancellation_barrier.h"

namespace beaconsill::controller {

// Connects shard::CancellationBarrier, which defines read leases, to the watch cache and to the heartbeats of
// the peers. Peers that are passed to methods must be in the settings. Methods don't throw. Single-threaded.
class CancellationVisibility {
 public:
  // Only a peer that has echoed a heartbeat sent within `contact_timeout` is granted a read lease.
  CancellationVisibility(ControllerContext& ctx, Duration contact_timeout);

  // Returns whether the job may be reported to a user as cancelled. The job's terminal state must be in the
  // view. If the result is true, the caller must respond to the user in the same callback. If it is false, a
  // later retry succeeds once the peers have acknowledged the cancellation, which they are asked to do.
  bool may_reveal(const JobId& id);
  // Returns a time such that this controller knows every cancellation that any controller reported to a user
  // before it, either from the state store or because every peer has sent the cancellations that it reported.
  // Returns std::nullopt if there is no such time.
  std::optional<Instant> known_until() const;

  // Returns whether any of the changed jobs is cancelled.
  bool contains_cancellation(const state_store::StateView::ChangeSet& changes) const;
  // Returns whether the peer has completed its initial read but may lack cancellations that are known here.
  bool lacks_cancellations(const ControllerName& peer) const {
    return barrier_.lacks_cancellations(peer, local_view());
  }

  // Returns the highest revision of a cancellation that this controller may have reported to a user, or the
  // maximum value before the initial read of the state store. Only peers that run earlier versions use it.
  Revision acknowledged_until();
  // Returns the cancellations and the read lease that the heartbeat with this sequence number must carry to
  // the peer. The heartbeat counts as sent, and the read lease as granted, from this call on.
  protocol::CancellationSync prepare_sync(const ControllerName& peer, std::uint64_t sequence) {
    return barrier_.prepare_sync(peer, sequence, local_view(), ctx_.now());
  }
  using NextHeartbeat = shard::CancellationBarrier::NextHeartbeat;
  // Processes a heartbeat that was received from the peer and applies its cancellations to the view. Returns
  // when the next heartbeat must be sent to the peer.
  NextHeartbeat on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& heartbeat);

  // Returns when the newest heartbeat that the peer has echoed was sent, or std::nullopt if the peer has
  // echoed none.
  std::optional<Instant> last_echoed_sent_at(const ControllerName& peer) const {
    return barrier_.last_echoed_sent_at(peer);
  }
  // Returns the sequence number of the last heartbeat received from the peer, which the next heartbeat to the
  // peer echoes.
  std::uint64_t last_received_sequence(const ControllerName& peer) const {
    return barrier_.last_received_sequence(peer);
  }
  // Returns when the oldest heartbeat that may still be echoed was sent, or std::nullopt if there is none.
  std::optional<Instant> oldest_awaited_sent_at(const ControllerName& peer) const {
    return barrier_.oldest_awaited_sent_at(peer);
  }
  // Discards the record of sent heartbeats because a new connection is opened: their echoes no longer count.
  void discard_sent_heartbeats(const ControllerName& peer) { barrier_.discard_sent_heartbeats(peer); }

 private:
  shard::CancellationBarrier::LocalView local_view() const;

  ControllerContext& ctx_;
  shard::CancellationBarrier barrier_;
  // std::nullopt until acknowledged_until() or may_reveal() first uses it after the initial read of the state
  // store.
  std::optional<Revision> acknowledged_until_;
};

}  // namespace beaconsill::controller
