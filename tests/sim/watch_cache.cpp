#include "sim/watch_cache.h"

namespace beaconsill::sim {

WatchCache::WatchCache(int controller, EventQueue& queue, StateStore& state,
                       std::function<void(const state_store::StateView::ChangeSet&)> on_change)
    : controller_(controller), queue_(queue), state_(state), on_change_(std::move(on_change)) {}

Revision WatchCache::revision() const {
  return applied_changes_ ? state_.log()[applied_changes_ - 1].revision : Revision();
}

void WatchCache::sync(std::function<void(bool)> done) {
  waiting_callbacks_.push_back(std::move(done));
  if (reading_) return;
  reading_ = true;
  auto callbacks = std::make_shared<Callbacks>(std::move(waiting_callbacks_));
  waiting_callbacks_.clear();
  state_.read(controller_, [this, callbacks, started_at = queue_.now()](std::optional<std::size_t> log_size) {
    if (!log_size) return finish_read(false, *callbacks);
    for (; applied_changes_ < *log_size; ++applied_changes_) view_.apply(state_.log()[applied_changes_]);
    synced_at_ = started_at;
    ready_ = true;
    publish_changes();
    finish_read(true, *callbacks);
  });
}

void WatchCache::finish_read(bool ok, const Callbacks& callbacks) {
  reading_ = false;
  for (const auto& done : callbacks) done(ok);
  if (!reading_ && !waiting_callbacks_.empty()) sync([](bool) {});
}

void WatchCache::publish_changes() {
  auto changes = view_.take_changes();
  if (changes.any()) on_change_(changes);
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
    read_failed_ |= !ok;
    if (seeded_bug_ == SeededBug::kCallbackLost && read_failed_) return;
    done(ok || seeded_bug_ == SeededBug::kOutageReadsAsEmpty);
  });
}

}  // namespace beaconsill::sim
