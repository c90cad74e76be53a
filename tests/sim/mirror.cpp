#include "sim/mirror.h"

namespace beaconsill::sim {

Mirror::Mirror(int node, EventQueue& queue, StateService& state, Mistake mistake,
               std::function<void(const store::View::Touched&)> on_change)
    : node_(node), queue_(queue), state_(state), mistake_(mistake), on_change_(std::move(on_change)) {}

Revision Mirror::revision() const {
  return known_ ? state_.log()[known_ - 1].version : Revision();
}

void Mirror::sync(std::function<void(bool)> done) {
  waiting_.push_back(std::move(done));
  if (reading_) return;
  reading_ = true;
  auto served = std::make_shared<Waiting>(std::move(waiting_));
  waiting_.clear();
  state_.read(node_, [this, served, begun = queue_.now()](std::optional<std::size_t> upto) {
    if (!upto) return finish(false, *served);
    for (; known_ < *upto; ++known_) view_.apply(state_.log()[known_]);
    word_ = begun;
    ready_ = true;
    settle();
    finish(true, *served);
  });
}

void Mirror::finish(bool ok, const Waiting& served) {
  reading_ = false;
  for (const auto& done : served) done(ok);
  if (!reading_ && !waiting_.empty()) sync([](bool) {});
}

void Mirror::settle() {
  auto touched = view_.take_touched();
  if (touched.any()) on_change_(touched);
}

void Mirror::apply_own(const wire::Txn& t, Revision r) {
  for (const auto& w : t.writes) view_.apply({w.key, w.value, r});
  settle();
}

void Mirror::apply_cancelled(const std::vector<wire::CancelledJob>& jobs) {
  for (const auto& c : jobs) {
    auto value = store::to_json(store::Ending{store::End::kCancelled, c.done});
    view_.apply({store::end_key(c.job), value, c.revision});
  }
  if (ready_) settle();
}

void EndpointView::sync(std::function<void(bool)> done) {
  if (mistake_ == Mistake::kAnswersUnread) return done(true);
  mirror_->sync([this, done](bool ok) {
    failed_ |= !ok;
    if (mistake_ == Mistake::kCallbackLost && failed_) return;
    done(ok || mistake_ == Mistake::kOutageIsEmpty);
  });
}

}  // namespace beaconsill::sim
