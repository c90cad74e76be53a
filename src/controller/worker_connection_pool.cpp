#include "controller/worker_connection_pool.h"

namespace beaconsill::controller {

WorkerConnectionPool::Connection& WorkerConnectionPool::acquire(const MachineName& machine,
                                                                const std::string& address,
                                                                const net::Tcp::endpoint& endpoint,
                                                                Instant now) {
  auto& connection = find_or_open(machine, address, endpoint, now);
  ++connection.in_flight;
  connection.last_used = now;
  return connection;
}

WorkerConnectionPool::Connection& WorkerConnectionPool::find_or_open(const MachineName& machine,
                                                                     const std::string& address,
                                                                     const net::Tcp::endpoint& endpoint,
                                                                     Instant now) {
  if (auto it = connections_.find(machine); it != connections_.end()) {
    if (it->second.address == address) return it->second;
    close(machine);
  }
  if (connections_.size() >= max_connections_) close_longest_idle();
  auto& connection = connections_[machine];
  connection = {address, std::make_shared<net::HttpClient>(io_context_, endpoint, 1), 0, now};
  return connection;
}

void WorkerConnectionPool::close_longest_idle() {
  auto oldest = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.in_flight > 0) continue;
    if (oldest == connections_.end() || it->second.last_used < oldest->second.last_used) oldest = it;
  }
  if (oldest == connections_.end()) return;
  oldest->second.client->stop();
  connections_.erase(oldest);
}

void WorkerConnectionPool::release(const MachineName& machine,
                                   const std::shared_ptr<net::HttpClient>& client) {
  auto it = connections_.find(machine);
  if (it != connections_.end() && it->second.client == client) --it->second.in_flight;
}

void WorkerConnectionPool::close(const MachineName& machine) {
  auto it = connections_.find(machine);
  if (it == connections_.end()) return;
  // The connection is removed from the pool first, because stopping the client ends its requests, whose
  // callbacks may call this pool.
  auto client = it->second.client;
  connections_.erase(it);
  client->stop();
}

void WorkerConnectionPool::stop() {
  for (auto& [machine, connection] : connections_) connection.client->stop();
  connections_.clear();
}

}  // namespace beaconsill::controller
