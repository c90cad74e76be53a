#include "state_store/watch_cache.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace beaconsill::state_store {
namespace {

constexpr std::uint32_t kPageItems = 400;
// A read that takes longer is no use to a request that comes now.
constexpr Duration kSlowRead = std::chrono::milliseconds(400);
// From so many failed reads in a row on, reads are probes.
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
  load("");
}

void WatchCache::stop() {
  stopped_ = true;
  read_timer_.cancel();
  late_response_timer_.cancel();
  finish_syncs(false);
  active_syncs_ = std::move(waiting_syncs_);
  finish_syncs(false);
}

void WatchCache::schedule(Duration delay) {
  if (delay <= Duration(0) && loaded_) {
    read_timer_.cancel();
    reading_ = true;
    return read();
  }
  read_timer_.expires_after(delay);
  read_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    if (auto self = weak.lock(); self && !error) self->on_timer();
  });
}

void WatchCache::on_timer() {
  if (stopped_ || reading_) return;
  reading_ = true;
  if (loaded_) return read();
  view_.clear();
  load("");
}

// Changes made while the pages are read come with the first read after them, which starts from the first
// page's revision.
void WatchCache::load(const std::string& after) {
  const bool first = after.empty();
  client_->get(protocol::page_target(kKeyPrefix, after, kPageItems), Urgency::kElection,
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
  if (next) return load(*next);
  loaded_ = true;
  read();
}

std::optional<std::string> WatchCache::apply_page(const ReadResponse& response, bool first) {
  auto page = protocol::parse_page(response.body);
  if (first) load_revision_ = page.revision;
  std::string last;
  for (auto& item : page.items) {
    last = item.key;
    const protocol::Change change{std::move(item.key), std::move(item.value), item.revision};
    if (!deleted_later(change)) view_.apply(change);
  }
  if (!page.more || last.empty()) return std::nullopt;
  return last;
}

void WatchCache::on_load_failed() {
  reading_ = false;
  active_syncs_.swap(waiting_syncs_);
  finish_syncs(false);
  schedule(period_);
}

void WatchCache::read() {
  const auto started = read_started_ = clock_.now();
  std::swap(active_syncs_, waiting_syncs_);
  const auto target = protocol::watch_target(kKeyPrefix, ready_ ? revision_ : load_revision_, 0);
  client_->get(target, Urgency::kUserRequest, [weak = weak_from_this(), started](const ReadResult& result) {
    if (auto self = weak.lock(); self && !self->stopped_) self->on_read(result, started);
  });
}

void WatchCache::on_read(const ReadResult& result, Instant started) {
  const bool succeeded = apply_result(result, started);
  failed_reads_ = succeeded ? 0 : failed_reads_ + 1;
  if (succeeded) publish_changes();
  reading_ = false;
  finish_syncs(succeeded);
  // A callback may have started the next read.
  if (!stopped_ && !reading_) schedule_next_read(succeeded);
}

bool WatchCache::apply_result(const ReadResult& result, Instant started) {
  if (result == tl::unexpected(ReadError::kCompacted)) {
    spdlog::info("state_store_watch_compacted revision={}", revision_.value());
    loaded_ = ready_ = false;
  }
  if (!result) return false;
  try {
    auto changes = protocol::parse_changes(result->body);
    auto applied = pending_txns_.take_applied(changes.changes);
    apply_changes(std::move(changes), started);
    // As if their responses had come: with the view complete, lest one of them shows a user something older
    // than what was read, and before anybody else is shown the changes.
    for (auto& txn : applied) txn.done(txn.revision);
    return true;
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_changes_malformed reason=\"{}\"", error.what());
    return false;
  }
}

void WatchCache::schedule_next_read(bool succeeded) {
  // A single read may fail by chance: those who wait needn't wait for a whole period.
  if (loaded_ && (!waiting_syncs_.empty() || (succeeded && announced_revision_ > revision_))) {
    read_soon();
  } else {
    schedule(period_);
  }
}

void WatchCache::apply_changes(protocol::Changes changes, Instant started) {
  std::erase_if(changes.changes, [&](const auto& change) { return deleted_later(change); });
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
  if (!reading_) read_soon();
}

bool WatchCache::is_responsive() const {
  if (stopped_ || !loaded_ || !client_->available()) return false;
  return !reading_ || clock_.now() - read_started_ <= kSlowRead;
}

void WatchCache::commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
                        Duration queue_wait) {
  const auto id = pending_txns_.add(txn, std::move(done));
  StoreClient::TxnOptions options;
  options.queue_wait = queue_wait;
  options.on_sent = [weak = weak_from_this(), id] {
    auto self = weak.lock();
    if (!self) return;
    self->pending_txns_.sent(id, self->revision_, self->clock_.now());
    self->check_late_responses();
  };
  auto on_response = [weak = weak_from_this(), id](TxnResult result) {
    auto self = weak.lock();
    if (!self) return;
    if (auto pending_done = self->pending_txns_.take(id)) pending_done(result);
  };
  client_->txn(std::move(txn), urgency, std::move(on_response), std::move(options));
}

// A lost response needn't cost the timeout of its transaction: what was carried out at once can be read. One
// read serves all that are late.
void WatchCache::check_late_responses() {
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
  check_late_responses();
}

// Found on a day with dozens of status requests a second at each controller: read after read took up the
// whole rate limit, and grants waited for seconds. One read serves all who wait.
void WatchCache::read_soon() {
  // While reads fail they are probes: otherwise each status request and each grant that is refused would lead
  // to the next read.
  const auto gap = failed_reads_ < kProbeAfterFailures ? client_->fair_gap() : period_;
  schedule(std::max(Duration(0), read_started_ + gap - clock_.now()));
}

void WatchCache::on_remote_change(Revision revision) {
  announced_revision_ = std::max(announced_revision_, revision);
  if (stopped_ || !loaded_ || reading_ || announced_revision_ <= revision_) return;
  read_soon();
}

// A read that began before this controller deleted a key may bring an older value of it, and the view keeps
// no version of a key that doesn't exist.
bool WatchCache::deleted_later(const protocol::Change& change) const {
  auto deletion = own_deletions_.find(change.key);
  return deletion != own_deletions_.end() && change.revision <= deletion->second;
}

// The response to a transaction may come after reads that went beyond it. What it wrote may have been deleted
// since, and would be back in the view for good: no later read shows it again. While the content is loaded,
// what was written comes with the pages or with the read after them; and nobody may be notified of jobs whose
// grants are in the view while what was released of them isn't yet.
void WatchCache::apply_own(const protocol::Txn& txn, Revision revision) {
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
  // While the view is being loaded it lacks roles as well, and nobody may act on that.
  if (any && ready_) publish_changes();
}

}  // namespace beaconsill::state_store
