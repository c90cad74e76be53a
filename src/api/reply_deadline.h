// A bound on how long any request may wait for its answer.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "net/http_server.h"

namespace beaconsill::api {

// Answers requests that are still open `limit` after their arrival. All have the same limit, so one timer
// serves them in the order in which they came.
class ReplyDeadline {
 public:
  ReplyDeadline(asio::io_context& io, Duration limit, net::Response late);
  ~ReplyDeadline();  // NOLINT(bugprone-exception-escape): see its definition
  ReplyDeadline(const ReplyDeadline&) = delete;
  ReplyDeadline& operator=(const ReplyDeadline&) = delete;

  // The first answer goes through, from the caller or at the deadline; later ones are dropped.
  net::HttpServer::Reply guard(net::HttpServer::Reply reply);

 private:
  struct Open {
    net::HttpServer::Reply reply;  // empty once it was called
    Instant deadline;
    void answer(net::Response r);
  };
  struct State {
    State(asio::io_context& io, Duration within, net::Response refusal)
        : timer(io), limit(within), late(std::move(refusal)) {}
    asio::steady_timer timer;
    Duration limit;
    net::Response late;
    std::deque<std::shared_ptr<Open>> open;  // the oldest first, also some that were answered
    bool armed = false;
  };
  static void arm(const std::shared_ptr<State>& state);
  static void expire(const std::shared_ptr<State>& state);

  // Held by the timer's handler as well, which may run after this object's end.
  std::shared_ptr<State> state_;
};

}  // namespace beaconsill::api
