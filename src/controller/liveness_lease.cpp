#include "controller/liveness_lease.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr std::uint32_t kLeaseTtlMs = 2000;
constexpr Duration kKeepAlivePeriod = std::chrono::milliseconds(500);
}  // namespace

LivenessLease::LivenessLease(ControllerContext& ctx) : ctx_(ctx), timer_(ctx.io_context, [this] { run(); }) {}

void LivenessLease::start() {
  timer_.start(kKeepAlivePeriod);
}

void LivenessLease::stop() {
  timer_.stop();
}

void LivenessLease::run() {
  if (request_pending_) return;
  if (lease_) {
    renew();
  } else {
    grant();
  }
}

void LivenessLease::grant() {
  request_pending_ = true;
  ctx_.store->grant_lease(kLeaseTtlMs, [this](const state_store::ReadResult& result) { on_granted(result); });
}

void LivenessLease::on_granted(const state_store::ReadResult& result) {
  request_pending_ = false;
  if (!result) return;
  try {
    lease_ = protocol::parse_lease(result->body);
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("lease_answer_malformed reason=\"{}\"", error.what());
    return;
  }
  liveness_written_ = false;
  write_liveness();
}

void LivenessLease::renew() {
  request_pending_ = true;
  ctx_.store->renew(*lease_, [this](const state_store::ReadResult& result) { on_renewed(result); });
}

void LivenessLease::on_renewed(const state_store::ReadResult& result) {
  request_pending_ = false;
  if (result == tl::unexpected(state_store::ReadError::kNotFound)) {
    spdlog::info("lease_expired controller={}", ctx_.settings.controller.value());
    lease_.reset();
    run();
    return;
  }
  if (!result) return;
  // The key may have been deleted although the lease is valid. This happens if a transaction by which an
  // earlier process of this controller wrote the key was applied late: it attached the key to the lease of
  // that process, and the key was deleted when that lease expired.
  bool key_missing = ctx_.watch_cache->ready() && !ctx_.view().alive(ctx_.settings.controller);
  if (!liveness_written_ || key_missing) write_liveness();
}

void LivenessLease::write_liveness() {
  if (request_pending_) return;
  request_pending_ = true;
  protocol::Txn txn;
  txn.writes = {{state_store::alive_key(ctx_.settings.controller), state_store::alive_value(), lease_}};
  auto done = [this, txn](state_store::TxnResult result) {
    request_pending_ = false;
    if (result == tl::unexpected(state_store::TxnError::kRejected)) lease_.reset();  // it has expired
    if (!result) return;
    liveness_written_ = true;
    ctx_.watch_cache->apply_own_txn(txn, *result);
  };
  ctx_.store->txn(txn, state_store::Urgency::kElection, std::move(done));
}

}  // namespace beaconsill::controller
