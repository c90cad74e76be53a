#include "sim/state_service.h"

namespace beaconsill::sim {
namespace {
constexpr double kHold = 2;
constexpr double kHoldLag = 0.05;
constexpr double kTimeout = 1.5;
constexpr double kRefusal = 0.02;
}  // namespace

StateService::StateService(EventQueue& queue, Network& network, double lost_answers,
                           std::function<void(const wire::Write&)> on_written)
    : queue_(queue), network_(network), lost_answers_(lost_answers), on_written_(std::move(on_written)) {}

bool StateService::apply(const wire::Txn& t, Revision& r) {
  for (const auto& c : t.conditions) {
    const auto* entry = find(c.key);
    if ((entry ? entry->version : 0) != c.version.value()) return false;
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

void StateService::txn(int node, wire::Txn t, Done done) {
  if (!answers(node)) return network_.later(node, kRefusal, [done] { done(Result::kRefused, Revision()); });
  double way = queue_.uniform(0.003, 0.012) * (queue_.mishap(0.02) ? 30 : 1);
  if (queue_.mishap(lost_answers_)) {
    // No answer. It's carried out, never, or long after.
    double late = queue_.chance(0.3) ? -1 : queue_.chance(0.5) ? way : queue_.uniform(1, 60);
    if (late >= 0)
      queue_.after(late, [this, t] {
        Revision r;
        apply(t, r);
      });
    return network_.later(node, kTimeout, [done] { done(Result::kUnknown, Revision()); });
  }
  queue_.after(way, [this, node, t, done, way, life = network_.life(node)] {
    Revision r;
    bool ok = apply(t, r);
    queue_.after(way, [this, node, done, ok, r, life] {
      if (network_.up(node) && network_.life(node) == life) done(ok ? Result::kOk : Result::kConflict, r);
    });
  });
}

void StateService::read(int node, std::function<void(std::size_t)> done) {
  double way = queue_.uniform(0.003, 0.012);
  queue_.after(way, [this, node, done, way, life = network_.life(node)] {
    auto upto = log_.size();
    queue_.after(way, [this, node, done, upto, life] {
      if (network_.up(node) && network_.life(node) == life) done(upto);
    });
  });
}

void StateService::renew(int node, const std::string& key) {
  if (!answers(node)) return;
  hold_until_[node] = queue_.now() + kHold;
  if (!find(key)) txn(node, {{}, {{key, wire::Json{{"up", true}}, std::nullopt}}}, [](Result, Revision) {});
  queue_.after(kHold + kHoldLag, [this, node, key] { expire(node, key); });
}

void StateService::expire(int node, const std::string& key) {
  if (queue_.now() < outage_until_) {
    hold_until_[node] = outage_until_ + kHold;  // once it's over every hold has its full time
    return queue_.at(outage_until_ + kHold + kHoldLag, [this, node, key] { expire(node, key); });
  }
  if (queue_.now() < hold_until_[node] || !find(key)) return;
  Revision r;
  apply({{}, {{key, std::nullopt, std::nullopt}}}, r);
}

}  // namespace beaconsill::sim
