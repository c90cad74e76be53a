// HTTP/1.1 server with keep-alive, limits and deadlines.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/http.h"
#include "net/listener.h"

namespace beaconsill::net {

struct ServerLimits {
  std::size_t max_connections = 256;       // in all; beyond it the longest idle is closed for the newcomer
  std::size_t max_user_connections = 192;  // of them, those that sent a request the handler calls a user's
  std::size_t max_body = std::size_t{64} * 1024;    // bytes
  std::size_t max_header = std::size_t{16} * 1024;  // bytes
  Duration idle = std::chrono::seconds(75);         // between two requests
  Duration receive = std::chrono::seconds(10);      // from the first byte of a request to its last
  Duration send = std::chrono::seconds(10);
};

// Serves the requests of a connection one at a time. Used on the thread of the io_context.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  // May be called once, at any time, on any stack.
  using Reply = std::function<void(Response)>;
  using Handler = std::function<void(Request, Reply)>;
  // Distinguishes requests whose connections count against the users' limit from those of agents and probes.
  using IsUser = std::function<bool(const Request&)>;

  // Throws std::system_error if the address can't be bound.
  HttpServer(asio::io_context& io_context, const Tcp::endpoint& local, ServerLimits limits, IsUser is_user,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  void start();
  // Closes all connections.
  void stop();
  Tcp::endpoint local() const { return listener_.local(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  using Connections = std::list<std::shared_ptr<Connection>>;
  void on_accept(Tcp::socket socket);
  // Closes an idle connection if there are too many. False: none is idle.
  bool evict_idle();

  asio::io_context& io_;
  Listener listener_;
  ServerLimits limits_;
  IsUser is_user_;
  Handler handler_;
  Connections connections_;  // the longest idle first
  std::size_t user_connections_ = 0;
};

}  // namespace beaconsill::net
