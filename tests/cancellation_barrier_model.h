// Three controllers, the state store and the links between them as a seeded model: messages are lost, held,
// repeated and reordered, controllers are cut off, end, stand still and come back, their clocks drift. The
// checker knows the true time of each disclosure and what each controller knows.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>

#include "shard/cancellation_barrier.h"

namespace beaconsill::model {

using shard::CancellationBarrier;
constexpr std::size_t kNodes = 3;
// True times are milliseconds since the start.
using Ms = std::int64_t;
constexpr Ms kStep = 20;
constexpr Ms kLength = 240'000;
constexpr Ms kHeartbeatPeriod = 500;
constexpr Ms kReadPeriod = 400;
constexpr Ms kLease = 17'500;
constexpr Ms kCancelLimit = 47'500;
constexpr Ms kPromise = (kCancelLimit - kLease) / 4;
// Without news of cancellations for longer than this a controller answers no worker ...
constexpr Ms kAnswerLimit = kCancelLimit - kLease - 1000;
// ... and after a disclosure an owner that doesn't know of it may answer for no longer than this.
constexpr Ms kBroken = kCancelLimit - kLease - 500;

enum class Mistake {
  kNone,
  kNoAcknowledgement,       // a cancellation is disclosed at once
  kPromiseForgotten,        // a restarted process doesn't keep the promises of the one before
  kCountedFromReceipt,      // a promise counts from when it's received
  kNotReadyCountedAsReady,  // a controller that hasn't read everything says that it lists all
  kAcknowledgedUnread,      // what a heartbeat lists is acknowledged and not applied
  kAlwaysComplete,          // a heartbeat with a part of what is cancelled says that it has all
};

struct Options {
  std::uint64_t seed = 1;
  Mistake mistake = Mistake::kNone;
  bool state_only = false;  // controllers stay up and in touch with each other; the state store does not
};

struct Result {
  std::string broken;  // the first rule broken, empty if none
  int disclosed = 0;
  int refused = 0;
  int disclosed_unknown = 0;  // to an owner that didn't know
  int restarts = 0;
  Ms oldest_news = 0;         // of cancellations at any controller, after the first seconds
  Ms slowest_disclosure = 0;  // from when any controller knew of it until the first user was told
};

class Model {
 public:
  explicit Model(Options o) : options_(o), random_(o.seed) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      controllers_[i].rate = 1 + 0.00025 * (uniform() * 2 - 1);
      controllers_[i].offset = static_cast<Ms>(uniform() * 1e9);
      begin(i);
    }
    plan();
  }

  Result run() {
    for (now_ = 0; now_ < kLength; now_ += kStep) {
      for (std::size_t i = 0; i < kNodes; ++i) step(i);
      users();
      check();
    }
    return result_;
  }

 private:
  struct Controller {
    double rate = 1;
    Ms offset = 0;
    std::unique_ptr<CancellationBarrier> cancellation_sync;
    std::uint64_t sequence = 0;
    std::set<protocol::CancelledJob> view;
    std::vector<bool> stopped;  // by revision: the tasks of these jobs are stopped
    bool ready = false;
    Revision read_until;
    Instant as_of{};
    Ms down_until = 0, frozen_until = 0, next_beat = 0, next_read = 0;
    std::array<bool, kNodes> schedule_heartbeat{};
    struct Read {
      Ms snapshot = 0, answer = 0;
      Instant begun;
      std::size_t seen = 0;
      bool taken = false, refused = false;
    };
    std::optional<Read> read;
    std::map<std::uint64_t, Instant> sent;
  };
  struct Message {
    std::size_t from, to;
    Ms at;
    protocol::Heartbeat heartbeat;
  };
  enum class Kind { kOutage, kStateCut, kLinkDrop, kLinkHold, kEnd, kFreeze, kReload };
  struct Trouble {
    Kind kind;
    Ms from, until;
    std::size_t controller = 0, other = 0;
  };
  struct Asked {
    protocol::CancelledJob job;
    Ms written;
    Ms next;
    int acknowledged_until = 0;
  };
  struct Disclosed {
    std::size_t revision;
    Ms at;
  };

  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Ms between(Ms a, Ms b) { return std::uniform_int_distribution<Ms>(a, b)(random_); }
  bool chance(double p) { return uniform() < p; }
  std::size_t any_node() { return static_cast<std::size_t>(between(0, kNodes - 1)); }
  static ControllerName name(std::size_t i) {
    return ControllerName(std::string(1, static_cast<char>('a' + i)));
  }
  Instant clock(const Controller& n) const {
    auto ms = static_cast<double>(now_) * n.rate + static_cast<double>(n.offset);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
  }
  CancellationBarrier::Known known(const Controller& n) const { return {n.ready, n.read_until, n.view}; }

  // A new process.
  void begin(std::size_t i) {
    auto& n = controllers_[i];
    std::vector<ControllerName> peers;
    for (std::size_t k = 0; k < kNodes; ++k)
      if (k != i) peers.push_back(name(k));
    CancellationBarrier::Params params;
    params.read_lease = std::chrono::milliseconds(kPromise);
    params.contact_timeout = std::chrono::milliseconds(1700);
    params.max_listed = options_.seed % 3 == 0 ? 2 : 128;
    auto started = clock(n);
    if (options_.mistake == Mistake::kPromiseForgotten) started -= 2 * params.read_lease;
    n.cancellation_sync = std::make_unique<CancellationBarrier>(params, peers, started);
    n.sequence = static_cast<std::uint64_t>(now_ + n.offset) << 16;
    n.view.clear();
    n.stopped.clear();
    n.ready = false;
    n.read_until = {};
    n.as_of = {};
    n.read.reset();
    n.sent.clear();
    n.schedule_heartbeat = {};
    n.next_beat = n.next_read = now_;
  }

  void plan();
  void add(Kind kind, Ms from, Ms length, std::size_t controller = 0, std::size_t other = 0) {
    troubles_.push_back({kind, from, from + length, controller, other});
  }
  bool active(const Trouble& t) const { return t.from <= now_ && now_ < t.until; }
  bool state_answers(std::size_t i) const {
    return std::none_of(troubles_.begin(), troubles_.end(), [&](const Trouble& t) {
      return active(t) && (t.kind == Kind::kOutage || (t.kind == Kind::kStateCut && t.controller == i));
    });
  }
  // Until when messages are held; none: they pass. A lost one is held for ever.
  std::optional<Ms> held(std::size_t from, std::size_t to) const {
    for (const auto& t : troubles_) {
      if (!active(t) || t.controller != from || t.other != to) continue;
      if (t.kind == Kind::kLinkDrop) return kLength;
      if (t.kind == Kind::kLinkHold) return t.until;
    }
    return std::nullopt;
  }

  void step(std::size_t i) {
    auto& n = controllers_[i];
    for (const auto& t : troubles_) {
      if (t.controller != i || t.from != now_) continue;
      if (t.kind == Kind::kEnd) end(i, t.until);
      if (t.kind == Kind::kFreeze) n.frozen_until = std::max(n.frozen_until, t.until);
      if (t.kind == Kind::kReload) n.view.clear(), n.ready = false, n.read.reset();
    }
    if (n.read && !n.read->taken && now_ >= n.read->snapshot) {
      n.read->taken = true;
      n.read->refused = !state_answers(i);
      n.read->seen = ends_.size();
    }
    if (now_ < n.down_until || now_ < n.frozen_until) return;
    if (!n.cancellation_sync) begin(i), ++result_.restarts;
    receive(i);
    read(n);
    beat(i);
  }

  void end(std::size_t i, Ms until) {
    controllers_[i].down_until = until;
    controllers_[i].frozen_until = 0;
    controllers_[i].cancellation_sync.reset();
    std::erase_if(writing_, [&](const auto& w) { return w.first == i; });
  }

  void learn(Controller& n, const protocol::CancelledJob& job) {
    if (!n.view.insert(job).second) return;
    known_since_.emplace(job.revision, now_);
    if (!n.ready) return;
    stop(n, job);
    for (std::size_t k = 0; k < kNodes; ++k)
      if (&controllers_[k] != &n && n.cancellation_sync->lacks_cancellations(name(k), known(n)))
        n.schedule_heartbeat[k] = true;
  }
  static void stop(Controller& n, const protocol::CancelledJob& job) {
    if (n.stopped.size() <= job.revision.value()) n.stopped.resize(job.revision.value() + 64);
    n.stopped[job.revision.value()] = true;
  }

  void read(Controller& n) {
    if (!n.read) {
      if (now_ < n.next_read) return;
      auto snapshot = now_ + between(0, 60);
      n.read =
          Controller::Read{snapshot, snapshot + (chance(0.05) ? between(0, 800) : between(0, 40)), clock(n)};
      return;
    }
    if (!n.read->taken || now_ < n.read->answer) return;
    auto r = *n.read;
    n.read.reset();
    n.next_read = now_ + kReadPeriod;
    if (r.refused) return;
    for (auto k = n.ready ? n.read_until.value() : 0; k < r.seen; ++k) learn(n, ends_[k]);
    n.read_until = std::max(n.read_until, Revision(r.seen));
    n.as_of = r.begun;
    n.ready = true;
    for (const auto& job : n.view) stop(n, job);
  }

  void receive(std::size_t i) {
    auto& n = controllers_[i];
    std::vector<Message> mine;
    for (auto m = messages_.begin(); m != messages_.end();) {
      if (m->to != i || m->at > now_) {
        ++m;
        continue;
      }
      mine.push_back(std::move(*m));
      m = messages_.erase(m);
    }
    for (auto& m : mine) {
      auto& h = m.heartbeat;
      if (options_.mistake != Mistake::kAcknowledgedUnread)
        for (const auto& job : h.cancellation_sync->cancelled) learn(n, job);
      if (options_.mistake == Mistake::kCountedFromReceipt && n.sent.contains(h.echo))
        h.cancellation_sync->read_lease +=
            std::chrono::duration_cast<std::chrono::milliseconds>(clock(n) - n.sent[h.echo]);
      if (n.cancellation_sync->on_heartbeat(name(m.from), h, known(n), clock(n)))
        n.schedule_heartbeat[m.from] = true;
    }
  }

  void beat(std::size_t i) {
    auto& n = controllers_[i];
    bool all = now_ >= n.next_beat;
    if (all) n.next_beat = now_ + kHeartbeatPeriod;
    for (std::size_t k = 0; k < kNodes; ++k)
      if (k != i && (all || n.schedule_heartbeat[k])) send(i, k);
  }

  void send(std::size_t from, std::size_t to) {
    auto& n = controllers_[from];
    n.schedule_heartbeat[to] = false;
    protocol::Heartbeat h;
    h.sequence = ++n.sequence;
    h.echo = n.cancellation_sync->received(name(to));
    h.cancellation_sync = n.cancellation_sync->outgoing(name(to), h.sequence, known(n), clock(n));
    n.sent[h.sequence] = clock(n);
    if (options_.mistake == Mistake::kNotReadyCountedAsReady)
      h.cancellation_sync->ready = h.cancellation_sync->complete = true;
    if (options_.mistake == Mistake::kAlwaysComplete)
      h.cancellation_sync->complete = h.cancellation_sync->ready;
    auto at = now_ + between(1, 10);
    if (auto until = held(from, to)) at = std::max(at, *until);
    if (!options_.state_only) {
      if (chance(0.03)) return;
      if (chance(0.05)) at += between(0, 1500);
      if (chance(0.03)) messages_.push_back({from, to, at + between(500, 120'000), h});
    }
    messages_.push_back({from, to, at, std::move(h)});
  }

  // Users cancel jobs, and ask about them again and again, each time at any controller.
  void users() {
    for (std::size_t w = 0; w < writing_.size();) {
      auto [i, disclosed] = writing_[w];
      if (now_ < disclosed.at) {
        ++w;
        continue;
      }
      notify_leader(disclosed);
      writing_.erase(writing_.begin() + static_cast<std::ptrdiff_t>(w));
    }
    if (chance(0.03)) cancel(any_node());
    for (auto& a : asked_) {
      if (now_ < a.next) continue;
      a.next = now_ + between(900, 1300);
      estimate_request(any_node(), a);
    }
    std::erase_if(asked_,
                  [&](const Asked& a) { return a.acknowledged_until >= 3 || now_ > a.written + 60'000; });
  }

  bool serves(std::size_t i) const {
    const auto& n = controllers_[i];
    return n.cancellation_sync && now_ >= n.down_until && now_ >= n.frozen_until;
  }

  void cancel(std::size_t i) {
    auto& n = controllers_[i];
    if (!serves(i) || !n.ready || !state_answers(i)) return;
    protocol::CancelledJob job{Revision(ends_.size() + 1), JobId("run-" + std::to_string(ends_.size() + 1)),
                               0};
    ends_.push_back(job);
    asked_.push_back({job, now_, now_ + between(900, 1300)});
    // The answer to the transaction may be lost.
    if (chance(0.1)) return;
    learn(n, job);
    estimate_request(i, asked_.back());
  }

  void estimate_request(std::size_t i, Asked& a) {
    auto& n = controllers_[i];
    if (!serves(i) || !n.view.contains(a.job)) return;
    bool may = n.cancellation_sync->may_acknowledge(a.job, known(n), clock(n));
    if (options_.mistake == Mistake::kNoAcknowledgement) may = n.ready;
    ++(may ? result_.disclosed : result_.refused);
    if (!may) return;
    ++a.acknowledged_until;
    Disclosed d{static_cast<std::size_t>(a.job.revision.value()), now_};
    if (!options_.state_only && chance(0.01)) {
      // The process stands still after it has looked and before the answer goes out.
      n.frozen_until = now_ + between(500, 2 * kPromise);
      d.at = n.frozen_until;
      writing_.push_back({i, d});
      return;
    }
    notify_leader(d);
    if (!options_.state_only && chance(0.005))
      end(i, now_ + (chance(0.6) ? between(100, 900) : 2 * kPromise));
  }

  void notify_leader(const Disclosed& d) {
    if (notified_.size() <= d.revision) notified_.resize(d.revision + 64);
    if (notified_[d.revision]) return;
    notified_[d.revision] = true;
    acknowledged_until_.push_back(d);
    result_.slowest_disclosure =
        std::max(result_.slowest_disclosure, now_ - known_since_.at(Revision(d.revision)));
    for (auto& n : controllers_) result_.disclosed_unknown += n.cancellation_sync && !stops(n, d.revision);
  }
  static bool stops(const Controller& n, std::size_t revision) {
    return revision < n.stopped.size() && n.stopped[revision];
  }

  void check() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!serves(i)) continue;
      auto& n = controllers_[i];
      auto news = std::max(n.as_of, n.cancellation_sync->known_until(n.ready, clock(n)));
      auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock(n) - news).count();
      if (now_ > 5000) result_.oldest_news = std::max<Ms>(result_.oldest_news, age);
      if (age > kAnswerLimit || !result_.broken.empty()) continue;
      for (const auto& d : acknowledged_until_)
        if (now_ > d.at + kBroken && !stops(n, d.revision))
          result_.broken = "ran_cancelled: node " + std::to_string(i) + " answers at " +
                           std::to_string(now_) + ", job " + std::to_string(d.revision) + " disclosed at " +
                           std::to_string(d.at);
    }
  }

  Options options_;
  std::mt19937_64 random_;
  Ms now_ = 0;
  std::array<Controller, kNodes> controllers_;
  std::vector<protocol::CancelledJob> ends_;  // the state store: revision k is at k - 1
  std::vector<Message> messages_;
  std::vector<Trouble> troubles_;
  std::vector<Asked> asked_;
  std::vector<std::pair<std::size_t, Disclosed>> writing_;
  std::vector<Disclosed> acknowledged_until_;
  std::vector<bool> notified_;
  std::map<Revision, Ms> known_since_;  // by any controller
  Result result_;
};

// One meeting of a refused owner and a state store that then fails, and troubles at any time around it.
inline void Model::plan() {
  auto step = [](Ms t) { return t - t % kStep; };
  auto owner = any_node();
  auto other = (owner + static_cast<std::size_t>(between(1, 2))) % kNodes;
  auto gap = between(40'000, 60'000);
  auto open = between(1000, 20'000);  // the others still write
  add(Kind::kStateCut, gap, 100'000, owner);
  add(Kind::kOutage, gap + open, between(30'000, 80'000));
  if (options_.state_only) return;
  auto link = [&](Ms from, Ms length, std::size_t a, std::size_t b) {
    auto kind = chance(0.5) ? Kind::kLinkDrop : Kind::kLinkHold;
    if (chance(0.9)) add(kind, from, length, a, b);
    if (chance(0.9)) add(kind, from, length, b, a);
  };
  auto cut = gap + between(-5000, open);
  if (chance(0.7)) {
    auto length = chance(0.3) ? between(1000, 15'000) : between(30'000, 90'000);
    bool from_all = chance(0.8);
    for (std::size_t k = 0; k < kNodes; ++k)
      if (k != owner && (k == other || from_all)) link(cut, length, owner, k);
  }
  auto down = [&] { return chance(0.6) ? between(100, 900) : between(1000, 3 * kPromise); };
  // The other one ends just as the owner is cut off from it, or at any time of the gap.
  if (chance(0.7))
    add(Kind::kEnd, step(chance(0.5) ? cut + between(0, 2000) : gap + between(0, open + 10'000)), down(),
        other);
  for (auto n = between(0, 5); n > 0; --n) {
    auto from = step(between(5000, kLength - 60'000));
    auto a = any_node();
    auto b = (a + static_cast<std::size_t>(between(1, 2))) % kNodes;
    switch (between(0, 4)) {
      case 0:
        add(Kind::kEnd, from, down(), a);
        break;
      case 1:
        add(Kind::kFreeze, from, between(500, 2 * kPromise), a);
        break;
      case 2:
        add(Kind::kReload, from, kStep, a);
        break;
      case 3:
        add(Kind::kStateCut, from, between(2000, 60'000), a);
        break;
      default:
        link(from, between(500, 60'000), a, b);
    }
  }
}

}  // namespace beaconsill::model
