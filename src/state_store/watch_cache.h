// Keeps a View of all keys of the service up to date, and answers "up to date as of now" on demand.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state_store/client.h"
#include "state_store/pending_txns.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

class WatchCache : public StateReader, public std::enable_shared_from_this<WatchCache> {
 public:
  // `on_change` is called after changes were applied, with what they touched.
  WatchCache(asio::io_context& io, const Clock& clock, std::shared_ptr<StoreClient> client, Duration period,
             std::function<void(const StateView::ChangeSet&)> on_change);
  void start();
  void stop();

  const StateView& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // The view holds all changes up to this one, and more while the content is loaded anew.
  Revision revision() const { return revision_; }
  // The view holds all changes that were made before this time.
  Instant as_of() const override { return as_of_; }

  // Calls while a read is under way share the next one.
  void sync(std::function<void(bool)> done) override;
  bool is_responsive() const override;
  void commit(protocol::Txn t, Urgency u, std::function<void(TxnResult)> done,
              Duration queue_wait = kQueueWait) override;
  // Somebody wrote this revision: look soon unless it's known.
  void on_remote_change(Revision r);
  void apply_own(const protocol::Txn& t, Revision r) override;
  // Ends that another controller has read: records of the state store like any other.
  void apply_cancelled(const std::vector<protocol::CancelledJob>& jobs);

 private:
  void load(const std::string& after);
  void read();
  // This controller dropped the key at a later revision.
  bool deleted_later(const protocol::Change& c) const;
  void on_read(const ReadResult& r, Instant begun);
  void apply_read(protocol::Changes changes, Instant begun);
  void check_late_answers();
  void finish(bool ok);
  void publish_changes();
  void schedule(Duration d);
  // Reads as soon as the last read is long enough ago.
  void read_soon();

  const Clock& clock_;
  std::shared_ptr<StoreClient> client_;
  Duration period_;
  std::function<void(const StateView::ChangeSet&)> on_change_;
  StateView view_;
  asio::steady_timer timer_, late_timer_;
  PendingTxns open_;
  Revision revision_;
  Revision load_from_;  // as of the first page of the last load
  std::map<std::string, Revision>
      own_deletions_;  // keys that this controller dropped and no read has gone beyond
  Revision announced_;
  Instant as_of_{};
  std::vector<std::function<void(bool)>> waiting_, served_;
  Instant begun_{};   // the last read
  int failures_ = 0;  // reads in a row
  bool looking_ = false;
  bool loaded_ = false;
  bool reading_ = false;
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
