#include "api/context.h"

#include <utility>

#include "base/log.h"
#include "net/http_status.h"
#include "protocol/api.h"

namespace beaconsill::api {
namespace {

// A write that would wait longer than this for the state store's rate limits is refused at once.
constexpr Duration kMaxWriteWait = std::chrono::milliseconds(500);
// A user's transaction that could not be sent within this time is dropped, because its result would come too
// late for the response to the user (see kResponseTimeout in api.cpp).
constexpr Duration kMaxSendDelay = std::chrono::milliseconds(600);

}  // namespace

bool Context::overloaded() const {
  return store->write_wait(state_store::Urgency::kUserRequest) > kMaxWriteWait;
}

void Context::sync_view(std::function<void(bool synced)> done) const {
  if (!reader->is_responsive()) return done(false);
  reader->sync(std::move(done));
}

void Context::commit(const protocol::Txn& txn, std::function<void(state_store::TxnResult)> done) const {
  reader->commit(txn, state_store::Urgency::kUserRequest, std::move(done), kMaxSendDelay);
}

net::Response retry_later(std::string_view reason, int retry_after_s) {
  spdlog::debug("request_refused reason=\"{}\" seconds={}", reason, retry_after_s);
  return {net::status::kServiceUnavailable, protocol::render_error(reason), retry_after_s};
}

}  // namespace beaconsill::api
