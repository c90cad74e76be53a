// A cache of all keys that this service has in the state store, updated by watching the state store for
// changes.
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

// Keeps a StateView up to date: loads all keys page by page, and then reads the changes periodically and on
// demand. All calls and callbacks are made on the thread of the io_context.
class WatchCache : public StateReader, public std::enable_shared_from_this<WatchCache> {
 public:
  // `period`: the interval between reads if none is requested. `on_change` is called after changes were
  // applied, with the jobs, roles and shards that they affect.
  WatchCache(asio::io_context& io_context, const Clock& clock, std::shared_ptr<StoreClient> client,
             Duration period, std::function<void(const StateView::ChangeSet&)> on_change);
  // Starts to load all keys.
  void start();
  // Stops all reads, and calls the callbacks of all syncs that have not finished with false.
  void stop();

  const StateView& view() const override { return view_; }
  bool ready() const override { return ready_; }
  // The view contains all changes up to this revision. While the content is reloaded it may contain later
  // ones.
  Revision revision() const { return revision_; }
  std::optional<Instant> up_to_date_at() const override { return up_to_date_at_; }

  // Calls that are made while a read is in progress share the next read.
  void sync(std::function<void(bool)> done) override;
  bool is_responsive() const override;
  void commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
              Duration queue_wait = kQueueWait) override;
  // Handles the announcement that another controller wrote this revision: schedules a read unless the
  // revision has already been read.
  void on_remote_change(Revision revision);
  void apply_own_txn(const protocol::Txn& txn, Revision revision) override;
  // Applies the records of cancellations that another controller has read from the state store.
  void apply_cancelled(const std::vector<protocol::CancelledJob>& jobs);

 private:
  using SyncCallbacks = std::vector<std::function<void(bool)>>;

  // Reads the page of keys that follow the key `after`, and then the pages after it.
  void load_page(const std::string& after);
  void on_page(const ReadResult& result, bool first);
  // Applies a page. Returns the key after which the next page starts, or std::nullopt if this was the last
  // page. Throws ProtocolError.
  std::optional<std::string> apply_page(const ReadResponse& response, bool first);
  void on_load_failed();
  // Reads the changes since the last read.
  void read_changes();
  void on_changes_read(const ReadResult& result, Instant started);
  // Applies the changes that were read. Returns false if the read failed or its response is malformed.
  bool apply_read_result(const ReadResult& result, Instant started);
  void apply_changes(protocol::Changes changes, Instant started);
  void schedule_next_read(bool succeeded);
  // Starts a read of the changes, or a load of all keys if they are not loaded, after a delay.
  void schedule_read(Duration delay);
  void on_read_timer();
  // Schedules a read as early as the minimum interval since the last read allows.
  void schedule_early_read();
  // Returns whether the change is not newer than a deletion of the same key by this controller.
  bool predates_own_deletion(const protocol::Change& change) const;
  // Starts the timer that triggers a read once the oldest pending transaction's response is late.
  void schedule_late_response_check();
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
  // Keys that this controller deleted, with the revision of the deletion, until a read has reached that
  // revision.
  std::map<std::string, Revision> own_deletions_;
  Revision announced_revision_;  // the highest revision that another controller has announced
  std::optional<Instant> up_to_date_at_;
  SyncCallbacks waiting_syncs_;  // for the next read
  SyncCallbacks active_syncs_;   // for the read in progress
  Instant read_started_{};       // start of the last read of changes
  int failed_reads_ = 0;         // consecutive
  bool late_check_scheduled_ = false;
  bool loaded_ = false;
  bool reading_ = false;  // a read or the load is in progress
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
