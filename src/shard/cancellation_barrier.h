// The cancellation visibility barrier. It decides when a controller may acknowledge to a user that a job is
// cancelled, and up to which time a shard leader knows all cancellations that any controller has
// acknowledged, even while the state store is unavailable.
//
// Heartbeats between controllers carry the cancellations that the receiver may lack. They also grant the
// receiver a read lease: until it expires, the sender acknowledges no cancellation to users before the
// receiver has it. docs/design.md ("Cancellations") explains why this is correct. This component uses no
// sockets and no clock: the caller passes times of this controller's steady clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::shard {

// Tracks the cancellation state of each peer controller. All methods require a peer name that was passed to
// the constructor.
class CancellationBarrier {
 public:
  struct Params {
    // Duration of a read lease.
    Duration read_lease{};
    // A peer is granted no read lease if it has echoed no heartbeat that was sent within this time.
    Duration contact_timeout{};
    // Maximum number of cancellations in one heartbeat.
    std::size_t max_listed = 128;
  };
  // Returns a quarter of the time between the expiry of a worker's lease (`lease`) and the time by which a
  // cancelled task must have ended (`cancel_limit`).
  static Duration read_lease_for(Duration cancel_limit, Duration lease) { return (cancel_limit - lease) / 4; }

  // What this controller has read from the state store. It refers to the caller's data and is valid only
  // during the call that it is passed to.
  struct LocalView {
    bool ready = false;  // all records have been read since the process started
    Revision read_until;
    const std::set<protocol::CancelledJob>& cancelled;
  };

  // When to send the next heartbeat to a peer from which a heartbeat was received.
  enum class NextHeartbeat {
    kPeriodic,
    kImmediate  // to acknowledge received cancellations, or to send further ones
  };

  // `started`: when this process started. An earlier process of the same controller may have granted read
  // leases until then.
  CancellationBarrier(Params params, const std::vector<ControllerName>& peers, Instant started);

  // Returns the cancellation sync that the heartbeat with this sequence number has to carry to the peer. From
  // this call on the heartbeat counts as sent, and its read lease as granted.
  protocol::CancellationSync prepare_sync(const ControllerName& peer, std::uint64_t sequence,
                                          const LocalView& view, Instant now);
  // Processes a heartbeat received from the peer. The caller applies its cancellations first, so that `view`
  // includes them if it is ready.
  NextHeartbeat on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& heartbeat,
                             const LocalView& view, Instant now);
  // Discards the record of sent heartbeats when a new connection is made: their echoes no longer count.
  void discard_sent_heartbeats(const ControllerName& peer) { peers_.at(peer).sent.clear(); }

  // Returns whether the cancellation may be revealed to a user now. The caller must write its answer to the
  // user within the same callback.
  bool may_reveal(const protocol::CancelledJob& job, const LocalView& view, Instant now) const;
  // Returns whether the peer is ready and may lack some of the cancellations known here.
  bool lacks_cancellations(const ControllerName& peer, const LocalView& view) const;

  // Returns the time before which all cancellations that any other controller has acknowledged to users are
  // known here. Returns std::nullopt if there is no such time.
  std::optional<Instant> known_until(bool ready, Instant now) const;

  // Returns when the newest heartbeat that the peer has echoed was sent; std::nullopt if it has echoed none.
  std::optional<Instant> last_echoed_sent_at(const ControllerName& peer) const {
    return peers_.at(peer).last_echoed_sent_at;
  }
  // Returns the sequence number of the last heartbeat received from the peer, which is to be echoed.
  std::uint64_t last_received_sequence(const ControllerName& peer) const {
    return peers_.at(peer).last_received_sequence;
  }
  // Returns when the oldest heartbeat that may still be echoed was sent; std::nullopt if there is none.
  std::optional<Instant> oldest_awaited_sent_at(const ControllerName& peer) const;

 private:
  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    Instant sent_at;
    std::vector<protocol::CancelledJob> listed;
  };
  struct Peer {
    std::deque<SentHeartbeat> sent;  // those that may still be echoed, oldest first
    std::uint64_t last_received_sequence = 0;
    std::optional<Instant> last_echoed_sent_at;
    bool ready = false;  // as stated by its newest heartbeat
    // `read_until` and `acknowledged` remain valid when the peer restarts: cancellation records are never
    // removed, and the restarted peer becomes ready only after it has read all of them.
    Revision read_until;
    std::set<protocol::CancelledJob> acknowledged;  // those with a revision above read_until
    // Expiry of the read lease that this controller has granted to the peer.
    Instant read_lease_until{};
    // All cancellations that the peer, or an earlier process of it, acknowledges to users before this time
    // are known here.
    std::optional<Instant> complete_until;
  };
  static bool has_cancellation(const Peer& peer, const protocol::CancelledJob& job);
  static void acknowledge(Peer& peer, const std::vector<protocol::CancelledJob>& jobs);
  // Returns the sent heartbeat that the given one echoes, or nullptr if that echo is not awaited. Discards
  // the heartbeats that were sent before it.
  static const SentHeartbeat* find_echoed(Peer& peer, const protocol::Heartbeat& heartbeat);
  static void apply_sync(Peer& peer, const protocol::CancellationSync& sync);
  // Appends the cancellations that the peer may lack. Returns false if the list reached max_listed before all
  // of them were added.
  bool list_missing(const Peer& peer, const LocalView& view,
                    std::vector<protocol::CancelledJob>& listed) const;
  void on_echo(Peer& peer, const protocol::Heartbeat& heartbeat, Instant echoed_sent_at,
               const LocalView& view, Instant now);
  static void extend_completeness(Peer& peer, const protocol::CancellationSync& sync, Instant echoed_sent_at,
                                  bool ready, Instant now);
  static void set_completeness_without_read_lease(Peer& peer, const protocol::Heartbeat& heartbeat,
                                                  Instant echoed_sent_at, const LocalView& view);

  Params params_;
  std::map<ControllerName, Peer> peers_;
};

}  // namespace beaconsill::shard
