// Fake of the watch cache, without a state store: the test writes the contents of its view, and completes its
// pending transactions and reads.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "state_store/watch_cache.h"

namespace beaconsill::fakes {

class WatchCache : public state_store::WatchCache {
 public:
  struct PendingTxn {
    protocol::Txn txn;
    state_store::Urgency urgency;
    std::function<void(state_store::TxnResult)> done;
  };

  WatchCache(asio::io_context& io, const Clock& clock, std::shared_ptr<state_store::StoreClient> client)
      : state_store::WatchCache(io, clock, std::move(client), std::chrono::seconds(1),
                                [](const state_store::StateView::ChangeSet&) {}) {}

  // ---- Interface for tests
  // Writes a key as another controller would. Returns the revision of the change.
  Revision put(const std::string& key, const protocol::Json& value) {
    apply({key, value, next_revision()});
    return revision_;
  }
  void remove(const std::string& key) { apply({key, std::nullopt, next_revision()}); }
  // Pending transactions and reads, oldest first.
  std::vector<PendingTxn> txns;
  std::vector<std::function<void(bool)>> syncs;
  // Revisions of the transactions that were reported by `apply_own_txn`.
  std::vector<Revision> applied;
  // Completes the oldest pending transaction successfully. Returns its revision.
  Revision commit_oldest_txn() {
    auto revision = next_revision();
    take_oldest_txn().done(revision);
    return revision;
  }
  // Completes the oldest pending transaction with an error.
  void fail_oldest_txn(state_store::TxnError error) { take_oldest_txn().done(tl::unexpected(error)); }
  // Completes the oldest pending read; `ok` says whether it succeeded.
  void finish_oldest_sync(bool ok) {
    auto done = std::move(syncs.at(0));
    syncs.erase(syncs.begin());
    done(ok);
  }

  // ---- Implementation of state_store::WatchCache
  const state_store::StateView& view() const override { return view_; }
  bool ready() const override { return true; }
  void sync(std::function<void(bool)> done) override { syncs.push_back(std::move(done)); }
  void commit(protocol::Txn txn, state_store::Urgency urgency,
              std::function<void(state_store::TxnResult)> done, Duration /*queue_wait*/) override {
    txns.push_back({std::move(txn), urgency, std::move(done)});
  }
  void apply_own_txn(const protocol::Txn& txn, Revision revision) override {
    for (const auto& write : txn.writes) apply({write.key, write.value, revision});
    applied.push_back(revision);
  }

 private:
  Revision next_revision() { return revision_ = Revision(revision_.value() + 1); }
  void apply(const protocol::Change& change) {
    view_.apply(change);
    view_.mark_complete_up_to(change.revision);
  }
  PendingTxn take_oldest_txn() {
    auto txn = std::move(txns.at(0));
    txns.erase(txns.begin());
    return txn;
  }

  state_store::StateView view_;
  Revision revision_;
};

}  // namespace beaconsill::fakes
