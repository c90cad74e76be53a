// A cache of all keys of the service that watches the state store for changes.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state_store/client.h"
#include "state_store/pending_txns.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

// Keeps a StateView up to date: it loads all keys page by page, and then reads what has changed, periodically
// and on demand. All calls and callbacks are made on the thread of the io_context.
class WatchCache : public StateReader, public std::enable_shared_from_this<WatchCache> {
 public:
  // `period`: between two reads if nobody asks for one. `on_change` is called after changes were applied,
  // with what they touched.
  WatchCache(asio::io_context& io_context, const Clock& clock, std::shared_ptr<StoreClient> client,
             Duration period, std::function<void(const StateView::ChangeSet&)> on_change);
  // Begins to load all keys.
  void start();
  // Calls back all that waits, with false.
  void stop();

  const StateView& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // The view holds all changes up to this one, and more while the content is loaded anew.
  Revision revision() const { return revision_; }
  std::optional<Instant> up_to_date_at() const override { return up_to_date_at_; }

  // Calls while a read is under way share the next one.
  void sync(std::function<void(bool)> done) override;
  bool is_responsive() const override;
  void commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
              Duration queue_wait = kQueueWait) override;
  // Another controller wrote this revision: reads soon unless it's known.
  void on_remote_change(Revision revision);
  void apply_own(const protocol::Txn& txn, Revision revision) override;
  // Cancellations that another controller has read: records of the state store like any other.
  void apply_cancelled(const std::vector<protocol::CancelledJob>& jobs);

 private:
  using SyncCallbacks = std::vector<std::function<void(bool)>>;

  // Reads the page of all keys after `after`, and those that follow it.
  void load(const std::string& after);
  void on_page(const ReadResult& result, bool first);
  // Applies a page; the key to go on after, none: it was the last page. Throws ProtocolError.
  std::optional<std::string> apply_page(const ReadResponse& response, bool first);
  void on_load_failed();
  // Reads the changes since the last read.
  void read();
  void on_read(const ReadResult& result, Instant started);
  // Applies the changes that were read. False: the response can't be used.
  bool apply_result(const ReadResult& result, Instant started);
  void apply_changes(protocol::Changes changes, Instant started);
  void schedule_next_read(bool succeeded);
  // Starts a read, or the load, after a delay.
  void schedule(Duration delay);
  void on_timer();
  // Reads as soon as the last read is long enough ago.
  void read_soon();
  // This controller deleted the key at a later revision.
  bool deleted_later(const protocol::Change& change) const;
  void check_late_responses();
  void on_late_response_timer();
  void finish_syncs(bool succeeded);
  void publish_changes();

  const Clock& clock_;
  std::shared_ptr<StoreClient> client_;
  Duration period_;
  std::function<void(const StateView::ChangeSet&)> on_change_;
  StateView view_;
  asio::steady_timer read_timer_;
  asio::steady_timer late_response_timer_;
  PendingTxns pending_txns_;
  Revision revision_;
  Revision load_revision_;  // as of the first page of the last load
  // Keys that this controller deleted, with the revision of that, while no read has gone beyond it.
  std::map<std::string, Revision> own_deletions_;
  Revision announced_revision_;  // the highest that another controller has announced
  std::optional<Instant> up_to_date_at_;
  SyncCallbacks waiting_syncs_;  // for the next read
  SyncCallbacks active_syncs_;   // for the read under way
  Instant read_started_{};       // of the last read; set once the content is loaded
  int failed_reads_ = 0;         // in a row
  bool late_check_scheduled_ = false;
  bool loaded_ = false;
  bool reading_ = false;  // a read or the load is under way
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
