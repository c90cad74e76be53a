#include "state_store/watch_cache.h"

#include "base/log.h"

namespace beaconsill::state_store {
namespace {
constexpr std::uint32_t kPage = 400;
// A read that takes longer is no use to a question that comes now.
constexpr Duration kSlowRead = std::chrono::milliseconds(400);
}  // namespace

WatchCache::WatchCache(asio::io_context& io, const Clock& clock, std::shared_ptr<StoreClient> client,
                       Duration period, std::function<void(const StateView::ChangeSet&)> on_change)
    : clock_(clock),
      client_(std::move(client)),
      period_(period),
      on_change_(std::move(on_change)),
      timer_(io),
      late_timer_(io) {}

void WatchCache::start() {
  reading_ = true;
  load("");
}

void WatchCache::stop() {
  stopped_ = true;
  timer_.cancel();
  late_timer_.cancel();
  finish(false);
  served_ = std::move(waiting_);
  finish(false);
}

void WatchCache::schedule(Duration d) {
  if (d <= Duration(0) && loaded_) {
    timer_.cancel();
    reading_ = true;
    return read();
  }
  timer_.expires_after(d);
  timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    auto me = weak.lock();
    if (!me || ec || me->stopped_ || me->reading_) return;
    me->reading_ = true;
    if (me->loaded_) {
      me->read();
    } else {
      me->view_.clear();
      me->load("");
    }
  });
}

// The whole content, page by page. Changes made meanwhile come with the first read, which starts from the
// first page's revision.
void WatchCache::load(const std::string& after) {
  bool first = after.empty();
  client_->get(protocol::page_target(kPrefix, after, kPage), Urgency::kElection,
               [weak = weak_from_this(), first](const ReadResult& r) {
                 auto me = weak.lock();
                 if (!me || me->stopped_) return;
                 if (r.outcome == RequestOutcome::kOk) {
                   try {
                     auto page = protocol::parse_page(r.body);
                     if (first) me->load_from_ = page.revision;
                     std::string last;
                     for (auto& item : page.items) {
                       last = item.key;
                       protocol::Change change{std::move(item.key), std::move(item.value), item.version};
                       if (!me->deleted_later(change)) me->view_.apply(change);
                     }
                     if (page.more && !last.empty()) return me->load(last);
                     me->loaded_ = true;
                     return me->read();
                   } catch (const protocol::ProtocolError& e) {
                     spdlog::error("state service: page dropped: {}", e.what());
                   }
                 }
                 me->reading_ = false;
                 me->served_.swap(me->waiting_);
                 me->finish(false);
                 me->schedule(me->period_);
               });
}

void WatchCache::read() {
  auto begun = begun_ = clock_.now();
  std::swap(served_, waiting_);
  client_->get(protocol::watch_target(kPrefix, ready_ ? revision_ : load_from_, 0), Urgency::kUserRequest,
               [weak = weak_from_this(), begun](const ReadResult& r) {
                 if (auto me = weak.lock(); me && !me->stopped_) me->on_read(r, begun);
               });
}

void WatchCache::on_read(const ReadResult& r, Instant begun) {
  bool ok = false;
  if (r.outcome == RequestOutcome::kOk) {
    try {
      auto changes = protocol::parse_changes(r.body);
      auto applied = open_.take_applied(changes.changes);
      apply_read(std::move(changes), begun);
      ok = true;
      // As if their answers had come: with the view complete, lest one of them tells a user something older
      // than what was read, and before anybody else is shown the changes.
      for (auto& a : applied) a.done({RequestOutcome::kOk, a.revision});
    } catch (const protocol::ProtocolError& e) {
      spdlog::error("state service: changes dropped: {}", e.what());
    }
  } else if (r.status == 410) {
    spdlog::info("state service: changes since {} are gone, loading anew", revision_.value());
    loaded_ = ready_ = false;
  }
  failures_ = ok ? 0 : failures_ + 1;
  if (ok) publish_changes();
  reading_ = false;
  finish(ok);
  if (stopped_ || reading_) return;
  // One that fails may be bad luck: those who wait needn't wait for a whole period.
  if (loaded_ && (!waiting_.empty() || (ok && announced_ > revision_))) {
    read_soon();
  } else {
    schedule(period_);
  }
}

void WatchCache::apply_read(protocol::Changes changes, Instant begun) {
  std::erase_if(changes.changes, [&](const auto& c) { return deleted_later(c); });
  view_.apply_all(std::move(changes.changes));
  revision_ = std::max(revision_, changes.revision);
  view_.complete_to(revision_);
  std::erase_if(own_deletions_, [&](const auto& d) { return d.second <= revision_; });
  as_of_ = begun;
  ready_ = true;
}

void WatchCache::publish_changes() {
  auto touched = view_.take_changes();
  if (touched.any()) on_change_(touched);
}

void WatchCache::finish(bool ok) {
  auto done = std::move(served_);
  served_.clear();
  for (auto& d : done) d(ok);
}

void WatchCache::sync(std::function<void(bool)> done) {
  if (stopped_ || !loaded_) return done(false);
  waiting_.push_back(std::move(done));
  if (!reading_) read_soon();
}

bool WatchCache::is_responsive() const {
  if (stopped_ || !loaded_ || !client_->available()) return false;
  return !reading_ || clock_.now() - begun_ <= kSlowRead;
}

void WatchCache::commit(protocol::Txn t, Urgency u, std::function<void(TxnResult)> done,
                        Duration queue_wait) {
  auto id = open_.add(t, std::move(done));
  StoreClient::TxnOptions options;
  options.queue_wait = queue_wait;
  options.on_sent = [weak = weak_from_this(), id] {
    auto me = weak.lock();
    if (!me) return;
    me->open_.sent(id, me->revision_, me->clock_.now());
    me->check_late_answers();
  };
  auto answered = [weak = weak_from_this(), id](TxnResult r) {
    auto me = weak.lock();
    if (!me) return;
    if (auto waiting = me->open_.take(id)) waiting(r);
  };
  client_->txn(std::move(t), u, std::move(answered), std::move(options));
}

// A lost answer needn't cost the timeout of its transaction: what was carried out at once can be read. One
// read serves all that are late.
void WatchCache::check_late_answers() {
  auto oldest = open_.oldest_sent();
  if (stopped_ || looking_ || !oldest) return;
  looking_ = true;
  auto now = clock_.now();
  auto timeout = client_->answer_timeout();
  late_timer_.expires_at(*oldest + timeout > now ? *oldest + timeout : now + timeout);
  late_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    auto me = weak.lock();
    if (!me || ec || me->stopped_) return;
    me->looking_ = false;
    auto sent = me->open_.oldest_sent();
    if (sent && me->clock_.now() - *sent >= me->client_->answer_timeout()) me->sync([](bool) {});
    me->check_late_answers();
  });
}

// Found on a day with dozens of questions a second at each controller: read after read took up the whole
// limit of requests, and grants waited for seconds. One read serves all who wait.
void WatchCache::read_soon() {
  // While reads fail they are probes: otherwise each question and each grant that is refused would lead to
  // the next read.
  auto gap = failures_ < 2 ? client_->fair_gap() : period_;
  schedule(std::max(Duration(0), begun_ + gap - clock_.now()));
}

void WatchCache::on_remote_change(Revision r) {
  announced_ = std::max(announced_, r);
  if (stopped_ || !loaded_ || reading_ || announced_ <= revision_) return;
  read_soon();
}

// A read that began before this controller dropped a key may bring an older value of it, and the view keeps
// no version of a key that doesn't exist.
bool WatchCache::deleted_later(const protocol::Change& c) const {
  auto dropped = own_deletions_.find(c.key);
  return dropped != own_deletions_.end() && c.version <= dropped->second;
}

// The answer to a transaction may come after reads that went beyond it. What it wrote may have been dropped
// since, and would be back in the view for good: no later read tells of it again. While the content is
// loaded, what was written comes with the pages or with the read after them; and nobody is to be told of jobs
// whose grants are in the view while what was returned of them isn't yet.
void WatchCache::apply_own(const protocol::Txn& t, Revision r) {
  if (!ready_ || r <= revision_) return;
  for (const auto& w : t.writes) {
    view_.apply({w.key, w.value, r});
    if (!w.value) own_deletions_[w.key] = r;
  }
  publish_changes();
}

void WatchCache::apply_cancelled(const std::vector<protocol::CancelledJob>& jobs) {
  bool any = false;
  for (const auto& c : jobs) {
    if (view_.terminal_record(c.job).version >= c.revision) continue;
    view_.apply(
        {terminal_key(c.job), to_json(TerminalRecord{TerminalState::kCancelled, c.done}), c.revision});
    any = true;
  }
  // While the view is being loaded it lacks roles as well, and nobody may act on that.
  if (any && ready_) publish_changes();
}

}  // namespace beaconsill::state_store
