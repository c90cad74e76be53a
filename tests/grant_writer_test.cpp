// The grants of a round on their way to the state store.
#include "controller/grant_writer.h"

#include <algorithm>

#include "controller_component_fixture.h"

namespace beaconsill::controller {
namespace {

using state_store::TxnError;
using state_store::Urgency;

constexpr Term kLeaderTerm(7);
constexpr Term kShardTerm(3);
constexpr std::uint32_t kTasks = 4;

struct GrantWriterTest : ComponentFixture {
  GrantWriterTest() {
    shard_role = set_shard_role(kPeer, kShardTerm);
    leader_role = set_leader(kSelf, kLeaderTerm);
    leadership.begin_term(kLeaderTerm);
    leadership.scheduler().on_terms(leadership.shard_terms());
    cache->put(state_store::job_key(job), job_record_json(job, kTasks));
    leadership.scheduler().on_job(job, context.view().job(job), std::nullopt, clock.now(), std::nullopt);
  }
  // A round in which the shard has capacity for all tasks; what it decides.
  GrantWriter::Grants run_round() {
    auto& scheduler = leadership.scheduler();
    auto request = scheduler.begin_round(clock.now(), clock.wall(), {kShard});
    if (!request) return {};
    protocol::ZoneCapacity capacity{Zone("a"), kTasks};
    scheduler.on_estimate_response(
        {request->round, kShard, kShardTerm, Revision(1000),
         std::vector(request->resource_requests.size(), protocol::CapacityByZone{capacity})});
    return scheduler.decide(clock.now(), leadership.shard_terms()).value_or(GrantWriter::Grants{});
  }
  void write(GrantWriter::Grants grants) {
    writer.write(std::move(grants), {state_store::leader_role_key(), leader_role}, Urgency::kBackground);
  }
  // The revision that the transaction under way is conditional on; none: it isn't conditional on the key.
  std::optional<Revision> condition_on(const std::string& key) const {
    const auto& conditions = cache->txns.at(0).txn.conditions;
    auto found = std::find_if(conditions.begin(), conditions.end(),
                              [&](const protocol::Condition& condition) { return condition.key == key; });
    if (found == conditions.end()) return std::nullopt;
    return found->revision;
  }
  bool round_open() const { return leadership.scheduler().round_open(); }

  const JobId job{"run-1"};
  Revision shard_role;
  Revision leader_role;
  int rounds_written = 0;
  Leadership leadership{context};
  GrantWriter writer{context, messenger, leadership, [this] { ++rounds_written; }};
};

TEST_F(GrantWriterTest, WritesTheGrantsOfARoundUnderTheTermOfTheLeader) {
  auto grants = run_round();
  ASSERT_EQ(grants.size(), 1u);
  write(grants);
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(cache->txns[0].urgency, Urgency::kBackground);
  ASSERT_EQ(cache->txns[0].txn.writes.size(), 1u);
  EXPECT_EQ(cache->txns[0].txn.writes[0].key, state_store::grants_key(job));
  EXPECT_EQ(condition_on(state_store::leader_role_key()), leader_role);
  EXPECT_EQ(condition_on(state_store::grants_key(job)), Revision());
  // A job that has ended gets no tasks.
  EXPECT_EQ(condition_on(state_store::terminal_key(job)), Revision());
}

TEST_F(GrantWriterTest, AGrantThatReliesOnAReleaseByMessageIsConditionalOnThatShardsTerm) {
  auto grants = run_round();
  ASSERT_EQ(grants.size(), 1u);
  write(grants);
  EXPECT_EQ(condition_on(state_store::shard_role_key(kShard)), std::nullopt);
  cache->txns.clear();
  grants[0].depends_on_shards = {kShard};
  write(grants);
  EXPECT_EQ(condition_on(state_store::shard_role_key(kShard)), shard_role);
}

TEST_F(GrantWriterTest, AppliesAndAnnouncesWhatWasWritten) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(rounds_written, 0);
  auto revision = cache->commit_oldest_txn();
  EXPECT_EQ(cache->applied, std::vector{revision});
  ASSERT_EQ(messenger.broadcasts.size(), 1u);
  EXPECT_EQ(std::get<protocol::ChangeNotification>(messenger.broadcasts[0]).revision, revision);
  EXPECT_EQ(rounds_written, 1);
  EXPECT_FALSE(round_open());
  EXPECT_EQ(context.view().job(job)->outstanding(kShard).count(), kTasks);
}

TEST_F(GrantWriterTest, ATransactionThatFailedIsNotRepeatedAndTheRoundEndsOnceTheStateWasRead) {
  for (auto outcome : {TxnError::kConflict, TxnError::kRefused, TxnError::kUnknown}) {
    write(run_round());
    ASSERT_EQ(cache->txns.size(), 1u);
    cache->fail_oldest_txn(outcome);
    EXPECT_TRUE(round_open());
    ASSERT_EQ(cache->syncs.size(), 1u);
    cache->finish_oldest_sync(true);
    EXPECT_FALSE(round_open());
    EXPECT_TRUE(cache->txns.empty());
    clock.advance(std::chrono::seconds(10));
  }
  EXPECT_EQ(rounds_written, 0);
  EXPECT_TRUE(messenger.broadcasts.empty());
}

TEST_F(GrantWriterTest, ARoundWithoutGrantsEndsAtOnce) {
  run_round();
  ASSERT_TRUE(round_open());
  write({});
  EXPECT_TRUE(cache->txns.empty());
  EXPECT_FALSE(round_open());
}

TEST_F(GrantWriterTest, AnAnswerForAnEarlierTermHasNoEffect) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  leadership.end_term();
  leadership.begin_term(Term(8));
  cache->commit_oldest_txn();
  EXPECT_TRUE(cache->applied.empty());
  EXPECT_TRUE(messenger.broadcasts.empty());
  EXPECT_EQ(rounds_written, 0);
}

TEST_F(GrantWriterTest, AReadForAnEarlierTermHasNoEffect) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  cache->fail_oldest_txn(TxnError::kConflict);
  leadership.end_term();
  cache->finish_oldest_sync(true);
  EXPECT_EQ(rounds_written, 0);
}

// Grants that can't be cut to the limit of a value.
GrantWriter::Grants oversized(GrantWriter::Grants grants) {
  auto& chunks = grants.at(0).grants.chunks;
  chunks.resize(1000, chunks.at(0));
  grants[0].grants.revoke = true;
  return grants;
}

TEST_F(GrantWriterTest, LeavesOutGrantsThatDoNotFitIntoAValue) {
  write(oversized(run_round()));
  EXPECT_TRUE(cache->txns.empty());
  EXPECT_FALSE(round_open());
}

// The job would take a place in every round otherwise.
TEST_F(GrantWriterTest, AJobWhoseGrantsDoNotFitIsInNoRound) {
  write(oversized(run_round()));
  clock.advance(std::chrono::seconds(10));
  EXPECT_TRUE(run_round().empty());
}

}  // namespace
}  // namespace beaconsill::controller
