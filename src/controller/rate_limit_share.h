// How the controllers apportion the rate limits of state store and cloud, which hold for all of them
// together.
#pragma once

#include <cstddef>

namespace beaconsill::controller {

// The leader's share of each limit; the other controllers share the rest equally. The leader writes most, but
// all controllers read much the same.
constexpr double kLeaderShareOfRequests = 0.4;
constexpr double kLeaderShareOfChanges = 0.6;
constexpr double kLeaderShareOfCloud = 0.5;

// The controllers that share the limits, as this controller's view of the state store shows them.
struct LiveControllers {
  std::size_t alive = 1;    // controllers, this one included
  bool is_leader = false;   // whether this controller is the leader
  bool has_leader = false;  // whether the leader is alive
};

// This controller's share (0 to 1) of a limit of which the leader takes `leader_share`. Without a live leader
// all share equally. (Found in a simulated day of operations: when the leader ended, its share lay idle while
// the others refused submissions for want of theirs.)
inline double rate_limit_share(const LiveControllers& live, double leader_share) {
  if (live.alive <= 1) return 1;
  auto alive = static_cast<double>(live.alive);
  if (!live.has_leader && !live.is_leader) return 1 / alive;
  return live.is_leader ? leader_share : (1 - leader_share) / (alive - 1);
}

}  // namespace beaconsill::controller
