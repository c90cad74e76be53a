// How a controller's sockets are shared out, so that no one use of them can take what another needs.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace beaconsill::controller {

struct SocketLimits {
  std::size_t own = 0;       // state store, cloud, peers
  std::size_t commands = 0;  // open connections to workers; beyond that the longest idle is closed
  std::size_t served = 0;    // connections of workers, users and health checks
  std::size_t users = 0;     // of these, users' at most: workers keep as many when users flood
};

inline SocketLimits plan_socket_limits(const config::Settings& s) {
  SocketLimits p;
  std::size_t all = s.max_connections;
  p.own = std::min(std::size_t{40} + 8 * s.peers.size(), all / 2);
  p.commands = (all - p.own) / 3;
  p.served = all - p.own - p.commands;
  p.users = p.served / 2;
  return p;
}

}  // namespace beaconsill::controller
