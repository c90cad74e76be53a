// Three controllers, the state store and the links between them as a seeded model: messages are lost, held,
// repeated and reordered, controllers are partitioned, end, pause and come back, their clocks drift. The
// checker knows the true time of each acknowledgement to a user and what each controller knows.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>

#include "shard/cancellation_barrier.h"

namespace beaconsill::model {

using shard::CancellationBarrier;
constexpr std::size_t kControllers = 3;
// True times are milliseconds since the start.
using Ms = std::int64_t;
constexpr Ms kStep = 20;
constexpr Ms kLength = 240'000;
constexpr Ms kHeartbeatPeriod = 500;
constexpr Ms kReadPeriod = 400;
constexpr Ms kLease = 17'500;
constexpr Ms kCancelLimit = 47'500;
constexpr Ms kReadLease = (kCancelLimit - kLease) / 4;
// Without knowledge of cancellations for longer than this a controller answers no worker ...
constexpr Ms kAnswerLimit = kCancelLimit - kLease - 1000;
// ... and after an acknowledgement a shard leader that doesn't know of it may answer for no longer than this.
constexpr Ms kBroken = kCancelLimit - kLease - 500;

enum class Mistake {
  kNone,
  kAcknowledgedAtOnce,      // a cancellation is acknowledged to users at once
  kReadLeaseForgotten,      // a restarted process doesn't keep the read leases of the one before
  kCountedFromReceipt,      // a read lease counts from when it's received
  kNotReadyCountedAsReady,  // a controller that hasn't read everything says that it lists all
  kAcknowledgedUnread,      // what a heartbeat lists is acknowledged and not applied
  kAlwaysComplete,          // a heartbeat with a part of what is cancelled says that it has all
};

struct Options {
  std::uint64_t seed = 1;
  Mistake mistake = Mistake::kNone;
  bool state_only = false;  // controllers stay up and connected with each other; the state store does not
};

struct Result {
  std::string broken;  // the first rule broken, empty if none
  int acknowledged = 0;
  int refused = 0;
  int acknowledged_unknown = 0;  // while a controller didn't know
  int restarts = 0;
  Ms oldest_knowledge = 0;  // of cancellations at any controller, after the first seconds
  Ms slowest_acknowledgement =
      0;  // from when any controller knew of it until the first acknowledgement to a user
};

class Model {
 public:
  explicit Model(Options o) : options_(o), random_(o.seed) {
    for (std::size_t i = 0; i < kControllers; ++i) {
      controllers_[i].rate = 1 + 0.00025 * (uniform() * 2 - 1);
      controllers_[i].offset = static_cast<Ms>(uniform() * 1e9);
      begin(i);
    }
    plan();
  }

  Result run() {
    for (now_ = 0; now_ < kLength; now_ += kStep) {
      for (std::size_t i = 0; i < kControllers; ++i) step(i);
      users();
      check();
    }
    return result_;
  }

 private:
  struct Controller {
    double rate = 1;
    Ms offset = 0;
    std::unique_ptr<CancellationBarrier> barrier;
    std::uint64_t sequence = 0;
    std::set<protocol::CancelledJob> view;
    std::vector<bool> stopped;  // by revision: the tasks of these jobs are stopped
    bool ready = false;
    Revision read_until;
    Instant up_to_date_at{};
    Ms down_until = 0, frozen_until = 0, next_heartbeat = 0, next_read = 0;
    std::array<bool, kControllers> heartbeat_due{};
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
  struct Fault {
    Kind kind;
    Ms from, until;
    std::size_t controller = 0, other = 0;
  };
  struct Asked {
    protocol::CancelledJob job;
    Ms written;
    Ms next;
    int acknowledgements = 0;
  };
  struct Acknowledged {
    std::size_t revision;
    Ms at;
  };

  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  Ms between(Ms a, Ms b) { return std::uniform_int_distribution<Ms>(a, b)(random_); }
  bool chance(double p) { return uniform() < p; }
  std::size_t any_controller() { return static_cast<std::size_t>(between(0, kControllers - 1)); }
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
    for (std::size_t k = 0; k < kControllers; ++k)
      if (k != i) peers.push_back(name(k));
    CancellationBarrier::Params params;
    params.read_lease = std::chrono::milliseconds(kReadLease);
    params.contact_timeout = std::chrono::milliseconds(1700);
    params.max_listed = options_.seed % 3 == 0 ? 2 : 128;
    auto started = clock(n);
    if (options_.mistake == Mistake::kReadLeaseForgotten) started -= 2 * params.read_lease;
    n.barrier = std::make_unique<CancellationBarrier>(params, peers, started);
    n.sequence = static_cast<std::uint64_t>(now_ + n.offset) << 16;
    n.view.clear();
    n.stopped.clear();
    n.ready = false;
    n.read_until = {};
    n.up_to_date_at = {};
    n.read.reset();
    n.sent.clear();
    n.heartbeat_due = {};
    n.next_heartbeat = n.next_read = now_;
  }

  void plan();
  void add(Kind kind, Ms from, Ms length, std::size_t controller = 0, std::size_t other = 0) {
    faults_.push_back({kind, from, from + length, controller, other});
  }
  bool active(const Fault& t) const { return t.from <= now_ && now_ < t.until; }
  bool state_answers(std::size_t i) const {
    return std::none_of(faults_.begin(), faults_.end(), [&](const Fault& t) {
      return active(t) && (t.kind == Kind::kOutage || (t.kind == Kind::kStateCut && t.controller == i));
    });
  }
  // Until when messages are held; none: they pass. A lost one is held for ever.
  std::optional<Ms> held(std::size_t from, std::size_t to) const {
    for (const auto& t : faults_) {
      if (!active(t) || t.controller != from || t.other != to) continue;
      if (t.kind == Kind::kLinkDrop) return kLength;
      if (t.kind == Kind::kLinkHold) return t.until;
    }
    return std::nullopt;
  }

  void step(std::size_t i) {
    auto& n = controllers_[i];
    for (const auto& t : faults_) {
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
    if (!n.barrier) begin(i), ++result_.restarts;
    receive(i);
    read(n);
    send_heartbeats(i);
  }

  void end(std::size_t i, Ms until) {
    controllers_[i].down_until = until;
    controllers_[i].frozen_until = 0;
    controllers_[i].barrier.reset();
    std::erase_if(writing_, [&](const auto& w) { return w.first == i; });
  }

  void learn(Controller& n, const protocol::CancelledJob& job) {
    if (!n.view.insert(job).second) return;
    known_since_.emplace(job.revision, now_);
    if (!n.ready) return;
    stop(n, job);
    for (std::size_t k = 0; k < kControllers; ++k)
      if (&controllers_[k] != &n && n.barrier->lacks_cancellations(name(k), known(n)))
        n.heartbeat_due[k] = true;
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
    n.up_to_date_at = r.begun;
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
      if (n.barrier->on_heartbeat(name(m.from), h, known(n), clock(n)) ==
          CancellationBarrier::NextHeartbeat::kAtOnce)
        n.heartbeat_due[m.from] = true;
    }
  }

  void send_heartbeats(std::size_t i) {
    auto& n = controllers_[i];
    bool all = now_ >= n.next_heartbeat;
    if (all) n.next_heartbeat = now_ + kHeartbeatPeriod;
    for (std::size_t k = 0; k < kControllers; ++k)
      if (k != i && (all || n.heartbeat_due[k])) send(i, k);
  }

  void send(std::size_t from, std::size_t to) {
    auto& n = controllers_[from];
    n.heartbeat_due[to] = false;
    protocol::Heartbeat h;
    h.sequence = ++n.sequence;
    h.echo = n.barrier->received(name(to));
    h.cancellation_sync = n.barrier->outgoing(name(to), h.sequence, known(n), clock(n));
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
      auto [i, acknowledged] = writing_[w];
      if (now_ < acknowledged.at) {
        ++w;
        continue;
      }
      on_acknowledged(acknowledged);
      writing_.erase(writing_.begin() + static_cast<std::ptrdiff_t>(w));
    }
    if (chance(0.03)) cancel(any_controller());
    for (auto& a : asked_) {
      if (now_ < a.next) continue;
      a.next = now_ + between(900, 1300);
      ask(any_controller(), a);
    }
    std::erase_if(asked_,
                  [&](const Asked& a) { return a.acknowledgements >= 3 || now_ > a.written + 60'000; });
  }

  bool serves(std::size_t i) const {
    const auto& n = controllers_[i];
    return n.barrier && now_ >= n.down_until && now_ >= n.frozen_until;
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
    ask(i, asked_.back());
  }

  void ask(std::size_t i, Asked& a) {
    auto& n = controllers_[i];
    if (!serves(i) || !n.view.contains(a.job)) return;
    bool may = n.barrier->may_reveal(a.job, known(n), clock(n));
    if (options_.mistake == Mistake::kAcknowledgedAtOnce) may = n.ready;
    ++(may ? result_.acknowledged : result_.refused);
    if (!may) return;
    ++a.acknowledgements;
    Acknowledged d{static_cast<std::size_t>(a.job.revision.value()), now_};
    if (!options_.state_only && chance(0.01)) {
      // The process pauses after it has checked and before the answer goes out.
      n.frozen_until = now_ + between(500, 2 * kReadLease);
      d.at = n.frozen_until;
      writing_.push_back({i, d});
      return;
    }
    on_acknowledged(d);
    if (!options_.state_only && chance(0.005))
      end(i, now_ + (chance(0.6) ? between(100, 900) : 2 * kReadLease));
  }

  void on_acknowledged(const Acknowledged& d) {
    if (is_acknowledged_.size() <= d.revision) is_acknowledged_.resize(d.revision + 64);
    if (is_acknowledged_[d.revision]) return;
    is_acknowledged_[d.revision] = true;
    acknowledged_.push_back(d);
    result_.slowest_acknowledgement =
        std::max(result_.slowest_acknowledgement, now_ - known_since_.at(Revision(d.revision)));
    for (auto& n : controllers_) result_.acknowledged_unknown += n.barrier && !stops(n, d.revision);
  }
  static bool stops(const Controller& n, std::size_t revision) {
    return revision < n.stopped.size() && n.stopped[revision];
  }

  void check() {
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (!serves(i)) continue;
      auto& n = controllers_[i];
      auto by_peers = n.barrier->known_until(n.ready, clock(n));
      auto known_until = by_peers ? std::max(n.up_to_date_at, *by_peers) : n.up_to_date_at;
      auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock(n) - known_until).count();
      if (now_ > 5000) result_.oldest_knowledge = std::max<Ms>(result_.oldest_knowledge, age);
      if (age > kAnswerLimit || !result_.broken.empty()) continue;
      for (const auto& d : acknowledged_)
        if (now_ > d.at + kBroken && !stops(n, d.revision))
          result_.broken = "ran_cancelled: controller " + std::to_string(i) + " answers at " +
                           std::to_string(now_) + ", job " + std::to_string(d.revision) +
                           " acknowledged at " + std::to_string(d.at);
    }
  }

  Options options_;
  std::mt19937_64 random_;
  Ms now_ = 0;
  std::array<Controller, kControllers> controllers_;
  std::vector<protocol::CancelledJob> ends_;  // the state store: revision k is at k - 1
  std::vector<Message> messages_;
  std::vector<Fault> faults_;
  std::vector<Asked> asked_;
  std::vector<std::pair<std::size_t, Acknowledged>> writing_;
  std::vector<Acknowledged> acknowledged_;
  std::vector<bool> is_acknowledged_;
  std::map<Revision, Ms> known_since_;  // by any controller
  Result result_;
};

// A shard leader that is refused by the state store, which then fails for all, and faults at any time around
// that.
inline void Model::plan() {
  auto step = [](Ms t) { return t - t % kStep; };
  auto leader = any_controller();
  auto other = (leader + static_cast<std::size_t>(between(1, 2))) % kControllers;
  auto gap = between(40'000, 60'000);
  auto open = between(1000, 20'000);  // the others still write
  add(Kind::kStateCut, gap, 100'000, leader);
  add(Kind::kOutage, gap + open, between(30'000, 80'000));
  if (options_.state_only) return;
  auto link = [&](Ms from, Ms length, std::size_t a, std::size_t b) {
    auto kind = chance(0.5) ? Kind::kLinkDrop : Kind::kLinkHold;
    if (chance(0.9)) add(kind, from, length, a, b);
    if (chance(0.9)) add(kind, from, length, b, a);
  };
  auto partition = gap + between(-5000, open);
  if (chance(0.7)) {
    auto length = chance(0.3) ? between(1000, 15'000) : between(30'000, 90'000);
    bool from_all = chance(0.8);
    for (std::size_t k = 0; k < kControllers; ++k)
      if (k != leader && (k == other || from_all)) link(partition, length, leader, k);
  }
  auto down = [&] { return chance(0.6) ? between(100, 900) : between(1000, 3 * kReadLease); };
  // The other one ends just as the leader is partition off from it, or at any time of the gap.
  if (chance(0.7))
    add(Kind::kEnd, step(chance(0.5) ? partition + between(0, 2000) : gap + between(0, open + 10'000)),
        down(), other);
  for (auto n = between(0, 5); n > 0; --n) {
    auto from = step(between(5000, kLength - 60'000));
    auto a = any_controller();
    auto b = (a + static_cast<std::size_t>(between(1, 2))) % kControllers;
    switch (between(0, 4)) {
      case 0:
        add(Kind::kEnd, from, down(), a);
        break;
      case 1:
        add(Kind::kFreeze, from, between(500, 2 * kReadLease), a);
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
