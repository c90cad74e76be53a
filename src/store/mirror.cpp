#include "store/mirror.h"

#include "base/log.h"

namespace beaconsill::store {
namespace {
constexpr std::uint32_t kPage = 400;
}

Mirror::Mirror(asio::io_context& io, const Clock& clock, std::shared_ptr<StoreClient> client, Duration period,
               std::function<void(const View::Touched&)> on_change)
    : clock_(clock),
      client_(std::move(client)),
      period_(period),
      on_change_(std::move(on_change)),
      timer_(io) {}

void Mirror::start() {
  reading_ = true;
  load("");
}

void Mirror::stop() {
  stopped_ = true;
  timer_.cancel();
  finish(false);
  served_ = std::move(waiting_);
  finish(false);
}

void Mirror::schedule(Duration d) {
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
void Mirror::load(const std::string& after) {
  bool first = after.empty();
  client_->get(wire::page_target(kPrefix, after, kPage), Urgency::kRole,
               [weak = weak_from_this(), first](const ReadResult& r) {
                 auto me = weak.lock();
                 if (!me || me->stopped_) return;
                 if (r.outcome == Outcome::kOk) {
                   try {
                     auto page = wire::parse_page(r.body);
                     if (first) me->revision_ = page.revision;
                     std::string last;
                     for (auto& item : page.items) {
                       last = item.key;
                       me->view_.apply({std::move(item.key), std::move(item.value), item.version});
                     }
                     if (page.more && !last.empty()) return me->load(last);
                     me->loaded_ = true;
                     return me->read();
                   } catch (const wire::WireError& e) {
                     spdlog::error("state service: page dropped: {}", e.what());
                   }
                 }
                 me->reading_ = false;
                 me->served_.swap(me->waiting_);
                 me->finish(false);
                 me->schedule(me->period_);
               });
}

void Mirror::read() {
  auto begun = begun_ = clock_.now();
  std::swap(served_, waiting_);
  client_->get(wire::watch_target(kPrefix, revision_, 0), Urgency::kUser,
               [weak = weak_from_this(), begun](const ReadResult& r) {
                 auto me = weak.lock();
                 if (!me || me->stopped_) return;
                 bool ok = false;
                 if (r.outcome == Outcome::kOk) {
                   try {
                     auto changes = wire::parse_changes(r.body);
                     for (const auto& c : changes.changes) me->view_.apply(c);
                     me->revision_ = std::max(me->revision_, changes.revision);
                     me->word_ = begun;
                     me->ready_ = ok = true;
                   } catch (const wire::WireError& e) {
                     spdlog::error("state service: changes dropped: {}", e.what());
                   }
                 } else if (r.status == 410) {
                   spdlog::info("state service: changes since {} are gone, loading anew",
                                me->revision_.value());
                   me->loaded_ = me->ready_ = false;
                 }
                 if (ok) me->settle();
                 me->reading_ = false;
                 me->finish(ok);
                 if (me->stopped_ || me->reading_) return;
                 bool again = me->loaded_ && (!me->waiting_.empty() || (ok && me->nudged_ > me->revision_));
                 if (again && ok) {
                   me->read_soon();
                 } else {
                   me->schedule(me->period_);
                 }
               });
}

void Mirror::settle() {
  auto touched = view_.take_touched();
  if (touched.any()) on_change_(touched);
}

void Mirror::finish(bool ok) {
  auto done = std::move(served_);
  served_.clear();
  for (auto& d : done) d(ok);
}

void Mirror::sync(std::function<void(bool)> done) {
  if (stopped_ || !loaded_) return done(false);
  waiting_.push_back(std::move(done));
  if (!reading_) read_soon();
}

// Found on a day with dozens of questions a second at each node: read after read took up the whole limit of
// requests, and grants waited for seconds. One read serves all who wait.
void Mirror::read_soon() {
  schedule(std::max(Duration(0), begun_ + client_->fair_gap() - clock_.now()));
}

void Mirror::nudge(Revision r) {
  nudged_ = std::max(nudged_, r);
  if (stopped_ || !loaded_ || reading_ || nudged_ <= revision_) return;
  read_soon();
}

void Mirror::apply_own(const wire::Txn& t, Revision r) {
  for (const auto& w : t.writes) view_.apply({w.key, w.value, r});
  settle();
}

}  // namespace beaconsill::store
