// How the controllers share out the limits of state store and cloud, which hold for all of them together.
#pragma once

#include <cstddef>

namespace beaconsill::controller {

// Of the state store's limits, what the leader takes; the other controllers share the rest. It writes most,
// but all read much the same.
constexpr double kLeaderShareOfRequests = 0.4;
constexpr double kLeaderShareOfChanges = 0.6;
constexpr double kLeaderShareOfCloud = 0.5;

// Who takes part, as this controller's view of the state store has it.
struct LiveControllers {
  std::size_t alive = 1;   // controllers, this one included
  bool is_leader = false;  // this one
  bool has_leader = false;
};

// This controller's share of a limit of which the leader takes `leader`. Found on the days of the operators:
// when the leader ended, its share lay idle while the others refused submissions for want of theirs.
inline double rate_limit_share(const LiveControllers& s, double leader) {
  if (s.alive <= 1) return 1;
  auto all = static_cast<double>(s.alive);
  if (!s.has_leader && !s.is_leader) return 1 / all;
  return s.is_leader ? leader : (1 - leader) / (all - 1);
}

}  // namespace beaconsill::controller
