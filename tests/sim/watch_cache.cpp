#include "sim/watch_cache.h"

namespace beaconsill::sim {

WatchCache::WatchCache(int controller, EventQueue& queue, StateStore& state,
                       std::function<void(const state_store::StateView::ChangeSet&)> on_change)
    : controller_(controller), queue_(queue), state_(state), on_change_(std::move(on_change)) {}

Revision WatchCache::revision() const {
  return known_ ? state_.log()[known_ - 1].revision : Revision();
}

void WatchCache::sync(std::function<void(bool)> done) {
  waiting_.push_back(std::move(done));
  if (reading_) return;
  reading_ = true;
  auto served = std::make_shared<Waiting>(std::move(waiting_));
  waiting_.clear();
  state_.read(controller_, [this, served, begun = queue_.now()](std::optional<std::size_t> upto) {
    if (!upto) return finish(false, *served);
    for (; known_ < *upto; ++known_) view_.apply(state_.log()[known_]);
    synced_at_ = begun;
    ready_ = true;
    publish_changes();
    finish(true, *served);
  });
}

void WatchCache::finish(bool ok, const Waiting& served) {
  reading_ = false;
  for (const auto& done : served) done(ok);
  if (!reading_ && !waiting_.empty()) sync([](bool) {});
}

void WatchCache::publish_changes() {
  auto touched = view_.take_changes();
  if (touched.any()) on_change_(touched);
}

void WatchCache::apply_own_txn(const protocol::Txn& txn, Revision revision) {
  for (const auto& write : txn.writes) view_.apply({write.key, write.value, revision});
  publish_changes();
}

void WatchCache::apply_cancelled(const std::vector<protocol::CancelledJob>& jobs) {
  for (const auto& cancelled : jobs) {
    auto value = state_store::to_json(
        state_store::TerminalRecord{state_store::TerminalState::kCancelled, cancelled.done});
    view_.apply({state_store::terminal_key(cancelled.job), value, cancelled.revision});
  }
  if (ready_) publish_changes();
}

void EndpointReader::sync(std::function<void(bool)> done) {
  if (seeded_bug_ == SeededBug::kNoReadBarrier) return done(true);
  watch_cache_->sync([this, done](bool ok) {
    failed_ |= !ok;
    if (seeded_bug_ == SeededBug::kCallbackLost && failed_) return;
    done(ok || seeded_bug_ == SeededBug::kOutageReadsAsEmpty);
  });
}

}  // namespace beaconsill::sim
