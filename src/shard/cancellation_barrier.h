// The cancellation visibility barrier: when a controller may acknowledge to a user that a job is cancelled,
// and up to when a shard leader knows all cancellations that any controller has acknowledged, also while the
// state store answers nobody.
//
// Heartbeats between controllers carry the cancellations that their receiver isn't known to have, and grant
// it a read lease: until that ends the sender acknowledges no other cancellation to users before the receiver
// has it. docs/design.md ("Cancellations") holds the argument. No sockets and no clock: the caller passes
// times of this controller's steady clock.
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

// Holds what this controller knows of each of its peers. The names of peers that it is given must be those of
// the constructor.
class CancellationBarrier {
 public:
  struct Params {
    // How long a read lease lasts.
    Duration read_lease{};
    // A peer that has echoed no heartbeat for this long is granted no read lease.
    Duration contact_timeout{};
    // Most cancellations in one heartbeat.
    std::size_t max_listed = 128;
  };
  // A quarter of the time between the end of a lease and that by which a cancelled task has to have ended.
  static Duration read_lease_for(Duration cancel_limit, Duration lease) { return (cancel_limit - lease) / 4; }

  // What this controller has read of the state store. Refers to the caller's data for the time of a call.
  struct Known {
    bool ready = false;  // everything was read since the process started
    Revision read_until;
    const std::set<protocol::CancelledJob>& cancelled;
  };

  // When the next heartbeat is to be sent to a peer that has sent one.
  enum class NextHeartbeat {
    kPeriodic,
    kAtOnce  // to acknowledge cancellations, or with more of them
  };

  // `started`: when this process did; an earlier one of the same controller may have granted read leases up
  // to then.
  CancellationBarrier(Params params, const std::vector<ControllerName>& peers, Instant started);

  // What the heartbeat of this number to the peer has to carry. It counts as sent, and its read lease as
  // granted, from now on.
  protocol::CancellationSync outgoing(const ControllerName& peer, std::uint64_t sequence, const Known& known,
                                      Instant now);
  // A heartbeat received. Its cancellations have to be applied first: `known` includes them, if it's ready.
  NextHeartbeat on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& heartbeat,
                             const Known& known, Instant now);
  // Forgets which heartbeats were sent, for a new connection: their echoes no longer count.
  void forget_sent(const ControllerName& peer) { peers_.at(peer).sent.clear(); }

  // Whether the cancellation may be revealed to a user now. The answer has to be written in the same
  // callback.
  bool may_reveal(const protocol::CancelledJob& job, const Known& known, Instant now) const;
  // Whether the peer is ready and not known to have all cancellations.
  bool lacks_cancellations(const ControllerName& peer, const Known& known) const;

  // All cancellations acknowledged to users by any other controller before this time are known here. None:
  // that can be said of no time.
  std::optional<Instant> known_until(bool ready, Instant now) const;

  // When the newest heartbeat was sent that the peer has echoed; none if it has echoed none.
  std::optional<Instant> echoed(const ControllerName& peer) const { return peers_.at(peer).echoed; }
  // Number of the last heartbeat received, to be echoed.
  std::uint64_t received(const ControllerName& peer) const { return peers_.at(peer).received; }
  // When the oldest heartbeat was sent that may still be echoed; none if there is none.
  std::optional<Instant> oldest_sent(const ControllerName& peer) const;

 private:
  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    Instant sent_at;
    std::vector<protocol::CancelledJob> listed;
  };
  struct Peer {
    std::deque<SentHeartbeat> sent;  // whose echoes are awaited
    std::uint64_t received = 0;
    std::optional<Instant> echoed;  // see CancellationBarrier::echoed
    bool ready = false;             // by its newest heartbeat
    // Records are never taken back, and a restarted peer is ready only after it has read all of them: so what
    // any process of the peer had, its present one has when it's ready.
    Revision read_until;
    std::set<protocol::CancelledJob> acknowledged;  // beyond read_until
    // End of the read lease that this controller has granted to the peer.
    Instant read_lease_until{};
    // All cancellations that the peer, or an earlier process of it, acknowledges to users before this time
    // are known here.
    std::optional<Instant> complete_until;
  };
  static bool has(const Peer& peer, const protocol::CancelledJob& job);
  static void acknowledge(Peer& peer, const std::vector<protocol::CancelledJob>& jobs);
  // The heartbeat that is echoed by this one; none if it isn't awaited. Earlier ones are forgotten.
  static const SentHeartbeat* find_echoed(Peer& peer, const protocol::Heartbeat& heartbeat);
  static void apply_sync(Peer& peer, const protocol::CancellationSync& sync);
  // Adds what the peer lacks; false: not all of it, as too many would be listed.
  bool list_missing(const Peer& peer, const Known& known, std::vector<protocol::CancelledJob>& listed) const;
  void on_echo(Peer& peer, const protocol::Heartbeat& heartbeat, Instant echoed_sent_at, const Known& known,
               Instant now);
  static void extend_completeness(Peer& peer, const protocol::CancellationSync& sync, Instant echoed_sent_at,
                                  bool ready, Instant now);
  static void set_completeness_without_read_lease(Peer& peer, const protocol::Heartbeat& heartbeat,
                                                  Instant echoed_sent_at, const Known& known);

  Params params_;
  std::map<ControllerName, Peer> peers_;
};

}  // namespace beaconsill::shard
