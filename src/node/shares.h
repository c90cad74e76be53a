// How the controllers share out the limits of state service and cloud, which hold for all of them together.
#pragma once

#include <cstddef>

namespace beaconsill::node {

// Of the state service's limits, what the leader takes; the other controllers share the rest. It writes most,
// but all read much the same.
constexpr double kLeaderShareOfRequests = 0.4;
constexpr double kLeaderShareOfChanges = 0.6;
constexpr double kLeaderShareOfCloud = 0.5;

// Who takes part, as this controller's view of the state service has it.
struct Sharers {
  std::size_t alive = 1;  // controllers, this one included
  bool leading = false;   // this one
  bool has_leader = false;
};

// This controller's share of a limit of which the leader takes `leader`. Found on the days of the operators:
// when the leader ended, its share lay idle while the others refused submissions for want of theirs.
inline double share_of_limit(const Sharers& s, double leader) {
  if (s.alive <= 1) return 1;
  auto all = static_cast<double>(s.alive);
  if (!s.has_leader && !s.leading) return 1 / all;
  return s.leading ? leader : (1 - leader) / (all - 1);
}

}  // namespace beaconsill::node
