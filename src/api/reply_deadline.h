// Enforces a deadline on the responses to HTTP requests.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <utility>

#include "net/http_server.h"

namespace beaconsill::api {

// Responds to requests that are still pending after `timeout`. All requests have the same timeout, so one
// timer serves them in the order of their arrival. Used only on the thread of the io_context.
class ReplyDeadline {
 public:
  // `timeout_response` is sent to requests that are still pending at their deadline.
  ReplyDeadline(asio::io_context& io_context, Duration timeout, net::Response timeout_response);
  ~ReplyDeadline();  // NOLINT(bugprone-exception-escape): see its definition
  ReplyDeadline(const ReplyDeadline&) = delete;
  ReplyDeadline& operator=(const ReplyDeadline&) = delete;

  // Returns a callback that forwards to `reply`. Only the first response is sent, whether it comes from the
  // caller or from the deadline; later ones are dropped.
  net::HttpServer::Reply with_deadline(net::HttpServer::Reply reply);

 private:
  struct PendingRequest {
    net::HttpServer::Reply reply;  // empty once the response was sent
    Instant deadline;
    void respond(net::Response response);
  };
  struct State {
    State(asio::io_context& io_context, Duration request_timeout, net::Response response)
        : timer(io_context), timeout(request_timeout), timeout_response(std::move(response)) {}
    asio::steady_timer timer;
    Duration timeout;
    net::Response timeout_response;
    // The oldest first. Requests stay in the queue until their deadline, even if they have their response.
    std::deque<std::shared_ptr<PendingRequest>> pending;
    bool armed = false;
  };
  static void arm(const std::shared_ptr<State>& state);
  static void respond_expired(const std::shared_ptr<State>& state);

  // Shared with the timer's handler, which may run after this object is destroyed.
  std::shared_ptr<State> state_;
};

}  // namespace beaconsill::api
