// When a cancellation may be acknowledged to users, and up to when a shard leader knows all that were.
#include "shard/cancellation_barrier.h"

#include <gtest/gtest.h>

#include "state_store/records.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {
namespace {

using namespace std::chrono_literals;
using protocol::CancelledJob;

const ControllerName kPeer("b");
const Instant kStart = Instant(1000s);
constexpr Duration kReadLease = 8s;
constexpr Duration kContactTimeout = 1700ms;

CancelledJob cancelled(std::uint64_t revision) {
  return {Revision(revision), JobId("run-" + std::to_string(revision)), 0};
}

// One controller with one peer; what the peer says is made by hand.
struct Fixture {
  explicit Fixture(Instant started = kStart, std::size_t max_listed = 128)
      : barrier({kReadLease, kContactTimeout, max_listed}, {kPeer}, started) {}
  CancellationBarrier::Known known() const { return {ready, read_until, jobs}; }
  protocol::CancellationSync send(Duration at) {
    return barrier.outgoing(kPeer, ++sequence, known(), kStart + at);
  }
  // A heartbeat of the peer that echoes the one of this number. True: it has to be answered at once.
  bool receive(Duration at, std::uint64_t echo, std::optional<protocol::CancellationSync> sync,
               Revision acknowledged_until = {}) {
    protocol::Heartbeat heartbeat;
    heartbeat.acknowledged_until = acknowledged_until;
    heartbeat.sequence = 1;
    heartbeat.echo = echo;
    heartbeat.cancellation_sync = std::move(sync);
    return barrier.on_heartbeat(kPeer, heartbeat, known(), kStart + at) ==
           CancellationBarrier::NextHeartbeat::kAtOnce;
  }
  // The peer is in touch and has read everything up to this revision.
  void make_contact(Duration at, Revision peer_read = {}) {
    send(at);
    receive(at, sequence, protocol::CancellationSync{true, peer_read, 8s, true, {}});
    send(at);  // with a read lease, now that the peer is known to be there
  }
  bool may(std::uint64_t revision, Duration at) const {
    return barrier.may_reveal(cancelled(revision), known(), kStart + at);
  }
  Duration known_until(Duration at) const { return barrier.known_until(ready, kStart + at).value() - kStart; }

  CancellationBarrier barrier;
  std::set<CancelledJob> jobs;
  bool ready = true;
  Revision read_until{100};
  std::uint64_t sequence = 0;
};

protocol::CancellationSync sync_of(bool ready, bool complete, std::chrono::milliseconds read_lease = 8s) {
  return {ready, Revision(), read_lease, complete, {}};
}

TEST(CancellationBarrierTest, WaitsForTheAcknowledgementOfAPeerInContact) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102)};
  EXPECT_FALSE(fixture.may(101, 20s));
  EXPECT_TRUE(fixture.barrier.lacks_cancellations(kPeer, fixture.known()));
  auto sent = fixture.send(20s);
  EXPECT_EQ(sent.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_TRUE(sent.complete);
  EXPECT_EQ(sent.read_lease, 8s);
  EXPECT_FALSE(fixture.may(101, 20s));
  // The echo of an earlier heartbeat acknowledges nothing.
  fixture.receive(20s, fixture.sequence - 1, sync_of(true, true));
  EXPECT_FALSE(fixture.may(101, 20s));
  fixture.receive(20s, fixture.sequence, sync_of(true, true));
  EXPECT_TRUE(fixture.may(101, 20s));
  EXPECT_TRUE(fixture.may(102, 20s));
  EXPECT_FALSE(fixture.barrier.lacks_cancellations(kPeer, fixture.known()));
  EXPECT_TRUE(fixture.send(20s).cancelled.empty());
}

TEST(CancellationBarrierTest, WhatThePeerHasReadOrListsItselfNeedsNoAcknowledgement) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto sync = sync_of(true, true);
  sync.read_until = Revision(101);
  sync.cancelled = {cancelled(103)};
  EXPECT_TRUE(fixture.receive(20s, fixture.sequence, sync));  // it's answered at once
  EXPECT_TRUE(fixture.may(101, 20s));
  EXPECT_FALSE(fixture.may(102, 20s));
  EXPECT_TRUE(fixture.may(103, 20s));
  EXPECT_EQ(fixture.send(20s).cancelled, (std::vector{cancelled(102)}));
}

TEST(CancellationBarrierTest, WaitsForTheReadLeaseOfAPeerWithoutContactToEnd) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101)};
  EXPECT_EQ(fixture.send(21s).read_lease, 8s);
  EXPECT_EQ(fixture.send(22s).read_lease, 0s);  // it has echoed nothing for too long
  EXPECT_FALSE(fixture.may(101, 29s));
  EXPECT_TRUE(fixture.may(101, 29s + 1ms));
}

TEST(CancellationBarrierTest, KeepsTheReadLeasesOfAnEarlierProcess) {
  Fixture fixture;
  fixture.jobs = {cancelled(101)};
  EXPECT_FALSE(fixture.may(101, 8s));
  EXPECT_TRUE(fixture.may(101, 8s + 1ms));
}

TEST(CancellationBarrierTest, NothingIsAcknowledgedOrListedBeforeAllIsRead) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.ready = false;
  fixture.jobs = {cancelled(101)};
  auto sent = fixture.send(20s);
  EXPECT_FALSE(sent.ready);
  EXPECT_FALSE(sent.complete);
  EXPECT_EQ(sent.read_until, Revision());
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(fixture.may(101, 100s));
  EXPECT_EQ(fixture.barrier.known_until(false, kStart + 20s), std::nullopt);
}

TEST(CancellationBarrierTest, APeerThatIsNotReadyGetsNeitherReadLeaseNorCancellations) {
  Fixture fixture;
  fixture.jobs = {cancelled(101)};
  fixture.send(20s);
  fixture.receive(20s, fixture.sequence, sync_of(false, false));
  auto sent = fixture.send(20s);
  EXPECT_EQ(sent.read_lease, 0s);
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(sent.complete);
}

TEST(CancellationBarrierTest, MoreThanOneMessageHoldsGoPageByPage) {
  Fixture fixture(kStart, 2);
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto first = fixture.send(20s);
  EXPECT_EQ(first.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_FALSE(first.complete);
  EXPECT_TRUE(fixture.receive(20s, fixture.sequence, sync_of(true, true)));  // the rest goes at once
  EXPECT_FALSE(fixture.may(103, 20s));
  auto second = fixture.send(20s);
  EXPECT_EQ(second.cancelled, (std::vector{cancelled(103)}));
  EXPECT_TRUE(second.complete);
  EXPECT_FALSE(fixture.receive(20s, fixture.sequence, sync_of(true, true)));
  EXPECT_TRUE(fixture.may(103, 20s));
}

// Seen in a read that comes late: a record older than one that is acknowledged.
TEST(CancellationBarrierTest, AcknowledgementsAreOfEachRecordByItself) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(105)};
  fixture.send(20s);
  fixture.receive(20s, fixture.sequence, sync_of(true, true));
  fixture.jobs.insert(cancelled(101));
  EXPECT_TRUE(fixture.may(105, 20s));
  EXPECT_FALSE(fixture.may(101, 20s));
}

TEST(CancellationBarrierTest, KnowledgeLastsAsLongAsTheReadLeaseFromTheEchoedHeartbeat) {
  struct Case {
    const char* what;
    std::optional<protocol::CancellationSync> first,
        second;                       // received at 0 s and 3 s, of heartbeats sent then
    Duration last_contact, expected;  // the second; what is known in the end
  };
  const auto in_full = from_seconds(8 * 0.999);
  const Case cases[] = {
      {"one", sync_of(true, true), std::nullopt, 3s, in_full},
      {"extended", sync_of(true, true), sync_of(true, true), 3s, 3s + in_full},
      {"counts from when the echoed one was sent", sync_of(true, true), sync_of(true, true), 7s,
       3s + in_full},
      {"late", sync_of(true, true), sync_of(true, true), 60s, 3s + in_full},
      {"a new process, in time", sync_of(true, true), sync_of(false, false), 7s, 3s + in_full},
      {"a new process, too late", sync_of(true, true), sync_of(false, false), 9s, in_full},
      {"not all is listed, in time", sync_of(true, true), sync_of(true, false), 7s, 3s + in_full},
      {"not all is listed, too late", sync_of(true, true), sync_of(true, false), 9s, in_full},
      {"no read lease", sync_of(true, true), sync_of(true, true, 0ms), 3s, in_full},
  };
  for (const auto& entry : cases) {
    Fixture fixture;
    fixture.send(0s);
    fixture.receive(0s, 1, entry.first);
    fixture.send(3s);
    if (entry.second) fixture.receive(entry.last_contact, 2, entry.second);
    EXPECT_EQ(fixture.known_until(1000s), entry.expected) << entry.what;
    EXPECT_EQ(fixture.known_until(1s), 1s) << entry.what;
  }
}

TEST(CancellationBarrierTest, WithoutAnEchoNothingIsConcluded) {
  Fixture fixture;
  fixture.send(0s);
  fixture.receive(0s, 77, sync_of(true, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart + 1s), std::nullopt);
  fixture.receive(0s, 1, sync_of(true, true));
  EXPECT_EQ(fixture.known_until(1s), 1s);
  fixture.barrier.forget_sent(kPeer);
  fixture.receive(20s, 1, sync_of(true, true));
  EXPECT_LT(fixture.known_until(20s), 8s);
}

// Versions before the barrier acknowledge to users without asking, and echo without reading.
TEST(CancellationBarrierTest, AnEarlierVersionIsTakenAtItsAcknowledgedRevision) {
  Fixture fixture;
  fixture.jobs = {cancelled(101)};
  fixture.send(20s);
  fixture.receive(20s, 1, std::nullopt, Revision(100));
  EXPECT_EQ(fixture.known_until(21s), 20s);
  EXPECT_EQ(fixture.send(22s).read_lease, 0s);
  // It has acknowledged more to users than is known here.
  fixture.receive(22s, 2, std::nullopt, Revision(101));
  EXPECT_EQ(fixture.known_until(23s), 20s);
  EXPECT_TRUE(fixture.may(101, 23s));  // it was granted no read lease, and concludes nothing beyond the echo
  // The read lease of a newer version that was running there before counts no longer.
  fixture.receive(22s, 2, sync_of(true, true));
  EXPECT_EQ(fixture.known_until(24s), 24s);
  fixture.send(24s);
  fixture.receive(24s, 3, std::nullopt, Revision(100));
  EXPECT_EQ(fixture.known_until(25s), 24s);
}

TEST(CancellationBarrierTest, AnEarlierVersionAcknowledgesNothingAndEndsTheCompletenessOfANewerOne) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101)};
  fixture.send(20s);
  fixture.send(21s);
  EXPECT_EQ(fixture.known_until(22s), 22s);
  fixture.receive(21s, fixture.sequence, std::nullopt, Revision(101));
  EXPECT_FALSE(fixture.may(101, 21s));       // it echoes lists that it hasn't read
  EXPECT_EQ(fixture.known_until(22s), 21s);  // it doesn't keep the read leases of the newer one
}

TEST(CancellationBarrierTest, OnlyControllersThatHaveReadEverythingListEverything) {
  Fixture fixture;
  fixture.send(0s);
  fixture.receive(0s, 1, sync_of(false, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart), std::nullopt);
  fixture.ready = false;
  fixture.receive(0s, 1, sync_of(true, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart), std::nullopt);
}

TEST(StateView, IndexesCancelledEnds) {
  state_store::StateView view;
  auto put = [&](const char* job, state_store::TerminalState end, std::uint64_t revision) {
    view.apply({state_store::terminal_key(JobId(job)),
                state_store::to_json(state_store::TerminalRecord{end, 3}), Revision(revision)});
  };
  put("run-2", state_store::TerminalState::kCancelled, 7);
  put("run-1", state_store::TerminalState::kCancelled, 5);
  put("run-3", state_store::TerminalState::kDone, 6);
  put("run-2", state_store::TerminalState::kCancelled, 7);
  const std::set<CancelledJob> expected{{Revision(5), JobId("run-1"), 3}, {Revision(7), JobId("run-2"), 3}};
  EXPECT_EQ(view.cancelled(), expected);
  view.clear();
  EXPECT_TRUE(view.cancelled().empty());
}

}  // namespace
}  // namespace beaconsill::shard
