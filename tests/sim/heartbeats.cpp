#include "sim/heartbeats.h"

#include <algorithm>

namespace beaconsill::sim {
namespace {
constexpr Duration kFresh = std::chrono::milliseconds(1700);

std::vector<NodeName> peers_of(int node) {
  std::vector<NodeName> out;
  for (int n = 0; n < kControllers; ++n)
    if (n != node) out.push_back(node_name(n));
  return out;
}

part::CancellationDisclosure::Params disclosure_params() {
  using part::CancellationDisclosure;
  return {CancellationDisclosure::promise_for(from_seconds(kCancelLimit), from_seconds(kLease)), kFresh};
}
}  // namespace

Heartbeats::Heartbeats(int node, WallMs began, Instant now)
    : node_(node),
      sequence_(static_cast<std::uint64_t>(began.value()) << 16),
      disclosure_(disclosure_params(), peers_of(node), now) {}

wire::Heartbeat Heartbeats::next(int to, const Known& known, Instant now) {
  wire::Heartbeat h;
  h.sequence = ++sequence_;
  h.echo = disclosure_.received(node_name(to));
  h.disclosure = disclosure_.outgoing(node_name(to), h.sequence, known, now);
  return h;
}

bool Heartbeats::on_heartbeat(int from, const wire::Heartbeat& h, const Known& known, Instant now) {
  for (const auto& t : h.terms) {
    auto& owner = owners_[t.part];
    if (t.term > owner.term) owner = {from, t.term};
  }
  return disclosure_.on_heartbeat(node_name(from), h, known, now);
}

bool Heartbeats::reachable(int node, Instant now) const {
  return node == node_ || now - disclosure_.echoed(node_name(node)) < kFresh;
}

std::optional<Heartbeats::Owner> Heartbeats::owner(PartId part) const {
  auto it = owners_.find(part);
  if (it == owners_.end()) return std::nullopt;
  return it->second;
}

}  // namespace beaconsill::sim
