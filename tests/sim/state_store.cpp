#include "sim/state_store.h"

namespace beaconsill::sim {
namespace {
constexpr double kKeyLease = 2;
constexpr double kKeyLeaseLag = 0.05;
constexpr double kTimeout = 1.5;
constexpr double kRefusal = 0.02;
}  // namespace

StateStore::StateStore(EventQueue& queue, Network& network, DecisionDigest& decisions, double lost_responses,
                       std::function<void(const protocol::Write&)> on_written)
    : queue_(queue),
      network_(network),
      decisions_(decisions),
      lost_responses_(lost_responses),
      on_written_(std::move(on_written)) {}

bool StateStore::answers(int controller) const {
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
    on_written_(write);
  }
  revision = Revision(revision_);
  return true;
}

void StateStore::apply_later(double delay, const protocol::Txn& txn) {
  queue_.after(delay, [this, txn] {
    Revision revision;
    apply(txn, revision);
  });
}

double StateStore::path_delay() {
  double delay = queue_.uniform(0.003, 0.012) * (queue_.random_fault(0.02) ? 30 : 1);
  return slow_window_.hits(queue_) ? queue_.uniform(0.1, 1.2) : delay;
}

void StateStore::txn(int controller, const protocol::Txn& txn, const Done& done) {
  decisions_.on_transaction(controller, txn);
  auto answer = [this, controller, done, incarnation = network_.incarnation(controller)](
                    double delay, state_store::TxnResult result) {
    queue_.after(delay, [this, controller, done, incarnation, result] {
      network_.run(controller, incarnation, CallbackKind::kTransaction, [done, result] { done(result); });
    });
  };
  if (auto cut = network_.blocked_path_to_state(controller); cut && cut->deliver_later) {
    apply_later(cut->until - queue_.now() + queue_.uniform(0, 0.5), txn);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (!answers(controller)) return answer(kRefusal, tl::unexpected(state_store::TxnError::kNotExecuted));
  double there = path_delay();
  if (lost_response_window_.hits(queue_)) {
    apply_later(there, txn);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (late_write_window_.hits(queue_)) {
    apply_later(queue_.uniform(2, 12), txn);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (queue_.random_fault(lost_responses_)) {
    // No answer. It's carried out, never, or long after.
    if (!queue_.chance(0.3)) apply_later(queue_.chance(0.5) ? there : queue_.uniform(1, 60), txn);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  double back = path_delay();
  queue_.after(there, [this, txn, answer, there, back] {
    Revision revision;
    bool ok = apply(txn, revision);
    // The answer of a service that took its time comes too late.
    if (there + back > kTimeout)
      return answer(kTimeout - there, tl::unexpected(state_store::TxnError::kUnknown));
    if (!ok) return answer(back, tl::unexpected(state_store::TxnError::kConflict));
    answer(back, revision);
  });
}

void StateStore::read(int controller, const std::function<void(std::optional<std::size_t>)>& done) {
  auto answer = [this, controller, done, incarnation = network_.incarnation(controller)](
                    double delay, std::optional<std::size_t> upto) {
    queue_.after(delay, [this, controller, done, incarnation, upto] {
      network_.run(controller, incarnation, CallbackKind::kRead, [done, upto] { done(upto); });
    });
  };
  if (auto cut = network_.blocked_path_to_state(controller); cut && cut->deliver_later)
    return answer(kTimeout, std::nullopt);
  if (!answers(controller)) return answer(kRefusal, std::nullopt);
  double there = path_delay();
  double back = path_delay();
  queue_.after(there, [this, controller, answer, back] {
    if (!answers(controller)) return answer(back, std::nullopt);
    answer(back, log_.size());
  });
}

void StateStore::renew(int controller, const std::string& key) {
  if (!answers(controller)) return;
  lease_until_[controller] = queue_.now() + kKeyLease;
  if (!find(key)) {
    // It's attached to the lease, and refused once that has expired.
    queue_.after(path_delay(), [this, controller, key] {
      Revision revision;
      if (queue_.now() < lease_until_[controller] && !find(key))
        apply({{}, {{key, protocol::Json{{"up", true}}, std::nullopt}}}, revision);
    });
  }
  queue_.after(kKeyLease + kKeyLeaseLag, [this, controller, key] { expire(controller, key); });
}

void StateStore::expire(int controller, const std::string& key) {
  if (queue_.now() < outage_until_) {
    lease_until_[controller] = outage_until_ + kKeyLease;  // after an outage every lease has its full time
    return queue_.at(outage_until_ + kKeyLease + kKeyLeaseLag,
                     [this, controller, key] { expire(controller, key); });
  }
  if (queue_.now() < lease_until_[controller] || !find(key)) return;
  Revision revision;
  apply({{}, {{key, std::nullopt, std::nullopt}}}, revision);
}

}  // namespace beaconsill::sim
