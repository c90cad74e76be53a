// Tests which grants the GrantWriter writes, under which conditions, and how it handles the outcome.
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
    shard_role_revision = set_shard_role(kPeer, kShardTerm);
    leader_role_revision = set_leader(kSelf, kLeaderTerm);
    leadership.begin_term(kLeaderTerm);
    leadership.scheduler().on_terms(leadership.shard_terms());
    cache->put(state_store::job_key(job), job_record_json(job, kTasks));
    leadership.scheduler().on_job(job, context.view().job(job), std::nullopt, clock.now(), std::nullopt);
  }
  // Runs a scheduling round in which the shard has capacity for all tasks. Returns the decided grants.
  GrantWriter::Grants run_round() {
    auto& scheduler = leadership.scheduler();
    auto request = scheduler.begin_round(clock.now(), clock.wall(), {kShard});
    if (!request) return {};
    protocol::ZoneCapacity capacity{Zone("a"), kTasks};
    scheduler.on_estimate_response(
        {request->round, kShard, kShardTerm, Revision(1000),
         std::vector(request->resource_requests.size(), protocol::CapacityByZone{capacity})});
    return scheduler.decide_grants(clock.now(), leadership.shard_terms()).value_or(GrantWriter::Grants{});
  }
  void write(GrantWriter::Grants grants) {
    writer.write(std::move(grants), {state_store::leader_role_key(), leader_role_revision},
                 Urgency::kBackground);
  }
  // Returns the revision of the key that the pending transaction is conditional on, or std::nullopt if it has
  // no condition on the key.
  std::optional<Revision> condition_on(const std::string& key) const {
    const auto& conditions = cache->txns.at(0).txn.conditions;
    auto found = std::find_if(conditions.begin(), conditions.end(),
                              [&](const protocol::Condition& condition) { return condition.key == key; });
    if (found == conditions.end()) return std::nullopt;
    return found->revision;
  }
  bool is_round_open() const { return leadership.scheduler().round_open(); }

  const JobId job{"run-1"};
  Revision shard_role_revision;
  Revision leader_role_revision;
  int written_callbacks = 0;
  Leadership leadership{context};
  GrantWriter writer{context, messenger, leadership, [this] { ++written_callbacks; }};
};

TEST_F(GrantWriterTest, WritesGrantsConditionalOnTheLeaderRoleAndOnTheJobNotHavingEnded) {
  auto grants = run_round();
  ASSERT_EQ(grants.size(), 1u);
  write(grants);
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(cache->txns[0].urgency, Urgency::kBackground);
  ASSERT_EQ(cache->txns[0].txn.writes.size(), 1u);
  EXPECT_EQ(cache->txns[0].txn.writes[0].key, state_store::grants_key(job));
  EXPECT_EQ(condition_on(state_store::leader_role_key()), leader_role_revision);
  EXPECT_EQ(condition_on(state_store::grants_key(job)), Revision());
  // No tasks may be granted to a job that has ended, that is, one with a terminal record.
  EXPECT_EQ(condition_on(state_store::terminal_key(job)), Revision());
}

TEST_F(GrantWriterTest, GrantsThatDependOnTasksReleasedByMessageAreConditionalOnTheShardRole) {
  auto grants = run_round();
  ASSERT_EQ(grants.size(), 1u);
  write(grants);
  EXPECT_EQ(condition_on(state_store::shard_role_key(kShard)), std::nullopt);
  cache->txns.clear();
  grants[0].depends_on_shards = {kShard};
  write(grants);
  EXPECT_EQ(condition_on(state_store::shard_role_key(kShard)), shard_role_revision);
}

TEST_F(GrantWriterTest, AppliesWrittenGrantsToTheViewAndNotifiesPeers) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(written_callbacks, 0);
  auto revision = cache->commit_oldest_txn();
  EXPECT_EQ(cache->applied, std::vector{revision});
  ASSERT_EQ(messenger.broadcasts.size(), 1u);
  EXPECT_EQ(std::get<protocol::ChangeNotification>(messenger.broadcasts[0]).revision, revision);
  EXPECT_EQ(written_callbacks, 1);
  EXPECT_FALSE(is_round_open());
  EXPECT_EQ(context.view().job(job)->outstanding(kShard).count(), kTasks);
}

TEST_F(GrantWriterTest, DoesNotRetryAFailedTransactionAndEndsTheRoundAfterTheNextRead) {
  for (auto outcome : {TxnError::kConflict, TxnError::kNotExecuted, TxnError::kUnknown}) {
    write(run_round());
    ASSERT_EQ(cache->txns.size(), 1u);
    cache->fail_oldest_txn(outcome);
    EXPECT_TRUE(is_round_open());
    ASSERT_EQ(cache->syncs.size(), 1u);
    cache->finish_oldest_sync(true);
    EXPECT_FALSE(is_round_open());
    EXPECT_TRUE(cache->txns.empty());
    clock.advance(std::chrono::seconds(10));
  }
  EXPECT_EQ(written_callbacks, 0);
  EXPECT_TRUE(messenger.broadcasts.empty());
}

TEST_F(GrantWriterTest, EndsARoundWithoutGrantsImmediately) {
  run_round();
  ASSERT_TRUE(is_round_open());
  write({});
  EXPECT_TRUE(cache->txns.empty());
  EXPECT_FALSE(is_round_open());
}

TEST_F(GrantWriterTest, IgnoresTheOutcomeOfATransactionOfAnEarlierTerm) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  leadership.end_term();
  leadership.begin_term(Term(8));
  cache->commit_oldest_txn();
  EXPECT_TRUE(cache->applied.empty());
  EXPECT_TRUE(messenger.broadcasts.empty());
  EXPECT_EQ(written_callbacks, 0);
}

TEST_F(GrantWriterTest, IgnoresTheOutcomeOfAReadOfAnEarlierTerm) {
  write(run_round());
  ASSERT_EQ(cache->txns.size(), 1u);
  cache->fail_oldest_txn(TxnError::kConflict);
  leadership.end_term();
  cache->finish_oldest_sync(true);
  EXPECT_EQ(written_callbacks, 0);
}

// Returns grants that exceed the size limit for a value and can't be trimmed, since they are revoked.
GrantWriter::Grants make_oversized(GrantWriter::Grants grants) {
  auto& chunks = grants.at(0).grants.chunks;
  chunks.resize(1000, chunks.at(0));
  grants[0].grants.revoke = true;
  return grants;
}

TEST_F(GrantWriterTest, DoesNotWriteGrantsThatExceedTheValueSizeLimit) {
  write(make_oversized(run_round()));
  EXPECT_TRUE(cache->txns.empty());
  EXPECT_FALSE(is_round_open());
}

// Otherwise the job would use up one of the limited places in every round, without effect.
TEST_F(GrantWriterTest, ExcludesAJobFromLaterRoundsIfItsGrantsExceedTheValueSizeLimit) {
  write(make_oversized(run_round()));
  clock.advance(std::chrono::seconds(10));
  EXPECT_TRUE(run_round().empty());
}

}  // namespace
}  // namespace beaconsill::controller
