#include "sim/heartbeats.h"

#include <algorithm>

namespace beaconsill::sim {
namespace {
constexpr Duration kFresh = std::chrono::milliseconds(1700);

std::vector<ControllerName> peers_of(int controller) {
  std::vector<ControllerName> out;
  for (int n = 0; n < kControllers; ++n)
    if (n != controller) out.push_back(controller_name(n));
  return out;
}

shard::CancellationBarrier::Params barrier_params() {
  using shard::CancellationBarrier;
  return {CancellationBarrier::read_lease_for(from_seconds(kCancelLimit), from_seconds(kLease)), kFresh};
}
}  // namespace

Heartbeats::Heartbeats(int controller, WallMs began, Instant now)
    : controller_(controller),
      sequence_(static_cast<std::uint64_t>(began.value()) << 16),
      cancellation_barrier_(barrier_params(), peers_of(controller), now) {}

protocol::Heartbeat Heartbeats::next(int to, const Known& known, Instant now) {
  protocol::Heartbeat h;
  h.sequence = ++sequence_;
  h.echo = cancellation_barrier_.received(controller_name(to));
  h.cancellation_sync = cancellation_barrier_.outgoing(controller_name(to), h.sequence, known, now);
  return h;
}

bool Heartbeats::on_heartbeat(int from, const protocol::Heartbeat& h, const Known& known, Instant now) {
  for (const auto& t : h.terms) {
    auto& owner = owners_[t.shard];
    if (t.term > owner.term) owner = {from, t.term};
  }
  return cancellation_barrier_.on_heartbeat(controller_name(from), h, known, now) ==
         shard::CancellationBarrier::NextHeartbeat::kAtOnce;
}

bool Heartbeats::reachable(int controller, Instant now) const {
  if (controller == controller_) return true;
  auto echoed = cancellation_barrier_.echoed(controller_name(controller));
  return echoed && now - *echoed < kFresh;
}

std::optional<Heartbeats::Owner> Heartbeats::owner(ShardId shard) const {
  auto it = owners_.find(shard);
  if (it == owners_.end()) return std::nullopt;
  return it->second;
}

}  // namespace beaconsill::sim
