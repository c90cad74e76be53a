// The machine registry of a led shard: read when its term begins, written as machines come.
#include "controller/registry_sync.h"

#include <algorithm>

#include "controller_component_fixture.h"
#include "shard_test_data.h"
#include "state_store/machine_registry.h"

namespace beaconsill::controller {
namespace {

using state_store::TxnError;

constexpr Term kTerm(5);

struct RegistrySyncTest : ComponentFixture {
  RegistrySyncTest() {
    set_shard_role(kSelf, kTerm);
    lead(kTerm);
  }
  // A term of the shard begins.
  void lead(Term term) {
    shards.add(kShard).manager =
        std::make_unique<shard::ShardManager>(kShard, term, shard::fixture::params(), clock.now());
  }
  LedShard& shard() { return *shards.find(kShard); }
  void read() { registry.read(kShard, shard()); }
  void write() { registry.write(kShard, shard()); }
  // The registry is read, and a worker that isn't registered sends a heartbeat.
  void read_and_add_worker() {
    read();
    cache->finish_oldest_sync(true);
    add_worker();
  }
  // A worker that obeys this term of the shard sends a heartbeat.
  void add_worker() {
    auto worker = shard::fixture::new_worker("m1", Zone("a"));
    worker.token = FencingToken::first_of(kTerm);
    shard().manager->on_worker_heartbeat(worker, clock.now());
  }

  LedShards shards;
  int reads = 0;
  RegistrySync registry{context, shards, [this] { ++reads; }};
};

TEST_F(RegistrySyncTest, TheShardIsNotReconciledBeforeItsRegistryWasRead) {
  read();
  shard().manager->tick(clock.now(), clock.now(), clock.now());
  EXPECT_FALSE(shard().manager->is_reconciled());
  cache->finish_oldest_sync(true);
  EXPECT_EQ(reads, 1);
  shard().manager->tick(clock.now(), clock.now(), clock.now());
  EXPECT_TRUE(shard().manager->is_reconciled());
}

TEST_F(RegistrySyncTest, ReadsOnceInATerm) {
  read();
  read();
  EXPECT_EQ(cache->syncs.size(), 1u);
  cache->finish_oldest_sync(true);
  read();
  EXPECT_TRUE(cache->syncs.empty());
}

TEST_F(RegistrySyncTest, RepeatsAReadThatFailed) {
  read();
  cache->finish_oldest_sync(false);
  EXPECT_EQ(reads, 0);
  EXPECT_FALSE(shard().registry_read);
  read();
  EXPECT_EQ(cache->syncs.size(), 1u);
}

TEST_F(RegistrySyncTest, AReadOfAnEarlierTermHasNoEffect) {
  read();
  lead(Term(6));
  cache->finish_oldest_sync(true);
  EXPECT_EQ(reads, 0);
  EXPECT_FALSE(shard().registry_read);
}

TEST_F(RegistrySyncTest, AReadThatEndsAfterTheStopHasNoEffect) {
  read();
  registry.stop();
  cache->finish_oldest_sync(true);
  EXPECT_EQ(reads, 0);
}

TEST_F(RegistrySyncTest, RegistersANewMachineUnderTheTermOfTheShard) {
  read_and_add_worker();
  write();
  ASSERT_EQ(cache->txns.size(), 1u);
  const auto& pending = cache->txns[0];
  EXPECT_EQ(pending.urgency, state_store::Urgency::kElection);
  auto is_role = [](const protocol::Condition& condition) {
    return condition.key == state_store::shard_role_key(kShard);
  };
  EXPECT_TRUE(std::any_of(pending.txn.conditions.begin(), pending.txn.conditions.end(), is_role));
  auto revision = cache->commit_oldest_txn();
  EXPECT_EQ(cache->applied, std::vector{revision});
  auto registered = state_store::registered_machines(context.view(), kShard);
  ASSERT_EQ(registered.size(), 1u);
  EXPECT_EQ(registered[0].name, MachineName("m1"));
}

TEST_F(RegistrySyncTest, WritesNothingBeforeTheRegistryWasRead) {
  add_worker();
  write();
  EXPECT_TRUE(cache->txns.empty());
}

TEST_F(RegistrySyncTest, WritesNothingWhileTheRoleIsHeldUnderAnotherTerm) {
  read_and_add_worker();
  set_shard_role(kPeer, Term(6));
  write();
  EXPECT_TRUE(cache->txns.empty());
}

TEST_F(RegistrySyncTest, OneTransactionIsUnderWayAtATime) {
  read_and_add_worker();
  write();
  write();
  EXPECT_EQ(cache->txns.size(), 1u);
}

// What was written instead decides what is to be written next.
TEST_F(RegistrySyncTest, RepeatsAFailedTransactionOnceTheStateWasRead) {
  read_and_add_worker();
  write();
  cache->fail_oldest_txn(TxnError::kConflict);
  EXPECT_TRUE(cache->applied.empty());
  write();
  EXPECT_TRUE(cache->txns.empty());
  ASSERT_EQ(cache->syncs.size(), 1u);
  cache->finish_oldest_sync(false);
  write();
  EXPECT_EQ(cache->txns.size(), 1u);
}

}  // namespace
}  // namespace beaconsill::controller
