// A controller's view of the state service, as `store::Mirror` keeps it.
#pragma once

#include "sim/options.h"
#include "sim/state_service.h"

namespace beaconsill::sim {

class Mirror : public store::ViewSource {
 public:
  Mirror(int node, EventQueue& queue, StateService& state, Mistake mistake,
         std::function<void(const store::View::Touched&)> on_change);

  const store::View& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // Calls while a read is under way share the next one.
  void sync(std::function<void(bool)> done) override;
  void apply_own(const wire::Txn& t, Revision r) override;
  bool answers() const override { return true; }
  void commit(wire::Txn t, store::Urgency, std::function<void(store::TxnResult)> done, Duration) override {
    state_.txn(node_, std::move(t), std::move(done));
  }
  // Ends that another controller has read.
  void apply_cancelled(const std::vector<wire::CancelledJob>& jobs);
  bool reading() const { return reading_; }
  // The view holds all changes that were made before this time.
  Instant as_of() const override { return EventQueue::instant(word_); }
  double word_s() const { return word_; }
  Revision revision() const;

 private:
  using Waiting = std::vector<std::function<void(bool)>>;
  void finish(bool ok, const Waiting& served);
  void settle();

  int node_;
  EventQueue& queue_;
  StateService& state_;
  Mistake mistake_;
  std::function<void(const store::View::Touched&)> on_change_;
  store::View view_;
  std::size_t known_ = 0;  // entries of the state service's log that were read
  double word_ = -100;
  bool ready_ = false;
  bool reading_ = false;
  Waiting waiting_;
};

// What the users' endpoints see of it: the place for mistakes of theirs.
class EndpointView : public store::ViewSource {
 public:
  EndpointView(std::shared_ptr<Mirror> mirror, Mistake mistake)
      : mirror_(std::move(mirror)), mistake_(mistake) {}
  const store::View& view() const override { return mirror_->view(); }
  bool ready() const override { return mirror_->ready(); }
  void sync(std::function<void(bool)> done) override;
  Instant as_of() const override { return mirror_->as_of(); }
  bool answers() const override { return mirror_->answers(); }
  void commit(wire::Txn t, store::Urgency u, std::function<void(store::TxnResult)> done,
              Duration queue_wait) override {
    mirror_->commit(std::move(t), u, std::move(done), queue_wait);
  }
  void apply_own(const wire::Txn& t, Revision r) override { mirror_->apply_own(t, r); }

 private:
  std::shared_ptr<Mirror> mirror_;
  Mistake mistake_;
  bool failed_ = false;
};

// A controller's transactions.
class Transactions : public store::TxnSink {
 public:
  Transactions(int node, StateService& state) : node_(node), state_(state) {}
  void txn(wire::Txn t, store::Urgency, std::function<void(store::TxnResult)> done) override {
    state_.txn(node_, std::move(t), std::move(done));
  }
  // The stand-in has no limits.
  Duration write_wait(store::Urgency) const override { return Duration(0); }

 private:
  int node_;
  StateService& state_;
};

}  // namespace beaconsill::sim
