// Tests when CancellationBarrier allows a cancellation to be acknowledged to users, and up to which time it
// reports that all acknowledged cancellations are known.
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

// One controller with one peer, whose heartbeats the tests construct.
struct Fixture {
  explicit Fixture(Instant started = kStart, std::size_t max_listed = 128)
      : barrier({kReadLease, kContactTimeout, max_listed}, {kPeer}, started) {}
  CancellationBarrier::LocalView view() const { return {ready, read_until, jobs}; }
  protocol::CancellationSync send(Duration at) {
    return barrier.prepare_sync(kPeer, ++sequence, view(), kStart + at);
  }
  // Delivers a heartbeat of the peer that echoes the heartbeat with the given sequence number. Returns
  // whether the controller has to answer it immediately.
  bool receive(Duration at, std::uint64_t echo, std::optional<protocol::CancellationSync> sync,
               Revision acknowledged_until = {}) {
    protocol::Heartbeat heartbeat;
    heartbeat.acknowledged_until = acknowledged_until;
    heartbeat.sequence = 1;
    heartbeat.echo = echo;
    heartbeat.cancellation_sync = std::move(sync);
    return barrier.on_heartbeat(kPeer, heartbeat, view(), kStart + at) ==
           CancellationBarrier::NextHeartbeat::kImmediate;
  }
  // Exchanges heartbeats with the peer, which has read all records up to this revision.
  void make_contact(Duration at, Revision peer_read = {}) {
    send(at);
    receive(at, sequence, protocol::CancellationSync{true, peer_read, 8s, true, {}});
    send(at);  // grants a read lease, because the peer has echoed a heartbeat
  }
  bool may_reveal(std::uint64_t revision, Duration at) const {
    return barrier.may_reveal(cancelled(revision), view(), kStart + at);
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

TEST(CancellationBarrierTest, CancellationIsNotRevealedBeforeAPeerInContactHasAcknowledgedIt) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102)};
  EXPECT_FALSE(fixture.may_reveal(101, 20s));
  EXPECT_TRUE(fixture.barrier.lacks_cancellations(kPeer, fixture.view()));
  auto sent = fixture.send(20s);
  EXPECT_EQ(sent.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_TRUE(sent.complete);
  EXPECT_EQ(sent.read_lease, 8s);
  EXPECT_FALSE(fixture.may_reveal(101, 20s));
  // The echo of an earlier heartbeat acknowledges nothing.
  fixture.receive(20s, fixture.sequence - 1, sync_of(true, true));
  EXPECT_FALSE(fixture.may_reveal(101, 20s));
  fixture.receive(20s, fixture.sequence, sync_of(true, true));
  EXPECT_TRUE(fixture.may_reveal(101, 20s));
  EXPECT_TRUE(fixture.may_reveal(102, 20s));
  EXPECT_FALSE(fixture.barrier.lacks_cancellations(kPeer, fixture.view()));
  EXPECT_TRUE(fixture.send(20s).cancelled.empty());
}

TEST(CancellationBarrierTest, CancellationsThatThePeerHasReadOrListsNeedNoAcknowledgement) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto sync = sync_of(true, true);
  sync.read_until = Revision(101);
  sync.cancelled = {cancelled(103)};
  EXPECT_TRUE(fixture.receive(20s, fixture.sequence, sync));  // to be answered immediately
  EXPECT_TRUE(fixture.may_reveal(101, 20s));
  EXPECT_FALSE(fixture.may_reveal(102, 20s));
  EXPECT_TRUE(fixture.may_reveal(103, 20s));
  EXPECT_EQ(fixture.send(20s).cancelled, (std::vector{cancelled(102)}));
}

TEST(CancellationBarrierTest, CancellationIsRevealedOnceTheReadLeaseOfAnUnreachablePeerHasExpired) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101)};
  EXPECT_EQ(fixture.send(21s).read_lease, 8s);
  EXPECT_EQ(fixture.send(22s).read_lease, 0s);  // contact timeout: the last echoed heartbeat was sent at 20 s
  EXPECT_FALSE(fixture.may_reveal(101, 29s));
  EXPECT_TRUE(fixture.may_reveal(101, 29s + 1ms));
}

TEST(CancellationBarrierTest, RestartedProcessHonoursReadLeasesOfItsPredecessor) {
  Fixture fixture;
  fixture.jobs = {cancelled(101)};
  EXPECT_FALSE(fixture.may_reveal(101, 8s));
  EXPECT_TRUE(fixture.may_reveal(101, 8s + 1ms));
}

TEST(CancellationBarrierTest, ControllerRevealsAndListsNoCancellationBeforeItHasReadAllRecords) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.ready = false;
  fixture.jobs = {cancelled(101)};
  auto sent = fixture.send(20s);
  EXPECT_FALSE(sent.ready);
  EXPECT_FALSE(sent.complete);
  EXPECT_EQ(sent.read_until, Revision());
  EXPECT_TRUE(sent.cancelled.empty());
  EXPECT_FALSE(fixture.may_reveal(101, 100s));
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

TEST(CancellationBarrierTest, CancellationsBeyondTheListLimitAreSentWithTheNextHeartbeat) {
  Fixture fixture(kStart, 2);
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101), cancelled(102), cancelled(103)};
  auto first = fixture.send(20s);
  EXPECT_EQ(first.cancelled, (std::vector{cancelled(101), cancelled(102)}));
  EXPECT_FALSE(first.complete);
  EXPECT_TRUE(fixture.receive(20s, fixture.sequence, sync_of(true, true)));  // the rest is sent immediately
  EXPECT_FALSE(fixture.may_reveal(103, 20s));
  auto second = fixture.send(20s);
  EXPECT_EQ(second.cancelled, (std::vector{cancelled(103)}));
  EXPECT_TRUE(second.complete);
  EXPECT_FALSE(fixture.receive(20s, fixture.sequence, sync_of(true, true)));
  EXPECT_TRUE(fixture.may_reveal(103, 20s));
}

// A delayed read can return a record that is older than one which the peer has acknowledged already.
TEST(CancellationBarrierTest, AcknowledgingACancellationDoesNotAcknowledgeEarlierOnes) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(105)};
  fixture.send(20s);
  fixture.receive(20s, fixture.sequence, sync_of(true, true));
  fixture.jobs.insert(cancelled(101));
  EXPECT_TRUE(fixture.may_reveal(105, 20s));
  EXPECT_FALSE(fixture.may_reveal(101, 20s));
}

TEST(CancellationBarrierTest, KnownUntilIsExtendedByTheReadLeaseCountedFromTheEchoedHeartbeat) {
  struct Case {
    const char* what;
    // Syncs of the peer's heartbeats that echo heartbeats sent at 0 s and 3 s.
    std::optional<protocol::CancellationSync> first, second;
    Duration second_received_at;  // when the second one is received
    Duration expected;            // the resulting known_until
  };
  const auto shortened_read_lease = from_seconds(8 * 0.999);
  const Case cases[] = {
      {"one heartbeat", sync_of(true, true), std::nullopt, 3s, shortened_read_lease},
      {"extended by a second heartbeat", sync_of(true, true), sync_of(true, true), 3s,
       3s + shortened_read_lease},
      {"lease counted from when the echoed heartbeat was sent", sync_of(true, true), sync_of(true, true), 7s,
       3s + shortened_read_lease},
      {"second heartbeat received late", sync_of(true, true), sync_of(true, true), 60s,
       3s + shortened_read_lease},
      {"restarted peer before the lease expires", sync_of(true, true), sync_of(false, false), 7s,
       3s + shortened_read_lease},
      {"restarted peer after the lease has expired", sync_of(true, true), sync_of(false, false), 9s,
       shortened_read_lease},
      {"incomplete list before the lease expires", sync_of(true, true), sync_of(true, false), 7s,
       3s + shortened_read_lease},
      {"incomplete list after the lease has expired", sync_of(true, true), sync_of(true, false), 9s,
       shortened_read_lease},
      {"second heartbeat without a read lease", sync_of(true, true), sync_of(true, true, 0ms), 3s,
       shortened_read_lease},
  };
  for (const auto& entry : cases) {
    Fixture fixture;
    fixture.send(0s);
    fixture.receive(0s, 1, entry.first);
    fixture.send(3s);
    if (entry.second) fixture.receive(entry.second_received_at, 2, entry.second);
    EXPECT_EQ(fixture.known_until(1000s), entry.expected) << entry.what;
    EXPECT_EQ(fixture.known_until(1s), 1s) << entry.what;
  }
}

TEST(CancellationBarrierTest, KnownUntilIsExtendedOnlyByEchoesOfAwaitedHeartbeats) {
  Fixture fixture;
  fixture.send(0s);
  fixture.receive(0s, 77, sync_of(true, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart + 1s), std::nullopt);
  fixture.receive(0s, 1, sync_of(true, true));
  EXPECT_EQ(fixture.known_until(1s), 1s);
  fixture.barrier.discard_sent_heartbeats(kPeer);
  fixture.receive(20s, 1, sync_of(true, true));
  EXPECT_LT(fixture.known_until(20s), 8s);
}

// Versions without the barrier acknowledge cancellations to users without consulting peers, and echo
// heartbeats without reading their cancellations.
TEST(CancellationBarrierTest, KnownUntilForAPeerWithoutTheBarrierEndsAtAnEchoedHeartbeat) {
  Fixture fixture;
  fixture.jobs = {cancelled(101)};
  fixture.send(20s);
  fixture.receive(20s, 1, std::nullopt, Revision(100));
  EXPECT_EQ(fixture.known_until(21s), 20s);
  EXPECT_EQ(fixture.send(22s).read_lease, 0s);
  // The peer has acknowledged a cancellation to users that is not known here.
  fixture.receive(22s, 2, std::nullopt, Revision(101));
  EXPECT_EQ(fixture.known_until(23s), 20s);
  // The peer has no read lease, so it doesn't rely on this controller to withhold cancellations after the
  // echoed heartbeat.
  EXPECT_TRUE(fixture.may_reveal(101, 23s));
  // After a downgrade of the peer the read lease from the newer version no longer counts.
  fixture.receive(22s, 2, sync_of(true, true));
  EXPECT_EQ(fixture.known_until(24s), 24s);
  fixture.send(24s);
  fixture.receive(24s, 3, std::nullopt, Revision(100));
  EXPECT_EQ(fixture.known_until(25s), 24s);
}

TEST(CancellationBarrierTest, EchoOfAPeerWithoutTheBarrierAcknowledgesNothingAndVoidsEarlierReadLeases) {
  Fixture fixture;
  fixture.make_contact(20s);
  fixture.jobs = {cancelled(101)};
  fixture.send(20s);
  fixture.send(21s);
  EXPECT_EQ(fixture.known_until(22s), 22s);
  fixture.receive(21s, fixture.sequence, std::nullopt, Revision(101));
  EXPECT_FALSE(fixture.may_reveal(101, 21s));  // its echo does not mean that it has read the list
  EXPECT_EQ(fixture.known_until(22s), 21s);    // it does not honour read leases granted by the newer version
}

TEST(CancellationBarrierTest, CompleteListsCountOnlyIfBothControllersHaveReadAllRecords) {
  Fixture fixture;
  fixture.send(0s);
  fixture.receive(0s, 1, sync_of(false, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart), std::nullopt);
  fixture.ready = false;
  fixture.receive(0s, 1, sync_of(true, true));
  EXPECT_EQ(fixture.barrier.known_until(true, kStart), std::nullopt);
}

TEST(StateView, IndexesTerminalRecordsOfCancelledJobs) {
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
