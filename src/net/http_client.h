// HTTP/1.1 client for a single destination, with persistent connections, a request queue and a deadline for
// each request.
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

// The reason why a request has no response. It indicates whether the request may have been executed.
enum class RequestError {
  kNotSent,     // the request was not sent, so it has not been and will not be executed
  kNoResponse,  // the request was sent; it may have been executed, or may be executed later
};

using Result = tl::expected<Response, RequestError>;

// Sends each request over one of at most `max_connections` connections and queues requests while all are
// busy. Must only be used on the thread of the io_context.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(Result)>;
  HttpClient(asio::io_context& io_context, Tcp::endpoint remote, std::size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // Sends a request. `target` consists of the path and the query. `done` is called exactly once, within
  // `timeout`, and never before this function returns.
  void request(const std::string& method, const std::string& target, const std::string& body,
               Duration timeout, Callback done);
  // Closes all connections. The callbacks of pending requests are called with an error.
  void stop();

 private:
  class Connection;
  struct PendingRequest {
    std::string text;
    Instant deadline;
    Callback done;
  };
  std::string format(const std::string& method, const std::string& target, const std::string& body) const;
  // Assigns queued requests to idle connections, and opens new connections up to the limit.
  void dispatch();
  // Returns an idle or a new connection. Returns nullptr if all connections are busy and the limit is
  // reached.
  std::shared_ptr<Connection> find_idle_connection();
  // Sets the timer to the earliest deadline of the queued requests. One timer serves all of them.
  void arm_expiry_timer();
  // Removes the queued requests whose deadline has passed, and calls back with kNotSent.
  void expire_queued_requests();
  // Called by a connection that has become idle or closed. Dispatches queued requests.
  void release(Connection* connection);

  asio::io_context& io_;
  Tcp::endpoint remote_;
  std::size_t max_connections_;
  asio::steady_timer expiry_timer_;
  std::deque<PendingRequest> queue_;
  std::vector<std::shared_ptr<Connection>> connections_;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
