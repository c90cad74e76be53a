#include "api/reply_deadline.h"

namespace beaconsill::api {

ReplyDeadline::ReplyDeadline(asio::io_context& io, Duration limit, net::Response late)
    : state_(std::make_shared<State>(io, limit, std::move(late))) {}

// NOLINTNEXTLINE(bugprone-exception-escape): a timer that is set can always be cancelled.
ReplyDeadline::~ReplyDeadline() {
  state_->open.clear();
  state_->timer.cancel();
}

void ReplyDeadline::Open::answer(net::Response r) {
  if (!reply) return;
  auto to = std::move(reply);
  reply = nullptr;
  to(std::move(r));
}

net::HttpServer::Reply ReplyDeadline::guard(net::HttpServer::Reply reply) {
  auto open =
      std::make_shared<Open>(Open{std::move(reply), std::chrono::steady_clock::now() + state_->limit});
  state_->open.push_back(open);
  arm(state_);
  return [open](net::Response r) { open->answer(std::move(r)); };
}

void ReplyDeadline::arm(const std::shared_ptr<State>& state) {
  if (state->armed || state->open.empty()) return;
  state->armed = true;
  state->timer.expires_at(state->open.front()->deadline);
  state->timer.async_wait([state](std::error_code ec) {
    state->armed = false;
    if (!ec) expire(state);
  });
}

void ReplyDeadline::expire(const std::shared_ptr<State>& state) {
  auto now = std::chrono::steady_clock::now();
  while (!state->open.empty() && state->open.front()->deadline <= now) {
    auto open = std::move(state->open.front());
    state->open.pop_front();
    open->answer(state->late);
  }
  arm(state);
}

}  // namespace beaconsill::api
