// Maintains one controller's view of the simulated state store. Simulation counterpart of
// `state_store::WatchCache`.
#pragma once

#include "sim/options.h"
#include "sim/state_store.h"

namespace beaconsill::sim {

class WatchCache : public state_store::StateReader {
 public:
  WatchCache(int controller, EventQueue& queue, StateStore& state,
             std::function<void(const state_store::StateView::ChangeSet&)> on_change);

  const state_store::StateView& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // Reads the changes since the last read and then calls `done`. Calls made while a read is in progress share
  // the next read.
  void sync(std::function<void(bool)> done) override;
  void apply_own_txn(const protocol::Txn& txn, Revision revision) override;
  bool is_responsive() const override { return true; }
  void commit(protocol::Txn txn, state_store::Urgency, std::function<void(state_store::TxnResult)> done,
              Duration) override {
    state_.txn(controller_, txn, done);
  }
  // Applies the terminal records of cancelled jobs that another controller has read and passed on.
  void apply_cancelled(const std::vector<protocol::CancelledJob>& jobs);
  bool is_reading() const { return reading_; }
  // The view includes all changes made before this time.
  std::optional<Instant> up_to_date_at() const override { return EventQueue::instant(synced_at_); }
  double synced_at_s() const { return synced_at_; }
  Revision revision() const;

 private:
  using Callbacks = std::vector<std::function<void(bool)>>;
  void finish_read(bool ok, const Callbacks& callbacks);
  void publish_changes();

  int controller_;
  EventQueue& queue_;
  StateStore& state_;
  std::function<void(const state_store::StateView::ChangeSet&)> on_change_;
  state_store::StateView view_;
  std::size_t applied_changes_ = 0;  // number of entries of the state store's log that were read
  double synced_at_ = -100;
  bool ready_ = false;
  bool reading_ = false;
  Callbacks waiting_callbacks_;
};

// State reader for the API's endpoints. It forwards to the watch cache and injects the seeded bugs that
// concern the endpoints' reads.
class EndpointReader : public state_store::StateReader {
 public:
  EndpointReader(std::shared_ptr<WatchCache> watch_cache, SeededBug seeded_bug)
      : watch_cache_(std::move(watch_cache)), seeded_bug_(seeded_bug) {}
  const state_store::StateView& view() const override { return watch_cache_->view(); }
  bool ready() const override { return watch_cache_->ready(); }
  void sync(std::function<void(bool)> done) override;
  std::optional<Instant> up_to_date_at() const override { return watch_cache_->up_to_date_at(); }
  bool is_responsive() const override { return watch_cache_->is_responsive(); }
  void commit(protocol::Txn txn, state_store::Urgency urgency,
              std::function<void(state_store::TxnResult)> done, Duration queue_wait) override {
    watch_cache_->commit(std::move(txn), urgency, std::move(done), queue_wait);
  }
  void apply_own_txn(const protocol::Txn& txn, Revision revision) override {
    watch_cache_->apply_own_txn(txn, revision);
  }

 private:
  std::shared_ptr<WatchCache> watch_cache_;
  SeededBug seeded_bug_;
  bool read_failed_ = false;
};

// Executes one controller's transactions on the simulated state store.
class Transactions : public state_store::TxnExecutor {
 public:
  Transactions(int controller, StateStore& state) : controller_(controller), state_(state) {}
  void txn(protocol::Txn txn, state_store::Urgency,
           std::function<void(state_store::TxnResult)> done) override {
    state_.txn(controller_, txn, done);
  }
  // The simulated state store has no rate limits.
  Duration write_wait(state_store::Urgency) const override { return Duration(0); }

 private:
  int controller_;
  StateStore& state_;
};

}  // namespace beaconsill::sim
