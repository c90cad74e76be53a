#include "store/mirror.h"

#include "base/log.h"

namespace beaconsill::store {
namespace {
constexpr std::uint32_t kPage = 400;
}

Mirror::Mirror(asio::io_context& io, const Clock& clock, std::shared_ptr<StoreClient> client, Duration period,
               std::function<void(const View::Touched&)> on_change)
    : io_(io),
      clock_(clock),
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
void Mirror::load(std::string after) {
  bool first = after.empty();
  client_->get(wire::page_target(kPrefix, after, kPage), Urgency::kRole,
               [weak = weak_from_this(), first](ReadResult r) {
                 auto me = weak.lock();
                 if (!me || me->stopped_) return;
                 if (r.outcome == Outcome::kOk) {
                   try {
                     auto page = wire::parse_page(r.body);
                     if (first) me->load_from_ = page.revision;
                     std::string last;
                     for (auto& item : page.items) {
                       last = item.key;
                       wire::Change change{std::move(item.key), std::move(item.value), item.version};
                       if (!me->dropped_later(change)) me->view_.apply(change);
                     }
                     if (page.more && !last.empty()) return me->load(std::move(last));
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
  client_->get(wire::watch_target(kPrefix, ready_ ? revision_ : load_from_, 0), Urgency::kUser,
               [weak = weak_from_this(), begun](ReadResult r) {
                 auto me = weak.lock();
                 if (!me || me->stopped_) return;
                 bool ok = false;
                 if (r.outcome == Outcome::kOk) {
                   try {
                     auto changes = wire::parse_changes(r.body);
                     std::erase_if(changes.changes, [&](const auto& c) { return me->dropped_later(c); });
                     me->view_.apply_all(std::move(changes.changes));
                     me->revision_ = std::max(me->revision_, changes.revision);
                     me->view_.complete_to(me->revision_);
                     std::erase_if(me->own_drops_, [&](const auto& d) { return d.second <= me->revision_; });
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

// A read that began before this node dropped a key may bring an older value of it, and the view keeps no
// version of a key that doesn't exist.
bool Mirror::dropped_later(const wire::Change& c) const {
  auto dropped = own_drops_.find(c.key);
  return dropped != own_drops_.end() && c.version <= dropped->second;
}

// The answer to a transaction may come after reads that went beyond it. What it wrote may have been dropped
// since, and would be back in the view for good: no later read tells of it again. While the content is
// loaded, what was written comes with the pages or with the read after them; and nobody is to be told of jobs
// whose grants are in the view while what was returned of them isn't yet.
void Mirror::apply_own(const wire::Txn& t, Revision r) {
  if (!ready_ || r <= revision_) return;
  for (const auto& w : t.writes) {
    view_.apply({w.key, w.value, r});
    if (!w.value) own_drops_[w.key] = r;
  }
  settle();
}

}  // namespace beaconsill::store
