// HTTP/1.1 server with keep-alive, limits on connections and message sizes, and timeouts.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "net/connection_table.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/refusal_log.h"

namespace beaconsill::net {

struct ServerLimits {
  // The limit for all connections. Beyond it, one that has no request in progress is closed to make room for
  // a new one; if there is none, the new connection is closed. See ConnectionTable.
  std::size_t max_connections = 256;
  // The part of `max_connections` that workers and health checks can't take from users; users can't take the
  // rest from these. Also the limit for requests of users (see IsUser) that are in progress at the same time.
  // Connections over which nothing is in progress are not limited: users keep theirs open between requests,
  // and a limit would refuse other users for as long as these stay.
  std::size_t user_share = 192;
  std::size_t max_body_bytes = std::size_t{64} * 1024;
  // The limit for the request target and all header fields together.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  Duration idle_timeout = std::chrono::seconds(75);     // between two requests
  Duration receive_timeout = std::chrono::seconds(10);  // from the first byte of a request to its last
  Duration send_timeout = std::chrono::seconds(10);     // for sending a response
};

// Serves the requests of each connection one at a time, in order. Must only be used on the thread of the
// io_context.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  // Sends the response to a request. Must be called at most once, at any time, including before the handler
  // returns.
  using Reply = std::function<void(Response)>;
  using Handler = std::function<void(Request, Reply)>;
  // Returns true for requests of users, as opposed to those of workers and health checks. See
  // ServerLimits::user_share.
  using IsUser = std::function<bool(const Request&)>;

  // Throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& io_context, const Tcp::endpoint& local, ServerLimits limits, IsUser is_user,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  void start();
  // Stops accepting connections and closes all open ones.
  void stop();
  Tcp::endpoint local() const { return listener_.local(); }
  std::size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;
  using Connections = ConnectionTable<Connection>;
  void on_accept(Tcp::socket socket);
  // Makes room for one connection: if the limit is reached, closes a connection that has no request in
  // progress. Returns false if the limit is reached and there is none.
  bool make_room_for_connection();
  void log_refusal(RefusalReason reason);

  asio::io_context& io_;
  Listener listener_;
  ServerLimits limits_;
  IsUser is_user_;
  Handler handler_;
  Connections connections_;
  std::size_t user_requests_ = 0;  // in progress
  RefusalLog refusal_log_;
};

}  // namespace beaconsill::net
