#include "sim/state_service.h"

namespace beaconsill::sim {
namespace {
constexpr double kKeyLease = 2;
constexpr double kKeyLeaseLag = 0.05;
constexpr double kTimeout = 1.5;
constexpr double kRefusal = 0.02;
}  // namespace

StateService::StateService(EventQueue& queue, Network& network, DecisionDigest& decisions,
                           double lost_responses, std::function<void(const protocol::Write&)> on_written)
    : queue_(queue),
      network_(network),
      decisions_(decisions),
      lost_responses_(lost_responses),
      on_written_(std::move(on_written)) {}

bool StateService::answers(int controller) const {
  auto refused = refused_until_.find(controller);
  return queue_.now() >= outage_until_ &&
         (refused == refused_until_.end() || queue_.now() >= refused->second) &&
         !network_.blocked_path_to_state(controller);
}

bool StateService::apply(const protocol::Txn& t, Revision& r) {
  for (const auto& c : t.conditions) {
    const auto* entry = find(c.key);
    if ((entry ? entry->version : 0) != c.revision.value()) return false;
  }
  if (t.writes.empty()) return true;
  ++revision_;
  for (const auto& w : t.writes) {
    if (w.value) {
      entries_[w.key] = {*w.value, revision_};
    } else {
      entries_.erase(w.key);
    }
    log_.push_back({w.key, w.value, Revision(revision_)});
    on_written_(w);
  }
  r = Revision(revision_);
  return true;
}

void StateService::apply_later(double d, const protocol::Txn& t) {
  queue_.after(d, [this, t] {
    Revision r;
    apply(t, r);
  });
}

double StateService::path_delay() {
  double delay = queue_.uniform(0.003, 0.012) * (queue_.random_fault(0.02) ? 30 : 1);
  return slow_.hits(queue_) ? queue_.uniform(0.1, 1.2) : delay;
}

void StateService::txn(int controller, protocol::Txn t, Done done) {
  decisions_.on_transaction(controller, t);
  auto answer = [this, controller, done, incarnation = network_.incarnation(controller)](
                    double d, state_store::TxnResult r) {
    queue_.after(d, [this, controller, done, incarnation, r] {
      network_.run(controller, incarnation, CallbackKind::kTransaction, [done, r] { done(r); });
    });
  };
  if (auto cut = network_.blocked_path_to_state(controller); cut && cut->deliver_later) {
    apply_later(cut->until - queue_.now() + queue_.uniform(0, 0.5), t);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (!answers(controller)) return answer(kRefusal, tl::unexpected(state_store::TxnError::kRefused));
  double there = path_delay();
  if (at_once_.hits(queue_)) {
    apply_later(there, t);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (late_.hits(queue_)) {
    apply_later(queue_.uniform(2, 12), t);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  if (queue_.random_fault(lost_responses_)) {
    // No answer. It's carried out, never, or long after.
    if (!queue_.chance(0.3)) apply_later(queue_.chance(0.5) ? there : queue_.uniform(1, 60), t);
    return answer(kTimeout, tl::unexpected(state_store::TxnError::kUnknown));
  }
  double back = path_delay();
  queue_.after(there, [this, t, answer, there, back] {
    Revision r;
    bool ok = apply(t, r);
    // The answer of a service that took its time comes too late.
    if (there + back > kTimeout)
      return answer(kTimeout - there, tl::unexpected(state_store::TxnError::kUnknown));
    if (!ok) return answer(back, tl::unexpected(state_store::TxnError::kConflict));
    answer(back, r);
  });
}

void StateService::read(int controller, std::function<void(std::optional<std::size_t>)> done) {
  auto answer = [this, controller, done, incarnation = network_.incarnation(controller)](
                    double d, std::optional<std::size_t> upto) {
    queue_.after(d, [this, controller, done, incarnation, upto] {
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

void StateService::renew(int controller, const std::string& key) {
  if (!answers(controller)) return;
  lease_until_[controller] = queue_.now() + kKeyLease;
  if (!find(key)) {
    // It's attached to the lease, and refused once that has expired.
    queue_.after(path_delay(), [this, controller, key] {
      Revision r;
      if (queue_.now() < lease_until_[controller] && !find(key))
        apply({{}, {{key, protocol::Json{{"up", true}}, std::nullopt}}}, r);
    });
  }
  queue_.after(kKeyLease + kKeyLeaseLag, [this, controller, key] { expire(controller, key); });
}

void StateService::expire(int controller, const std::string& key) {
  if (queue_.now() < outage_until_) {
    lease_until_[controller] = outage_until_ + kKeyLease;  // after an outage every lease has its full time
    return queue_.at(outage_until_ + kKeyLease + kKeyLeaseLag,
                     [this, controller, key] { expire(controller, key); });
  }
  if (queue_.now() < lease_until_[controller] || !find(key)) return;
  Revision r;
  apply({{}, {{key, std::nullopt, std::nullopt}}}, r);
}

}  // namespace beaconsill::sim
