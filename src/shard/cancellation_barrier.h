// When a controller may tell a user that a job is cancelled, and how far each owner of a shard knows all
// cancellations that any controller has told users of, also while the state store answers nobody.
//
// A controller *discloses* a cancellation when it answers any user that the job is cancelled. Heartbeats
// carry the cancellations that their receiver isn't known to have, and promise that for some time no other
// one will be disclosed to users before the receiver has acknowledged it. docs/design.md ("Cancellations")
// holds the argument. No sockets and no clock: the caller passes times of this controller's steady clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"

namespace beaconsill::shard {

class CancellationBarrier {
 public:
  struct Params {
    // How long a promise holds.
    Duration read_lease{};
    // A peer that has echoed no heartbeat for this long is out of touch, and gets no promise.
    Duration in_touch{};
    // Most cancellations in one heartbeat.
    std::size_t max_listed = 128;
  };
  // A quarter of the time between the end of a lease and that by which a cancelled task has to be gone.
  static Duration read_lease_for(Duration cancel_limit, Duration lease) { return (cancel_limit - lease) / 4; }

  // What this controller has read of the state store. Refers to the caller's data for the time of a call.
  struct Known {
    bool ready = false;  // everything was read since the process started
    Revision read_until;
    const std::set<protocol::CancelledJob>& cancelled;
  };

  // `started`: when this process did; an earlier one of the same controller may have made promises up to
  // then.
  CancellationBarrier(Params params, const std::vector<ControllerName>& peers, Instant started);

  // What the heartbeat of this number to the peer has to say. It counts as sent, and as promised, from now
  // on.
  protocol::CancellationSync outgoing(const ControllerName& peer, std::uint64_t sequence, const Known& known,
                                      Instant now);
  // A heartbeat received. Its cancellations have to be applied first: `known` includes them, if it's ready.
  // Whether one should go back at once: to acknowledge cancellations, or with more of them.
  bool on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& h, const Known& known,
                    Instant now);
  // Forgets which heartbeats were sent, for a new connection: their echoes no longer count.
  void forget_sent(const ControllerName& peer) { peers_.at(peer).sent.clear(); }

  // Whether a user may be told now that the job is cancelled. The answer has to be written in the same
  // callback.
  bool may_acknowledge(const protocol::CancelledJob& job, const Known& known, Instant now) const;
  // Whether the peer is ready and not known to have all that is cancelled.
  bool lacks_cancellations(const ControllerName& peer, const Known& known) const;

  // All cancellations disclosed by any other controller before this time are known here.
  Instant known_until(bool ready, Instant now) const;

  // When the newest heartbeat was sent that the peer has echoed.
  Instant echoed(const ControllerName& peer) const { return peers_.at(peer).echoed; }
  // Number of the last heartbeat received, to be echoed.
  std::uint64_t received(const ControllerName& peer) const { return peers_.at(peer).received; }
  // When the oldest heartbeat was sent that may still be echoed; none if there is none.
  std::optional<Instant> oldest_sent(const ControllerName& peer) const;

 private:
  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    Instant at;
    std::vector<protocol::CancelledJob> listed;
  };
  struct Peer {
    std::deque<SentHeartbeat> sent;
    std::uint64_t received = 0;
    Instant echoed{};
    bool ready = false;  // by the newest heartbeat of theirs
    // Records are never taken back, and a restarted peer is ready only after it has read all of them: so what
    // any process of the peer had, its present one has when it's ready.
    Revision read_until;
    std::set<protocol::CancelledJob> acknowledged;  // beyond read_until
    // This controller's promise to the peer.
    Instant read_lease_until{};
    // All that the peer, or an earlier process of it, has disclosed or will disclose before this is known
    // here.
    Instant complete_until{};
  };
  bool has(const Peer& p, const protocol::CancelledJob& job) const;
  void acknowledge(Peer& p, const std::vector<protocol::CancelledJob>& jobs);
  // The heartbeat that is echoed here.
  const SentHeartbeat* find_echoed(Peer& p, const protocol::Heartbeat& h);
  void learn(Peer& p, const protocol::CancellationSync& d);
  void conclude(Peer& p, const protocol::Heartbeat& h, Instant echoed, const Known& known, Instant now);
  void extend_completeness(Peer& p, const protocol::CancellationSync& d, Instant echoed, bool ready,
                           Instant now);
  void conclude_without_read_lease(Peer& p, const protocol::Heartbeat& h, Instant echoed, const Known& known);

  Params params_;
  std::map<ControllerName, Peer> peers_;
};

}  // namespace beaconsill::shard
