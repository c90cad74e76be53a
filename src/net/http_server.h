// HTTP/1.1 server: one routine for each connection, keep-alive, limits, deadlines and caps.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/http.h"

namespace beaconsill::net {

struct ServerLimits {
  std::size_t max_connections = 256;       // in all; beyond it the longest idle is closed for the newcomer
  std::size_t max_user_connections = 192;  // of them, those that sent a request the handler calls a user's
  std::size_t max_body = std::size_t{64} * 1024;
  std::size_t max_header = std::size_t{16} * 1024;
  Duration idle = std::chrono::seconds(75);     // between two requests
  Duration receive = std::chrono::seconds(10);  // from the first byte of a request to its last
  Duration send = std::chrono::seconds(10);
};

class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  // May be called once, at any time, on any stack.
  using Reply = std::function<void(Response)>;
  using Handler = std::function<void(Request, Reply)>;
  // Tells requests whose connections count against the users' cap from those of workers and probes.
  using IsUser = std::function<bool(const Request&)>;

  HttpServer(asio::io_context& io, const Tcp::endpoint& at, ServerLimits limits, IsUser is_user,
             Handler handler);
  ~HttpServer();
  void start();
  void stop();
  Tcp::endpoint local() const;
  std::size_t connections() const { return open_.size(); }

 private:
  class Connection;
  void accept();
  bool make_room();

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  ServerLimits limits_;
  IsUser is_user_;
  Handler handler_;
  std::list<std::shared_ptr<Connection>> open_;  // the longest idle first
  std::size_t users_ = 0;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
