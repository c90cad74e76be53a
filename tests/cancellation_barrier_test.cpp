// When a cancellation may be disclosed to users, and how far an owner knows all that were.
#include <gtest/gtest.h>

#include "cancellation_barrier_model.h"
#include "state_store/records.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {
namespace {

using namespace std::chrono_literals;
using protocol::CancelledJob;

const ControllerName kPeer("b");
const Instant kStart = Instant(1000s);
constexpr Duration kPromise = 8s;
constexpr Duration kInTouch = 1700ms;

CancelledJob cancelled(std::uint64_t revision) {
  return {Revision(revision), JobId("run-" + std::to_string(revision)), 0};
}

// One controller with one peer; what the peer says is made by hand.
struct Fixture {
  explicit Fixture(Instant started = kStart, std::size_t max_listed = 128)
      : cancellation_sync({kPromise, kInTouch, max_listed}, {kPeer}, started) {}
  CancellationBarrier::Known known() const { return {ready, read_until, jobs}; }
  protocol::CancellationSync send(Duration at) {
    return cancellation_sync.outgoing(kPeer, ++sequence, known(), kStart + at);
  }
  // A heartbeat of the peer that echoes the one of this number.
  bool hear(Duration at, std::uint64_t echo, std::optional<protocol::CancellationSync> d,
            Revision acknowledged_until = {}) {
    protocol::Heartbeat h;
    h.acknowledged_until = acknowledged_until;
    h.sequence = 1;
    h.echo = echo;
    h.cancellation_sync = std::move(d);
    return cancellation_sync.on_heartbeat(kPeer, h, known(), kStart + at);
  }
  // The peer is in touch and has read everything up to this revision.
  void in_touch(Duration at, Revision peer_read = {}) {
    send(at);
    hear(at, sequence, protocol::CancellationSync{true, peer_read, 8s, true, {}});
    send(at);  // with a promise, now that the peer is known to be there
  }
  bool may(std::uint64_t revision, Duration at) const {
    return cancellation_sync.may_acknowledge(cancelled(revision), known(), kStart + at);
  }
  Duration known_until(Duration at) const {
    return cancellation_sync.known_until(ready, kStart + at) - kStart;
  }

  CancellationBarrier cancellation_sync;
  std::set<CancelledJob> jobs;
  bool ready = true;
  Revision read_until{100};
  std::uint64_t sequence = 0;
};

protocol::CancellationSync says(bool ready, bool complete, std::chrono::milliseconds read_lease = 8s) {
  return {ready, Revision(), read_lease, complete, {}};
}

TEST(CancellationSync, WaitsForTheAcknowledgementOfAPeerInTouch) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101), cancelled(102)};
  EXPECT_FALSE(f.may(101, 20s));
  EXPECT_TRUE(f.cancellation_sync.lacks_cancellations(kPeer, f.known()));
  auto sent = f.send(20s);
  EXPECT_EQ(sent.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_TRUE(sent.complete);
  EXPECT_EQ(sent.read_lease, 8s);
  EXPECT_FALSE(f.may(101, 20s));
  // The echo of an earlier heartbeat acknowledges nothing.
  f.hear(20s, f.sequence - 1, says(true, true));
  EXPECT_FALSE(f.may(101, 20s));
  f.hear(20s, f.sequence, says(true, true));
  EXPECT_TRUE(f.may(101, 20s));
  EXPECT_TRUE(f.may(102, 20s));
  EXPECT_FALSE(f.cancellation_sync.lacks_cancellations(kPeer, f.known()));
  EXPECT_TRUE(f.send(20s).cancelled.empty());
}

TEST(CancellationSync, WhatThePeerHasReadOrListsItselfNeedsNoAcknowledgement) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto d = says(true, true);
  d.read_until = Revision(101);
  d.cancelled = {cancelled(103)};
  EXPECT_TRUE(f.hear(20s, f.sequence, d));  // it's answered at once
  EXPECT_TRUE(f.may(101, 20s));
  EXPECT_FALSE(f.may(102, 20s));
  EXPECT_TRUE(f.may(103, 20s));
  EXPECT_EQ(f.send(20s).cancelled, (std::vector{cancelled(102)}));
}

TEST(CancellationSync, WaitsForThePromiseToAPeerOutOfTouchToEnd) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101)};
  EXPECT_EQ(f.send(21s).read_lease, 8s);
  EXPECT_EQ(f.send(22s).read_lease, 0s);  // it has echoed nothing for too long
  EXPECT_FALSE(f.may(101, 29s));
  EXPECT_TRUE(f.may(101, 29s + 1ms));
}

TEST(CancellationSync, KeepsThePromisesOfAnEarlierProcess) {
  Fixture f;
  f.jobs = {cancelled(101)};
  EXPECT_FALSE(f.may(101, 8s));
  EXPECT_TRUE(f.may(101, 8s + 1ms));
}

TEST(CancellationSync, NothingIsDisclosedOrListedBeforeAllIsRead) {
  Fixture f;
  f.in_touch(20s);
  f.ready = false;
  f.jobs = {cancelled(101)};
  auto sent = f.send(20s);
  EXPECT_FALSE(sent.ready);
  EXPECT_FALSE(sent.complete);
  EXPECT_EQ(sent.read_until, Revision());
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(f.may(101, 100s));
  EXPECT_EQ(f.cancellation_sync.known_until(false, kStart + 20s), Instant{});
}

TEST(CancellationSync, APeerThatIsNotReadyGetsNeitherPromiseNorCancellations) {
  Fixture f;
  f.jobs = {cancelled(101)};
  f.send(20s);
  f.hear(20s, f.sequence, says(false, false));
  auto sent = f.send(20s);
  EXPECT_EQ(sent.read_lease, 0s);
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(sent.complete);
}

TEST(CancellationSync, MoreThanOneMessageHoldsGoPageByPage) {
  Fixture f(kStart, 2);
  f.in_touch(20s);
  f.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto first = f.send(20s);
  EXPECT_EQ(first.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_FALSE(first.complete);
  EXPECT_TRUE(f.hear(20s, f.sequence, says(true, true)));  // the rest goes at once
  EXPECT_FALSE(f.may(103, 20s));
  auto second = f.send(20s);
  EXPECT_EQ(second.cancelled, (std::vector{cancelled(103)}));
  EXPECT_TRUE(second.complete);
  EXPECT_FALSE(f.hear(20s, f.sequence, says(true, true)));
  EXPECT_TRUE(f.may(103, 20s));
}

// Seen in a read that comes late: a record older than one that is acknowledged.
TEST(CancellationSync, AcknowledgementsAreOfEachRecordByItself) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(105)};
  f.send(20s);
  f.hear(20s, f.sequence, says(true, true));
  f.jobs.insert(cancelled(101));
  EXPECT_TRUE(f.may(105, 20s));
  EXPECT_FALSE(f.may(101, 20s));
}

TEST(CancellationSync, NewsLastAsLongAsThePromiseFromTheEchoedHeartbeat) {
  struct Case {
    const char* what;
    std::optional<protocol::CancellationSync> first, second;  // heard at 0 s and 3 s, of heartbeats sent then
    Duration last_contact, expected;                          // the second; what is known in the end
  };
  const auto in_full = from_seconds(8 * 0.999);
  const Case cases[] = {
      {"one", says(true, true), std::nullopt, 3s, in_full},
      {"extended", says(true, true), says(true, true), 3s, 3s + in_full},
      {"counts from when the echoed one was sent", says(true, true), says(true, true), 7s, 3s + in_full},
      {"late", says(true, true), says(true, true), 60s, 3s + in_full},
      {"a new process, in time", says(true, true), says(false, false), 7s, 3s + in_full},
      {"a new process, too late", says(true, true), says(false, false), 9s, in_full},
      {"not all is listed, in time", says(true, true), says(true, false), 7s, 3s + in_full},
      {"not all is listed, too late", says(true, true), says(true, false), 9s, in_full},
      {"no promise", says(true, true), says(true, true, 0ms), 3s, in_full},
  };
  for (const auto& c : cases) {
    Fixture f;
    f.send(0s);
    f.hear(0s, 1, c.first);
    f.send(3s);
    if (c.second) f.hear(c.last_contact, 2, c.second);
    EXPECT_EQ(f.known_until(1000s), c.expected) << c.what;
    EXPECT_EQ(f.known_until(1s), 1s) << c.what;
  }
}

TEST(CancellationSync, WithoutAnEchoNothingIsConcluded) {
  Fixture f;
  f.send(0s);
  f.hear(0s, 77, says(true, true));
  EXPECT_EQ(f.cancellation_sync.known_until(true, kStart + 1s), Instant{});
  f.hear(0s, 1, says(true, true));
  EXPECT_EQ(f.known_until(1s), 1s);
  f.cancellation_sync.forget_sent(kPeer);
  f.hear(20s, 1, says(true, true));
  EXPECT_LT(f.known_until(20s), 8s);
}

// Versions before disclosures tell users without asking, and echo without reading.
TEST(CancellationSync, AnEarlierVersionIsTakenAtItsToldRevision) {
  Fixture f;
  f.jobs = {cancelled(101)};
  f.send(20s);
  f.hear(20s, 1, std::nullopt, Revision(100));
  EXPECT_EQ(f.known_until(21s), 20s);
  EXPECT_EQ(f.send(22s).read_lease, 0s);
  // It has told users of more than is known here.
  f.hear(22s, 2, std::nullopt, Revision(101));
  EXPECT_EQ(f.known_until(23s), 20s);
  EXPECT_TRUE(f.may(101, 23s));  // it was promised nothing, and concludes nothing beyond the echo
  // The promise of a newer version that was running there before counts no longer.
  f.hear(22s, 2, says(true, true));
  EXPECT_EQ(f.known_until(24s), 24s);
  f.send(24s);
  f.hear(24s, 3, std::nullopt, Revision(100));
  EXPECT_EQ(f.known_until(25s), 24s);
}

TEST(CancellationSync, AnEarlierVersionAcknowledgesNothingAndEndsTheCoverOfANewerOne) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101)};
  f.send(20s);
  f.send(21s);
  EXPECT_EQ(f.known_until(22s), 22s);
  f.hear(21s, f.sequence, std::nullopt, Revision(101));
  EXPECT_FALSE(f.may(101, 21s));       // it echoes lists that it hasn't read
  EXPECT_EQ(f.known_until(22s), 21s);  // it doesn't keep the promises of the newer one
}

TEST(CancellationSync, OnlyNodesThatHaveReadEverythingListEverything) {
  Fixture f;
  f.send(0s);
  f.hear(0s, 1, says(false, true));
  EXPECT_EQ(f.cancellation_sync.known_until(true, kStart), Instant{});
  f.ready = false;
  f.hear(0s, 1, says(true, true));
  EXPECT_EQ(f.cancellation_sync.known_until(true, kStart), Instant{});
}

TEST(StateView, IndexesCancelledEnds) {
  state_store::StateView v;
  auto put = [&](const char* job, state_store::TerminalState end, std::uint64_t revision) {
    v.apply({state_store::terminal_key(JobId(job)), state_store::to_json(state_store::TerminalRecord{end, 3}),
             Revision(revision)});
  };
  put("run-2", state_store::TerminalState::kCancelled, 7);
  put("run-1", state_store::TerminalState::kCancelled, 5);
  put("run-3", state_store::TerminalState::kDone, 6);
  put("run-2", state_store::TerminalState::kCancelled, 7);
  const std::set<CancelledJob> expected{{Revision(5), JobId("run-1"), 3}, {Revision(7), JobId("run-2"), 3}};
  EXPECT_EQ(v.cancelled(), expected);
  v.clear();
  EXPECT_TRUE(v.cancelled().empty());
}

using model::Mistake;
using model::Model;

constexpr std::uint64_t kSchedules = 150;

TEST(DisclosureModel, NoOwnerAnswersForTooLongAfterADisclosureThatItDoesNotKnow) {
  int disclosed = 0, unknown = 0, restarts = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    auto r = Model({seed}).run();
    EXPECT_EQ(r.broken, "") << "seed " << seed;
    disclosed += r.disclosed, unknown += r.disclosed_unknown;
    restarts += r.restarts, refused += r.refused;
  }
  // The schedules do what they are for.
  EXPECT_GT(disclosed, static_cast<int>(50 * kSchedules));
  EXPECT_GT(refused, static_cast<int>(10 * kSchedules));
  EXPECT_GT(unknown, static_cast<int>(kSchedules));
  EXPECT_GT(restarts, static_cast<int>(kSchedules));
}

TEST(DisclosureModel, ControllersInTouchHaveNewsWhateverTheStateServiceDoes) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto r = Model({seed, Mistake::kNone, true}).run();
    EXPECT_EQ(r.broken, "") << "seed " << seed;
    EXPECT_LE(r.oldest_news, 2000) << "seed " << seed;
    // The first request is refused, and its repeat succeeds.
    EXPECT_LE(r.slowest_disclosure, 3000) << "seed " << seed;
    EXPECT_GT(r.disclosed, 50) << "seed " << seed;
  }
}

// A checker that can't fail shows nothing.
TEST(DisclosureModel, TheCheckerFindsSeededMistakes) {
  const std::pair<Mistake, const char*> cases[] = {
      {Mistake::kNoAcknowledgement, "no acknowledgement"},
      {Mistake::kPromiseForgotten, "promise forgotten at a restart"},
      {Mistake::kCountedFromReceipt, "promise counted from receipt"},
      {Mistake::kNotReadyCountedAsReady, "not ready counted as ready"},
      {Mistake::kAcknowledgedUnread, "acknowledged without reading"},
      {Mistake::kAlwaysComplete, "a part taken for all"},
  };
  for (auto [mistake, what] : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 2 * kSchedules && !found; ++seed)
      found = !Model({seed, mistake}).run().broken.empty();
    EXPECT_TRUE(found) << what;
  }
}

}  // namespace
}  // namespace beaconsill::shard
