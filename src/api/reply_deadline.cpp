#include "api/reply_deadline.h"

namespace beaconsill::api {

ReplyDeadline::ReplyDeadline(asio::io_context& io_context, Duration timeout, net::Response timeout_response)
    : state_(std::make_shared<State>(io_context, timeout, std::move(timeout_response))) {}

// NOLINTNEXTLINE(bugprone-exception-escape): a timer that is set can always be cancelled without an error.
ReplyDeadline::~ReplyDeadline() {
  state_->pending.clear();
  state_->timer.cancel();
}

void ReplyDeadline::PendingRequest::respond(net::Response response) {
  if (!reply) return;
  auto first_reply = std::move(reply);
  reply = nullptr;
  first_reply(std::move(response));
}

net::HttpServer::Reply ReplyDeadline::with_deadline(net::HttpServer::Reply reply) {
  auto request = std::make_shared<PendingRequest>(
      PendingRequest{std::move(reply), std::chrono::steady_clock::now() + state_->timeout});
  state_->pending.push_back(request);
  arm(state_);
  return [request](net::Response response) { request->respond(std::move(response)); };
}

void ReplyDeadline::arm(const std::shared_ptr<State>& state) {
  if (state->armed || state->pending.empty()) return;
  state->armed = true;
  state->timer.expires_at(state->pending.front()->deadline);
  state->timer.async_wait([state](std::error_code error) {
    state->armed = false;
    if (!error) respond_expired(state);
  });
}

void ReplyDeadline::respond_expired(const std::shared_ptr<State>& state) {
  const auto now = std::chrono::steady_clock::now();
  while (!state->pending.empty() && state->pending.front()->deadline <= now) {
    auto request = std::move(state->pending.front());
    state->pending.pop_front();
    request->respond(state->timeout_response);
  }
  arm(state);
}

}  // namespace beaconsill::api
