// When a cancellation may be disclosed to users, and how far an owner knows all that were.
#include <gtest/gtest.h>

#include "disclosure_model.h"
#include "store/records.h"
#include "store/view.h"

namespace beaconsill::part {
namespace {

using namespace std::chrono_literals;
using wire::CancelledJob;

const NodeName kPeer("b");
const Instant kStart = Instant(1000s);
constexpr Duration kPromise = 8s;
constexpr Duration kInTouch = 1700ms;

CancelledJob cancelled(std::uint64_t revision) {
  return {Revision(revision), JobId("run-" + std::to_string(revision)), 0};
}

// One node with one peer; what the peer says is made by hand.
struct Fixture {
  explicit Fixture(Instant started = kStart, std::size_t max_listed = 128)
      : disclosure({kPromise, kInTouch, max_listed}, {kPeer}, started) {}
  CancellationDisclosure::Known known() const { return {ready, read_until, jobs}; }
  wire::Disclosure send(Duration at) { return disclosure.outgoing(kPeer, ++sequence, known(), kStart + at); }
  // A heartbeat of the peer that echoes the one of this number.
  bool hear(Duration at, std::uint64_t echo, std::optional<wire::Disclosure> d, Revision told = {}) {
    wire::Heartbeat h;
    h.told = told;
    h.sequence = 1;
    h.echo = echo;
    h.disclosure = std::move(d);
    return disclosure.on_heartbeat(kPeer, h, known(), kStart + at);
  }
  // The peer is in touch and has read everything up to this revision.
  void in_touch(Duration at, Revision peer_read = {}) {
    send(at);
    hear(at, sequence, wire::Disclosure{true, peer_read, 8s, true, {}});
    send(at);  // with a promise, now that the peer is known to be there
  }
  bool may(std::uint64_t revision, Duration at) const {
    return disclosure.may_disclose(cancelled(revision), known(), kStart + at);
  }
  Duration known_until(Duration at) const { return disclosure.known_until(ready, kStart + at) - kStart; }

  CancellationDisclosure disclosure;
  std::set<CancelledJob> jobs;
  bool ready = true;
  Revision read_until{100};
  std::uint64_t sequence = 0;
};

wire::Disclosure says(bool ready, bool complete, std::chrono::milliseconds promise = 8s) {
  return {ready, Revision(), promise, complete, {}};
}

TEST(Disclosure, WaitsForTheAcknowledgementOfAPeerInTouch) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101), cancelled(102)};
  EXPECT_FALSE(f.may(101, 20s));
  EXPECT_TRUE(f.disclosure.lacks_some(kPeer, f.known()));
  auto sent = f.send(20s);
  EXPECT_EQ(sent.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_TRUE(sent.complete);
  EXPECT_EQ(sent.promise, 8s);
  EXPECT_FALSE(f.may(101, 20s));
  // The echo of an earlier heartbeat acknowledges nothing.
  f.hear(20s, f.sequence - 1, says(true, true));
  EXPECT_FALSE(f.may(101, 20s));
  f.hear(20s, f.sequence, says(true, true));
  EXPECT_TRUE(f.may(101, 20s));
  EXPECT_TRUE(f.may(102, 20s));
  EXPECT_FALSE(f.disclosure.lacks_some(kPeer, f.known()));
  EXPECT_TRUE(f.send(20s).cancelled.empty());
}

TEST(Disclosure, WhatThePeerHasReadOrListsItselfNeedsNoAcknowledgement) {
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

TEST(Disclosure, WaitsForThePromiseToAPeerOutOfTouchToEnd) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(101)};
  EXPECT_EQ(f.send(21s).promise, 8s);
  EXPECT_EQ(f.send(22s).promise, 0s);  // it has echoed nothing for too long
  EXPECT_FALSE(f.may(101, 29s));
  EXPECT_TRUE(f.may(101, 29s + 1ms));
}

TEST(Disclosure, KeepsThePromisesOfAnEarlierProcess) {
  Fixture f;
  f.jobs = {cancelled(101)};
  EXPECT_FALSE(f.may(101, 8s));
  EXPECT_TRUE(f.may(101, 8s + 1ms));
}

TEST(Disclosure, NothingIsDisclosedOrListedBeforeAllIsRead) {
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
  EXPECT_EQ(f.disclosure.known_until(false, kStart + 20s), Instant{});
}

TEST(Disclosure, APeerThatIsNotReadyGetsNeitherPromiseNorCancellations) {
  Fixture f;
  f.jobs = {cancelled(101)};
  f.send(20s);
  f.hear(20s, f.sequence, says(false, false));
  auto sent = f.send(20s);
  EXPECT_EQ(sent.promise, 0s);
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(sent.complete);
}

TEST(Disclosure, MoreThanOneMessageHoldsGoPageByPage) {
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
TEST(Disclosure, AcknowledgementsAreOfEachRecordByItself) {
  Fixture f;
  f.in_touch(20s);
  f.jobs = {cancelled(105)};
  f.send(20s);
  f.hear(20s, f.sequence, says(true, true));
  f.jobs.insert(cancelled(101));
  EXPECT_TRUE(f.may(105, 20s));
  EXPECT_FALSE(f.may(101, 20s));
}

TEST(Disclosure, NewsLastAsLongAsThePromiseFromTheEchoedHeartbeat) {
  struct Case {
    const char* what;
    std::optional<wire::Disclosure> first, second;  // heard at 0 s and 3 s, of heartbeats sent then
    Duration heard, expected;                       // the second; what is known in the end
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
    if (c.second) f.hear(c.heard, 2, c.second);
    EXPECT_EQ(f.known_until(1000s), c.expected) << c.what;
    EXPECT_EQ(f.known_until(1s), 1s) << c.what;
  }
}

TEST(Disclosure, WithoutAnEchoNothingIsConcluded) {
  Fixture f;
  f.send(0s);
  f.hear(0s, 77, says(true, true));
  EXPECT_EQ(f.disclosure.known_until(true, kStart + 1s), Instant{});
  f.hear(0s, 1, says(true, true));
  EXPECT_EQ(f.known_until(1s), 1s);
  f.disclosure.forget_sent(kPeer);
  f.hear(20s, 1, says(true, true));
  EXPECT_LT(f.known_until(20s), 8s);
}

// Versions before disclosures tell users without asking, and echo without reading.
TEST(Disclosure, AnEarlierVersionIsTakenAtItsToldRevision) {
  Fixture f;
  f.jobs = {cancelled(101)};
  f.send(20s);
  f.hear(20s, 1, std::nullopt, Revision(100));
  EXPECT_EQ(f.known_until(21s), 20s);
  EXPECT_EQ(f.send(22s).promise, 0s);
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

TEST(Disclosure, AnEarlierVersionAcknowledgesNothingAndEndsTheCoverOfANewerOne) {
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

TEST(Disclosure, OnlyNodesThatHaveReadEverythingListEverything) {
  Fixture f;
  f.send(0s);
  f.hear(0s, 1, says(false, true));
  EXPECT_EQ(f.disclosure.known_until(true, kStart), Instant{});
  f.ready = false;
  f.hear(0s, 1, says(true, true));
  EXPECT_EQ(f.disclosure.known_until(true, kStart), Instant{});
}

TEST(View, IndexesCancelledEnds) {
  store::View v;
  auto put = [&](const char* job, store::End end, std::uint64_t revision) {
    v.apply({store::end_key(JobId(job)), store::to_json(store::Ending{end, 3}), Revision(revision)});
  };
  put("run-2", store::End::kCancelled, 7);
  put("run-1", store::End::kCancelled, 5);
  put("run-3", store::End::kDone, 6);
  put("run-2", store::End::kCancelled, 7);
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
}  // namespace beaconsill::part
