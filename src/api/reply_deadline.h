// A bound on how long any request may wait for its response.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <utility>

#include "net/http_server.h"

namespace beaconsill::api {

// Responds to requests that are still pending `limit` after their arrival. All have the same limit, so one
// timer serves them in the order in which they came. Used on the thread of the io_context.
class ReplyDeadline {
 public:
  // `late`: the response at the deadline.
  ReplyDeadline(asio::io_context& io_context, Duration limit, net::Response late);
  ~ReplyDeadline();  // NOLINT(bugprone-exception-escape): see its definition
  ReplyDeadline(const ReplyDeadline&) = delete;
  ReplyDeadline& operator=(const ReplyDeadline&) = delete;

  // The first response goes through, from the caller or at the deadline; later ones are dropped.
  net::HttpServer::Reply guard(net::HttpServer::Reply reply);

 private:
  struct PendingRequest {
    net::HttpServer::Reply reply;  // empty once it was called
    Instant deadline;
    void respond(net::Response response);
  };
  struct State {
    State(asio::io_context& io_context, Duration within, net::Response refusal)
        : timer(io_context), limit(within), late(std::move(refusal)) {}
    asio::steady_timer timer;
    Duration limit;
    net::Response late;
    std::deque<std::shared_ptr<PendingRequest>> pending;  // the oldest first, also some that have a response
    bool armed = false;
  };
  static void arm(const std::shared_ptr<State>& state);
  static void expire(const std::shared_ptr<State>& state);

  // Held by the timer's handler as well, which may run after this object's end.
  std::shared_ptr<State> state_;
};

}  // namespace beaconsill::api
