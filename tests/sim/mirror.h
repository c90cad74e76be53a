// A controller's view of the state store, as `store::Mirror` keeps it.
#pragma once

#include "sim/options.h"
#include "sim/state_service.h"

namespace beaconsill::sim {

class WatchCache : public state_store::StateReader {
 public:
  WatchCache(int controller, EventQueue& queue, StateService& state, Mistake mistake,
             std::function<void(const state_store::StateView::ChangeSet&)> on_change);

  const state_store::StateView& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // Calls while a read is under way share the next one.
  void sync(std::function<void(bool)> done) override;
  void apply_own(const protocol::Txn& t, Revision r) override;
  bool is_responsive() const override { return true; }
  void commit(protocol::Txn t, state_store::Urgency, std::function<void(state_store::TxnResult)> done,
              Duration) override {
    state_.txn(node_, std::move(t), std::move(done));
  }
  // Ends that another controller has read.
  void apply_cancelled(const std::vector<protocol::CancelledJob>& jobs);
  bool reading() const { return reading_; }
  // The view holds all changes that were made before this time.
  Instant as_of() const override { return EventQueue::instant(word_); }
  double word_s() const { return word_; }
  Revision revision() const;

 private:
  using Waiting = std::vector<std::function<void(bool)>>;
  void finish(bool ok, const Waiting& served);
  void publish_changes();

  int node_;
  EventQueue& queue_;
  StateService& state_;
  Mistake mistake_;
  std::function<void(const state_store::StateView::ChangeSet&)> on_change_;
  state_store::StateView view_;
  std::size_t known_ = 0;  // entries of the state store's log that were read
  double word_ = -100;
  bool ready_ = false;
  bool reading_ = false;
  Waiting waiting_;
};

// What the users' endpoints see of it: the place for mistakes of theirs.
class EndpointReader : public state_store::StateReader {
 public:
  EndpointReader(std::shared_ptr<WatchCache> watch_cache, Mistake mistake)
      : watch_cache_(std::move(watch_cache)), mistake_(mistake) {}
  const state_store::StateView& view() const override { return watch_cache_->view(); }
  bool ready() const override { return watch_cache_->ready(); }
  void sync(std::function<void(bool)> done) override;
  Instant as_of() const override { return watch_cache_->as_of(); }
  bool is_responsive() const override { return watch_cache_->is_responsive(); }
  void commit(protocol::Txn t, state_store::Urgency u, std::function<void(state_store::TxnResult)> done,
              Duration queue_wait) override {
    watch_cache_->commit(std::move(t), u, std::move(done), queue_wait);
  }
  void apply_own(const protocol::Txn& t, Revision r) override { watch_cache_->apply_own(t, r); }

 private:
  std::shared_ptr<WatchCache> watch_cache_;
  Mistake mistake_;
  bool failed_ = false;
};

// A controller's transactions.
class Transactions : public state_store::TxnExecutor {
 public:
  Transactions(int controller, StateService& state) : node_(controller), state_(state) {}
  void txn(protocol::Txn t, state_store::Urgency, std::function<void(state_store::TxnResult)> done) override {
    state_.txn(node_, std::move(t), std::move(done));
  }
  // The stand-in has no limits.
  Duration write_wait(state_store::Urgency) const override { return Duration(0); }

 private:
  int node_;
  StateService& state_;
};

}  // namespace beaconsill::sim
