#include "sim/heartbeats.h"

#include <algorithm>

namespace beaconsill::sim {
namespace {
constexpr Duration kReachabilityTimeout = std::chrono::milliseconds(1700);

std::vector<ControllerName> peers_of(int controller) {
  std::vector<ControllerName> out;
  for (int other = 0; other < kControllers; ++other)
    if (other != controller) out.push_back(controller_name(other));
  return out;
}

shard::CancellationBarrier::Params barrier_params() {
  using shard::CancellationBarrier;
  return {CancellationBarrier::read_lease_for(from_seconds(kCancelLimit), from_seconds(kLease)),
          kReachabilityTimeout};
}
}  // namespace

Heartbeats::Heartbeats(int controller, WallMs process_started, Instant now)
    : controller_(controller),
      sequence_(static_cast<std::uint64_t>(process_started.value()) << 16),
      cancellation_barrier_(barrier_params(), peers_of(controller), now) {}

protocol::Heartbeat Heartbeats::compose(int to, const LocalView& local_view, Instant now) {
  protocol::Heartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.echo = cancellation_barrier_.last_received_sequence(controller_name(to));
  heartbeat.cancellation_sync =
      cancellation_barrier_.prepare_sync(controller_name(to), heartbeat.sequence, local_view, now);
  return heartbeat;
}

bool Heartbeats::on_heartbeat(int from, const protocol::Heartbeat& heartbeat, const LocalView& local_view,
                              Instant now) {
  for (const auto& shard_term : heartbeat.terms) {
    auto& leader = shard_leaders_[shard_term.shard];
    if (shard_term.term > leader.term) leader = {from, shard_term.term};
  }
  return cancellation_barrier_.on_heartbeat(controller_name(from), heartbeat, local_view, now) ==
         shard::CancellationBarrier::NextHeartbeat::kImmediate;
}

bool Heartbeats::reachable(int controller, Instant now) const {
  if (controller == controller_) return true;
  auto echoed = cancellation_barrier_.last_echoed_sent_at(controller_name(controller));
  return echoed && now - *echoed < kReachabilityTimeout;
}

std::optional<Heartbeats::ShardLeader> Heartbeats::shard_leader(ShardId shard) const {
  auto it = shard_leaders_.find(shard);
  if (it == shard_leaders_.end()) return std::nullopt;
  return it->second;
}

}  // namespace beaconsill::sim
