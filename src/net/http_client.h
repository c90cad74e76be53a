// HTTP/1.1 client of one destination: a few kept connections, a queue, a deadline for each request.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "net/http.h"

namespace beaconsill::net {

// Why a request has no response.
enum class RequestError {
  kNotSent,     // it was never executed, and won't be
  kNoResponse,  // it was sent: it may have been executed, or may still be
};

using Result = tl::expected<Response, RequestError>;

// Used on the thread of the io_context.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(Result)>;
  HttpClient(asio::io_context& io_context, Tcp::endpoint remote, std::size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // `target`: path and query. `done` is called once, within `timeout`, and never before this returns.
  void request(const std::string& method, const std::string& target, const std::string& body,
               Duration timeout, Callback done);
  // Closes everything; requests under way are called back without a response.
  void stop();

 private:
  class Connection;
  struct PendingRequest {
    std::string text;
    Instant deadline;
    Callback done;
  };
  std::string format(const std::string& method, const std::string& target, const std::string& body) const;
  // Gives queued requests to connections, as far as there are free ones.
  void dispatch();
  // A connection that is free; null: all are in use.
  std::shared_ptr<Connection> free_connection();
  // Queued requests expire by themselves, all in one timer.
  void arm_expiry();
  void expire();
  // The connection is free, or closed.
  void release(Connection* connection);

  asio::io_context& io_;
  Tcp::endpoint to_;
  std::size_t max_connections_;
  asio::steady_timer expiry_timer_;
  std::deque<PendingRequest> queue_;
  std::vector<std::shared_ptr<Connection>> connections_;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
