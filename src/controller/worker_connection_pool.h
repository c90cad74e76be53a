// Connections to workers, for commands.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/types.h"
#include "net/http_client.h"

namespace beaconsill::controller {

// Keeps one connection to each machine that commands were sent to lately, up to a limit: with a connection to
// each of a thousand machines no socket would be left for those that report. Beyond the limit the longest
// idle one is closed; connections with a request in flight are never closed for that. One thread.
class WorkerConnectionPool {
 public:
  // To one machine.
  struct Connection {
    std::string address;
    std::shared_ptr<net::HttpClient> client;
    std::size_t in_flight = 0;  // requests
    Instant last_used;
  };

  WorkerConnectionPool(asio::io_context& io_context, std::size_t max_connections)
      : io_(io_context), max_connections_(max_connections) {}

  // The connection to a machine, counted as in use until release(). The reference holds until the next call.
  Connection& acquire(const MachineName& machine, const std::string& address,
                      const net::Tcp::endpoint& endpoint, Instant now);
  // The request ended that was sent by this client; nothing if the connection was closed meanwhile.
  void release(const MachineName& machine, const std::shared_ptr<net::HttpClient>& client);
  // Closes the connection to the machine; its requests end unanswered.
  void close(const MachineName& machine);
  // Closes all connections.
  void stop();

 private:
  Connection& find_or_open(const MachineName& machine, const std::string& address,
                           const net::Tcp::endpoint& endpoint, Instant now);
  void close_longest_idle();

  asio::io_context& io_;
  std::size_t max_connections_;
  std::map<MachineName, Connection> connections_;
};

}  // namespace beaconsill::controller
