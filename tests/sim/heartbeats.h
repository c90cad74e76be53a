// What a controller knows of the others by their heartbeats, as `node::PeersDuty` keeps it.
#pragma once

#include <map>
#include <optional>

#include "part/cancellation_disclosure.h"
#include "sim/topology.h"
#include "wire/peer.h"

namespace beaconsill::sim {

class Heartbeats {
 public:
  using Known = part::CancellationDisclosure::Known;
  Heartbeats(int node, WallMs began, Instant now);

  // The next heartbeat for that controller. The sender adds what it owns.
  wire::Heartbeat next(int to, const Known& known, Instant now);
  // Whether one should go back at once.
  bool on_heartbeat(int from, const wire::Heartbeat& h, const Known& known, Instant now);
  const part::CancellationDisclosure& disclosure() const { return disclosure_; }
  bool reachable(int node, Instant now) const;
  struct Owner {
    int node = 0;
    Term term;
  };
  // The owner under the highest term that any has claimed.
  std::optional<Owner> owner(PartId part) const;

 private:
  int node_;
  std::uint64_t sequence_;
  part::CancellationDisclosure disclosure_;
  std::map<PartId, Owner> owners_;
};

}  // namespace beaconsill::sim
