#include "state_store/watch_cache.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace beaconsill::state_store {
namespace {

constexpr std::uint32_t kMaxPageKeys = 400;
// While a read has been in progress for longer than this, a new user request that needs a read is not
// expected to be answered in time.
constexpr Duration kSlowReadThreshold = std::chrono::milliseconds(400);
// After this many consecutive failed reads, the state store is only probed once per period.
constexpr int kProbeAfterFailures = 2;

}  // namespace

WatchCache::WatchCache(asio::io_context& io_context, const Clock& clock, std::shared_ptr<StoreClient> client,
                       Duration period, std::function<void(const StateView::ChangeSet&)> on_change)
    : clock_(clock),
      client_(std::move(client)),
      period_(period),
      on_change_(std::move(on_change)),
      read_timer_(io_context),
      late_response_timer_(io_context) {}

void WatchCache::start() {
  reading_ = true;
  load_page("");
}

void WatchCache::stop() {
  stopped_ = true;
  read_timer_.cancel();
  late_response_timer_.cancel();
  finish_syncs(false);
  active_syncs_ = std::move(waiting_syncs_);
  finish_syncs(false);
}

void WatchCache::schedule_read(Duration delay) {
  if (delay <= Duration(0) && loaded_) {
    read_timer_.cancel();
    reading_ = true;
    return read_changes();
  }
  read_timer_.expires_after(delay);
  read_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    if (auto self = weak.lock(); self && !error) self->on_read_timer();
  });
}

void WatchCache::on_read_timer() {
  if (stopped_ || reading_) return;
  reading_ = true;
  if (loaded_) return read_changes();
  view_.clear();
  load_page("");
}

// Changes that are made while the pages are read are included in the first read of changes, which starts from
// the revision of the first page.
void WatchCache::load_page(const std::string& after) {
  const bool first = after.empty();
  client_->get(protocol::page_target(kKeyPrefix, after, kMaxPageKeys), Urgency::kElection,
               [weak = weak_from_this(), first](const ReadResult& result) {
                 if (auto self = weak.lock(); self && !self->stopped_) self->on_page(result, first);
               });
}

void WatchCache::on_page(const ReadResult& result, bool first) {
  if (!result) return on_load_failed();
  std::optional<std::string> next;
  try {
    next = apply_page(*result, first);
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_page_malformed reason=\"{}\"", error.what());
    return on_load_failed();
  }
  if (next) return load_page(*next);
  loaded_ = true;
  read_changes();
}

std::optional<std::string> WatchCache::apply_page(const ReadResponse& response, bool first) {
  auto page = protocol::parse_page(response.body);
  if (first) load_revision_ = page.revision;
  std::string last;
  for (auto& item : page.items) {
    last = item.key;
    const protocol::Change change{std::move(item.key), std::move(item.value), item.revision};
    if (!predates_own_deletion(change)) view_.apply(change);
  }
  if (!page.more || last.empty()) return std::nullopt;
  return last;
}

void WatchCache::on_load_failed() {
  reading_ = false;
  active_syncs_.swap(waiting_syncs_);
  finish_syncs(false);
  schedule_read(period_);
}

void WatchCache::read_changes() {
  const auto started = read_started_ = clock_.now();
  std::swap(active_syncs_, waiting_syncs_);
  const auto target = protocol::watch_target(kKeyPrefix, ready_ ? revision_ : load_revision_, 0);
  client_->get(target, Urgency::kUserRequest, [weak = weak_from_this(), started](const ReadResult& result) {
    if (auto self = weak.lock(); self && !self->stopped_) self->on_changes_read(result, started);
  });
}

void WatchCache::on_changes_read(const ReadResult& result, Instant started) {
  const bool succeeded = apply_read_result(result, started);
  failed_reads_ = succeeded ? 0 : failed_reads_ + 1;
  if (succeeded) publish_changes();
  reading_ = false;
  finish_syncs(succeeded);
  // A callback may have started the next read.
  if (!stopped_ && !reading_) schedule_next_read(succeeded);
}

bool WatchCache::apply_read_result(const ReadResult& result, Instant started) {
  if (result == tl::unexpected(ReadError::kCompacted)) {
    spdlog::info("state_store_watch_compacted revision={}", revision_.value());
    loaded_ = ready_ = false;
  }
  if (!result) return false;
  try {
    auto changes = protocol::parse_changes(result->body);
    auto applied = pending_txns_.take_applied(changes.changes);
    apply_changes(std::move(changes), started);
    // The callbacks are called as if the responses had arrived: after the view is updated, so that none of
    // them answers a user with older data than what was read, and before the changes are published to other
    // components.
    for (auto& txn : applied) txn.done(txn.revision);
    return true;
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_changes_malformed reason=\"{}\"", error.what());
    return false;
  }
}

void WatchCache::schedule_next_read(bool succeeded) {
  // A single failure may be transient, so pending syncs should not have to wait for a whole period.
  if (loaded_ && (!waiting_syncs_.empty() || (succeeded && announced_revision_ > revision_))) {
    schedule_early_read();
  } else {
    schedule_read(period_);
  }
}

void WatchCache::apply_changes(protocol::Changes changes, Instant started) {
  std::erase_if(changes.changes, [&](const auto& change) { return predates_own_deletion(change); });
  view_.apply_all(std::move(changes.changes));
  revision_ = std::max(revision_, changes.revision);
  view_.mark_complete_up_to(revision_);
  std::erase_if(own_deletions_, [&](const auto& deletion) { return deletion.second <= revision_; });
  up_to_date_at_ = started;
  ready_ = true;
}

void WatchCache::publish_changes() {
  auto changes = view_.take_changes();
  if (changes.any()) on_change_(changes);
}

void WatchCache::finish_syncs(bool succeeded) {
  for (auto& done : std::exchange(active_syncs_, {})) done(succeeded);
}

void WatchCache::sync(std::function<void(bool)> done) {
  if (stopped_ || !loaded_) return done(false);
  waiting_syncs_.push_back(std::move(done));
  if (!reading_) schedule_early_read();
}

bool WatchCache::is_responsive() const {
  if (stopped_ || !loaded_ || !client_->available()) return false;
  return !reading_ || clock_.now() - read_started_ <= kSlowReadThreshold;
}

void WatchCache::commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
                        Duration queue_wait) {
  const auto id = pending_txns_.add(txn, std::move(done));
  StoreClient::TxnOptions options;
  options.queue_wait = queue_wait;
  options.on_sent = [weak = weak_from_this(), id] {
    auto self = weak.lock();
    if (!self) return;
    self->pending_txns_.mark_sent(id, self->revision_, self->clock_.now());
    self->schedule_late_response_check();
  };
  auto on_response = [weak = weak_from_this(), id](TxnResult result) {
    auto self = weak.lock();
    if (!self) return;
    if (auto pending_done = self->pending_txns_.take(id)) pending_done(result);
  };
  client_->txn(std::move(txn), urgency, std::move(on_response), std::move(options));
}

// A transaction whose response is lost does not have to wait for its timeout: if it was applied at once, a
// read shows that. One read serves all transactions whose responses are late.
void WatchCache::schedule_late_response_check() {
  const auto oldest = pending_txns_.oldest_sent();
  if (stopped_ || late_check_scheduled_ || !oldest) return;
  late_check_scheduled_ = true;
  const auto now = clock_.now();
  const auto timeout = client_->response_timeout();
  late_response_timer_.expires_at(*oldest + timeout > now ? *oldest + timeout : now + timeout);
  late_response_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    if (auto self = weak.lock(); self && !error) self->on_late_response_timer();
  });
}

void WatchCache::on_late_response_timer() {
  if (stopped_) return;
  late_check_scheduled_ = false;
  const auto sent = pending_txns_.oldest_sent();
  if (sent && clock_.now() - *sent >= client_->response_timeout()) sync([](bool) {});
  schedule_late_response_check();
}

// With dozens of status requests per second at each controller, reads that followed each other without a
// pause used up the whole request rate limit, and grants waited for seconds. One read serves all pending
// syncs.
void WatchCache::schedule_early_read() {
  // While reads fail, each one only probes the state store and the next one follows after a whole period.
  // Otherwise each status request and each refused grant would trigger another read.
  const auto interval = failed_reads_ < kProbeAfterFailures ? client_->min_request_interval() : period_;
  schedule_read(std::max(Duration(0), read_started_ + interval - clock_.now()));
}

void WatchCache::on_remote_change(Revision revision) {
  announced_revision_ = std::max(announced_revision_, revision);
  if (stopped_ || !loaded_ || reading_ || announced_revision_ <= revision_) return;
  schedule_early_read();
}

// A read that started before this controller deleted a key may return an older value of it. The view could
// not discard that value by its revision, since it stores no revision for a key that doesn't exist.
bool WatchCache::predates_own_deletion(const protocol::Change& change) const {
  auto deletion = own_deletions_.find(change.key);
  return deletion != own_deletions_.end() && change.revision <= deletion->second;
}

// Ignores a transaction whose revision the reads have already reached, which happens if its response arrives
// late. Keys that it wrote may have been deleted since then; if they were applied, they would stay in the
// view for good, because no later read mentions them again. Also ignores transactions while the content is
// being loaded: the pages or the read after them include the writes, and components must not be notified of
// jobs whose grants are already in the view while their released tasks are not.
void WatchCache::apply_own_txn(const protocol::Txn& txn, Revision revision) {
  if (!ready_ || revision <= revision_) return;
  for (const auto& write : txn.writes) {
    view_.apply({write.key, write.value, revision});
    if (!write.value) own_deletions_[write.key] = revision;
  }
  publish_changes();
}

void WatchCache::apply_cancelled(const std::vector<protocol::CancelledJob>& jobs) {
  bool any = false;
  for (const auto& cancelled : jobs) {
    if (view_.terminal_record(cancelled.job).revision >= cancelled.revision) continue;
    const TerminalRecord record{TerminalState::kCancelled, cancelled.done};
    view_.apply({terminal_key(cancelled.job), to_json(record), cancelled.revision});
    any = true;
  }
  // While the view is being loaded it may also lack roles, and components must not act on that.
  if (any && ready_) publish_changes();
}

}  // namespace beaconsill::state_store
