// Tests when the ProgressWriter writes the progress of a shard's tasks, and how it handles the outcome.
#include "controller/progress_writer.h"

#include "controller_component_fixture.h"
#include "shard_test_data.h"

namespace beaconsill::controller {
namespace {

using state_store::TxnError;

constexpr Term kTerm(5);
constexpr Duration kUnnotifiedBatchDelay = std::chrono::seconds(1);
constexpr Duration kReleasedBatchDelay = std::chrono::seconds(2);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);
constexpr std::size_t kMaxJobsPerTxn = 6;
// Longer than the time after which the shard releases tasks that it can't place on a machine.
constexpr Duration kUnplacedTime = std::chrono::minutes(1);

struct ProgressWriterTest : ComponentFixture {
  ProgressWriterTest() {
    set_shard_role(kSelf, kTerm);
    auto& shard = shards.add(kShard);
    shard.manager =
        std::make_unique<shard::ShardManager>(kShard, kTerm, shard::fixture::params(), clock.now());
    shard.manager->on_registry_read({}, clock.now());
    shard.manager->tick(clock.now(), clock.now(), clock.now());
  }
  // Gives the shard progress to write: it releases the job's tasks, which it couldn't place for
  // kUnplacedTime.
  void release_tasks_of(const JobId& id) {
    cache->put(state_store::job_key(id), job_record_json(id, 2));
    state_store::Grants grants{{{Generation(1), kShard, kTerm, Ranges::span(0, 2)}}, Generation(1)};
    cache->put(state_store::grants_key(id), to_json(grants));
    shard().manager->on_job(id, context.view().job(id), std::nullopt, clock.now());
    clock.advance(kUnplacedTime);
    shard().manager->tick(clock.now(), clock.now(), clock.now());
    ASSERT_TRUE(shard().manager->unwritten_progress().contains(id));
  }
  void make_leader_reachable() {
    set_leader(kPeer, Term(7));
    peers.reachable_controllers = {kPeer};
  }
  LedShard& shard() { return *shards.find(kShard); }
  void write() { writer.write(kShard, shard()); }
  void write_after(Duration delay) {
    clock.advance(delay);
    write();
  }

  const JobId job{"run-1"};
  LedShards shards;
  ProgressWriter writer{context, messenger, peers, shards};
};

TEST_F(ProgressWriterTest, WritesAfterTheShortDelayWhileTheLeaderIsUnreachable) {
  release_tasks_of(job);
  write();
  write_after(kUnnotifiedBatchDelay - std::chrono::milliseconds(1));
  EXPECT_TRUE(cache->txns.empty());
  write_after(kCheckPeriod);
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(cache->txns[0].urgency, state_store::Urgency::kBackground);
  ASSERT_EQ(cache->txns[0].txn.writes.size(), 1u);
  EXPECT_EQ(cache->txns[0].txn.writes[0].key, state_store::progress_key(kShard, job));
}

TEST_F(ProgressWriterTest, WritesReleasedTasksAfterTheLongerDelayWhileTheLeaderIsReachable) {
  make_leader_reachable();
  release_tasks_of(job);
  write();
  write_after(kReleasedBatchDelay - kCheckPeriod);
  EXPECT_TRUE(cache->txns.empty());
  write_after(kCheckPeriod);
  EXPECT_EQ(cache->txns.size(), 1u);
}

TEST_F(ProgressWriterTest, WritesConditionalOnTheShardRoleAndOnTheExistingRecord) {
  release_tasks_of(job);
  write();
  write_after(kUnnotifiedBatchDelay);
  ASSERT_EQ(cache->txns.size(), 1u);
  const auto& conditions = cache->txns[0].txn.conditions;
  ASSERT_EQ(conditions.size(), 2u);
  EXPECT_EQ(conditions[0].key, state_store::shard_role_key(kShard));
  EXPECT_EQ(conditions[0].revision, context.view().shard_role(kShard).revision);
  EXPECT_EQ(conditions[1].key, state_store::progress_key(kShard, job));
  EXPECT_EQ(conditions[1].revision, Revision());
}

TEST_F(ProgressWriterTest, WritesNothingWhileTheShardRoleHasAnotherTerm) {
  release_tasks_of(job);
  set_shard_role(kPeer, Term(6));
  write();
  write_after(kUnnotifiedBatchDelay);
  write_after(kReleasedBatchDelay);
  EXPECT_TRUE(cache->txns.empty());
}

TEST_F(ProgressWriterTest, AppliesWrittenProgressToTheViewAndNotifiesPeers) {
  release_tasks_of(job);
  write();
  write_after(kUnnotifiedBatchDelay);
  ASSERT_EQ(cache->txns.size(), 1u);
  auto revision = cache->commit_oldest_txn();
  EXPECT_EQ(cache->applied, std::vector{revision});
  ASSERT_EQ(messenger.broadcasts.size(), 1u);
  EXPECT_EQ(std::get<protocol::ChangeNotification>(messenger.broadcasts[0]).revision, revision);
  EXPECT_EQ(context.view().job(job)->progress.at(kShard).value.released.size(), 1u);
}

TEST_F(ProgressWriterTest, DoesNotWriteWhileATransactionIsPending) {
  release_tasks_of(job);
  write();
  write_after(kUnnotifiedBatchDelay);
  write_after(kUnnotifiedBatchDelay);
  EXPECT_EQ(cache->txns.size(), 1u);
}

TEST_F(ProgressWriterTest, RetriesAFailedTransactionAfterTheNextRead) {
  for (auto outcome : {TxnError::kConflict, TxnError::kNotExecuted, TxnError::kUnknown}) {
    if (!shard().manager->unwritten_progress().contains(job)) release_tasks_of(job);
    write_after(kCheckPeriod);
    write_after(kUnnotifiedBatchDelay);
    ASSERT_EQ(cache->txns.size(), 1u);
    cache->fail_oldest_txn(outcome);
    EXPECT_TRUE(messenger.broadcasts.empty());
    write_after(kCheckPeriod);
    EXPECT_TRUE(cache->txns.empty());
    ASSERT_EQ(cache->syncs.size(), 1u);
    cache->finish_oldest_sync(false);
  }
  write_after(kCheckPeriod);
  EXPECT_EQ(cache->txns.size(), 1u);
}

TEST_F(ProgressWriterTest, LimitsTheNumberOfJobsInATransaction) {
  for (std::size_t number = 0; number < kMaxJobsPerTxn + 2; ++number)
    release_tasks_of(JobId("run-" + std::to_string(number)));
  write();
  write_after(kUnnotifiedBatchDelay);
  ASSERT_EQ(cache->txns.size(), 1u);
  EXPECT_EQ(cache->txns[0].txn.writes.size(), kMaxJobsPerTxn);
}

TEST_F(ProgressWriterTest, OutcomeOfAnEarlierTermDoesNotEndThePendingTransactionOfTheNextTerm) {
  release_tasks_of(job);
  write();
  write_after(kUnnotifiedBatchDelay);
  ASSERT_EQ(cache->txns.size(), 1u);
  auto& next_term_shard = shards.add(kShard);
  next_term_shard.manager =
      std::make_unique<shard::ShardManager>(kShard, Term(6), shard::fixture::params(), clock.now());
  next_term_shard.progress_write_pending = true;
  cache->commit_oldest_txn();
  EXPECT_TRUE(shard().progress_write_pending);
}

}  // namespace
}  // namespace beaconsill::controller
