// Calculates how the controllers divide the rate limits of the state store and the cloud, which apply to all
// controllers together.
#pragma once

#include <cstddef>

namespace beaconsill::controller {

// The leader's share (0 to 1) of each limit; the other controllers share the rest equally. The leader writes
// most, but all controllers read about the same amount.
constexpr double kLeaderShareOfRequests = 0.4;
constexpr double kLeaderShareOfWrites = 0.6;
constexpr double kLeaderShareOfCloud = 0.5;

// The controllers that share the limits, according to this controller's view of the state store.
struct LiveControllers {
  std::size_t alive_count = 1;  // live controllers, including this one
  bool is_leader = false;       // whether this controller is the leader
  bool has_leader = false;      // whether there is a leader and it is alive
};

// Returns this controller's share (0 to 1) of a limit of which the leader gets `leader_share`. Without a live
// leader all controllers get equal shares. If the share of a failed leader stayed reserved, it would be
// unused while the other controllers refused submissions because their own shares were exhausted.
inline double rate_limit_share(const LiveControllers& live, double leader_share) {
  if (live.alive_count <= 1) return 1;
  auto alive = static_cast<double>(live.alive_count);
  if (!live.has_leader && !live.is_leader) return 1 / alive;
  return live.is_leader ? leader_share : (1 - leader_share) / (alive - 1);
}

}  // namespace beaconsill::controller
