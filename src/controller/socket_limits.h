// How a controller's sockets are divided, so that no one use of them can take what another needs.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace beaconsill::controller {

// Numbers of sockets.
struct SocketLimits {
  std::size_t own = 0;       // to state store, cloud and peers
  std::size_t commands = 0;  // open connections to workers; beyond that the longest idle is closed
  std::size_t served = 0;    // connections from workers, users and health checks
  std::size_t users = 0;     // of `served`, at most for users: workers keep as many when users flood
};

inline SocketLimits plan_socket_limits(const config::Settings& settings) {
  SocketLimits limits;
  std::size_t all = settings.max_connections;
  limits.own = std::min(std::size_t{40} + 8 * settings.peers.size(), all / 2);
  limits.commands = (all - limits.own) / 3;
  limits.served = all - limits.own - limits.commands;
  limits.users = limits.served / 2;
  return limits;
}

}  // namespace beaconsill::controller
