// What a controller knows of the others by their heartbeats, as `node::PeersDuty` keeps it.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>

#include "sim/topology.h"
#include "wire/peer.h"

namespace beaconsill::sim {

class Heartbeats {
 public:
  Heartbeats(int node, WallMs began)
      : node_(node), sequence_(static_cast<std::uint64_t>(began.value()) << 16) {}

  // The next heartbeat for that controller. The sender adds what it knows.
  wire::Heartbeat next(int to, Instant now);
  void on_heartbeat(int from, const wire::Heartbeat& h);
  // All cancellations told to users before this time are known to one who knows all up to `known`.
  Instant word(Revision known, Instant now) const;
  bool reachable(int node, Instant now) const;
  struct Owner {
    int node = 0;
    Term term;
  };
  // The owner under the highest term that any has claimed.
  std::optional<Owner> owner(PartId part) const;

 private:
  struct Peer {
    std::deque<std::pair<std::uint64_t, Instant>> sent;  // not yet echoed
    std::uint64_t last_sequence = 0;
    Instant echoed{};
    Revision told{UINT64_MAX};
  };
  int node_;
  std::uint64_t sequence_;
  std::array<Peer, kControllers> peers_;
  std::map<PartId, Owner> owners_;
};

}  // namespace beaconsill::sim
