// Manages a limited number of connections to workers, over which commands are sent.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/http_client.h"

namespace beaconsill::controller {

// Keeps one connection to each machine that commands were recently sent to, up to a limit. Without the limit,
// connections to a thousand machines would leave no sockets for the heartbeats of workers. At the limit, the
// connection that has been idle the longest is closed for a new one. Connections with a request in flight are
// never closed because of the limit, so the pool may exceed it temporarily. Single-threaded.
class WorkerConnectionPool {
 public:
  // The connection to one machine.
  struct Connection {
    std::string address;
    std::shared_ptr<net::HttpClient> client;
    std::size_t in_flight = 0;  // number of requests
    Instant last_used;
  };

  WorkerConnectionPool(asio::io_context& io_context, std::size_t max_connections)
      : io_context_(io_context), max_connections_(max_connections) {}

  // Returns the connection to the machine and counts a request in flight until release() is called. The
  // reference is valid until the next call of a method of the pool.
  Connection& acquire(const MachineName& machine, const std::string& address,
                      const net::Tcp::endpoint& endpoint, Instant now);
  // Must be called when a request that this client sent has ended. Does nothing if the connection was closed
  // meanwhile.
  void release(const MachineName& machine, const std::shared_ptr<net::HttpClient>& client);
  // Closes the connection to the machine. Its requests end without a response.
  void close(const MachineName& machine);
  // Closes all connections.
  void stop();

 private:
  Connection& find_or_open(const MachineName& machine, const std::string& address,
                           const net::Tcp::endpoint& endpoint, Instant now);
  void close_longest_idle();

  asio::io_context& io_context_;
  std::size_t max_connections_;
  std::map<MachineName, Connection> connections_;
};

}  // namespace beaconsill::controller
