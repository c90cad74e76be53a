// Divides a controller's sockets among their uses, so that no use can take the sockets that another needs.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/settings.h"

namespace beaconsill::controller {

// Numbers of sockets.
struct SocketLimits {
  std::size_t infrastructure = 0;  // connections to the state store, the cloud and the peers
  std::size_t commands = 0;        // connections to workers; at the limit the longest idle one is closed
  std::size_t accepted = 0;        // connections from workers, users and health checks
  // The part of `accepted` that workers can't take from users. Users can't take the rest from workers: at
  // least as many connections remain for these when users open too many.
  std::size_t user_share = 0;
};

inline SocketLimits plan_socket_limits(const config::Settings& settings) {
  SocketLimits limits;
  std::size_t total = settings.max_connections;
  limits.infrastructure = std::min(std::size_t{40} + 8 * settings.peers.size(), total / 2);
  limits.commands = (total - limits.infrastructure) / 3;
  limits.accepted = total - limits.infrastructure - limits.commands;
  limits.user_share = limits.accepted / 2;
  return limits;
}

}  // namespace beaconsill::controller
