#include "sim/state_store.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kLivenessLease = 2;
constexpr double kLivenessExpiryDelay = 0.05;
constexpr double kResponseTimeout = 1.5;
constexpr double kRefusalDelay = 0.02;
}  // namespace

StateStore::StateStore(EventQueue& queue, Network& network, DecisionDigest& decisions,
                       double lost_response_share,
                       std::function<void(const protocol::Write&)> on_write_applied)
    : queue_(queue),
      network_(network),
      decisions_(decisions),
      lost_response_share_(lost_response_share),
      on_write_applied_(std::move(on_write_applied)) {}

bool StateStore::serves(int controller) const {
  auto refused = refused_until_.find(controller);
  return queue_.now() >= outage_until_ &&
         (refused == refused_until_.end() || queue_.now() >= refused->second) &&
         !network_.blocked_path_to_state(controller);
}

bool StateStore::apply(const protocol::Txn& txn, Revision& revision) {
  for (const auto& condition : txn.conditions) {
    const auto* entry = find(condition.key);
    if ((entry ? entry->version : 0) != condition.revision.value()) return false;
  }
  if (txn.writes.empty()) return true;
  ++revision_;
  for (const auto& write : txn.writes) {
    if (write.value) {
      entries_[write.key] = {*write.value, revision_};
    } else {
      entries_.erase(write.key);
    }
    log_.push_back({write.key, write.value, Revision(revision_)});
    on_write_applied_(write);
  }
  revision = Revision(revision_);
  return true;
}

void StateStore::apply_after(double delay, const protocol::Txn& txn) {
  queue_.after(delay, [this, txn] {
    Revision revision;
    apply(txn, revision);
  });
}

double StateStore::draw_path_delay() {
  double delay = queue_.uniform(0.003, 0.012) * (queue_.random_fault(0.02) ? 30 : 1);
  return slow_response_window_.draw_fault(queue_) ? queue_.uniform(0.1, 1.2) : delay;
}

void StateStore::txn(int controller, const protocol::Txn& txn, const OnTxnResult& done) {
  decisions_.on_transaction(controller, txn);
  auto respond = [this, controller, done, incarnation = network_.incarnation(controller)](
                     double delay, state_store::TxnResult result) {
    queue_.after(delay, [this, controller, done, incarnation, result] {
      network_.run(controller, incarnation, CallbackKind::kTransaction, [done, result] { done(result); });
    });
  };
  if (auto cut = network_.blocked_path_to_state(controller); cut && cut->deliver_later) {
    apply_after(cut->until - queue_.now() + queue_.uniform(0, 0.5), txn);
    return respond(kResponseTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (!serves(controller)) return respond(kRefusalDelay, tl::unexpected(state_store::TxnError::kNotExecuted));
  double request_delay = draw_path_delay();
  if (lost_response_window_.draw_fault(queue_)) {
    apply_after(request_delay, txn);
    return respond(kResponseTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (delayed_write_window_.draw_fault(queue_)) {
    apply_after(queue_.uniform(2, 12), txn);
    return respond(kResponseTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (queue_.random_fault(lost_response_share_)) {
    // The response is lost. The transaction is applied on time, up to 60 s late, or never.
    if (!queue_.draw_bool(0.3))
      apply_after(queue_.draw_bool(0.5) ? request_delay : queue_.uniform(1, 60), txn);
    return respond(kResponseTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  double response_delay = draw_path_delay();
  queue_.after(request_delay, [this, txn, respond, request_delay, response_delay] {
    Revision revision;
    bool ok = apply(txn, revision);
    // The response arrives only after the client's timeout, so the client does not learn the result.
    if (request_delay + response_delay > kResponseTimeout)
      return respond(kResponseTimeout - request_delay, tl::unexpected(state_store::TxnError::kUnknown));
    if (!ok) return respond(response_delay, tl::unexpected(state_store::TxnError::kConflict));
    respond(response_delay, revision);
  });
}

void StateStore::read(int controller, const std::function<void(std::optional<std::size_t>)>& done) {
  auto respond = [this, controller, done, incarnation = network_.incarnation(controller)](
                     double delay, std::optional<std::size_t> log_size) {
    queue_.after(delay, [this, controller, done, incarnation, log_size] {
      network_.run(controller, incarnation, CallbackKind::kRead, [done, log_size] { done(log_size); });
    });
  };
  if (auto cut = network_.blocked_path_to_state(controller); cut && cut->deliver_later)
    return respond(kResponseTimeout, std::nullopt);
  if (!serves(controller)) return respond(kRefusalDelay, std::nullopt);
  double request_delay = draw_path_delay();
  double response_delay = draw_path_delay();
  queue_.after(request_delay, [this, controller, respond, response_delay] {
    if (!serves(controller)) return respond(response_delay, std::nullopt);
    respond(response_delay, log_.size());
  });
}

void StateStore::renew_liveness_lease(int controller, const std::string& key) {
  if (!serves(controller)) return;
  lease_until_[controller] = queue_.now() + kLivenessLease;
  if (!find(key)) {
    // The write is bound to the lease and is refused if the lease has expired by the time it arrives.
    queue_.after(draw_path_delay(), [this, controller, key] {
      Revision revision;
      if (queue_.now() < lease_until_[controller] && !find(key))
        apply({{}, {{key, protocol::Json{{"up", true}}, std::nullopt}}}, revision);
    });
  }
  queue_.after(kLivenessLease + kLivenessExpiryDelay,
               [this, controller, key] { expire_liveness_key(controller, key); });
}

void StateStore::expire_liveness_key(int controller, const std::string& key) {
  if (queue_.now() < outage_until_) {
    lease_until_[controller] = outage_until_ + kLivenessLease;  // leases restart in full after an outage
    return queue_.at(outage_until_ + kLivenessLease + kLivenessExpiryDelay,
                     [this, controller, key] { expire_liveness_key(controller, key); });
  }
  if (queue_.now() < lease_until_[controller] || !find(key)) return;
  Revision revision;
  apply({{}, {{key, std::nullopt, std::nullopt}}}, revision);
}

}  // namespace beaconsill::sim
