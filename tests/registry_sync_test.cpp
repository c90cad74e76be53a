// Tests that the RegistrySync reads a shard's machine registry when a term begins, and registers new
// machines.
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
    begin_term(kTerm);
  }
  // Begins a term of the shard.
  void begin_term(Term term) {
    shards.add(kShard).manager =
        std::make_unique<shard::ShardManager>(kShard, term, shard::fixture::params(), clock.now());
  }
  LedShard& shard() { return *shards.find(kShard); }
  void read() { registry.read(kShard, shard()); }
  void write() { registry.write(kShard, shard()); }
  // Reads the registry and lets a worker that isn't registered send a heartbeat.
  void read_and_add_worker() {
    read();
    cache->finish_oldest_sync(true);
    add_worker();
  }
  // Lets an unregistered worker that has seen this term of the shard send a heartbeat.
  void add_worker() {
    auto worker = shard::fixture::new_worker("m1", Zone("a"));
    worker.token = FencingToken::first_of(kTerm);
    shard().manager->on_worker_heartbeat(worker, clock.now());
  }

  LedShards shards;
  int read_callbacks = 0;
  RegistrySync registry{context, shards, [this] { ++read_callbacks; }};
};

TEST_F(RegistrySyncTest, ShardIsNotReconciledBeforeItsRegistryWasRead) {
  read();
  shard().manager->tick(clock.now(), clock.now(), clock.now());
  EXPECT_FALSE(shard().manager->is_reconciled());
  cache->finish_oldest_sync(true);
  EXPECT_EQ(read_callbacks, 1);
  shard().manager->tick(clock.now(), clock.now(), clock.now());
  EXPECT_TRUE(shard().manager->is_reconciled());
}

TEST_F(RegistrySyncTest, ReadsTheRegistryOncePerTerm) {
  read();
  read();
  EXPECT_EQ(cache->syncs.size(), 1u);
  cache->finish_oldest_sync(true);
  read();
  EXPECT_TRUE(cache->syncs.empty());
}

TEST_F(RegistrySyncTest, RetriesAFailedRead) {
  read();
  cache->finish_oldest_sync(false);
  EXPECT_EQ(read_callbacks, 0);
  EXPECT_FALSE(shard().registry_read);
  read();
  EXPECT_EQ(cache->syncs.size(), 1u);
}

TEST_F(RegistrySyncTest, IgnoresTheOutcomeOfAReadOfAnEarlierTerm) {
  read();
  begin_term(Term(6));
  cache->finish_oldest_sync(true);
  EXPECT_EQ(read_callbacks, 0);
  EXPECT_FALSE(shard().registry_read);
}

TEST_F(RegistrySyncTest, IgnoresTheOutcomeOfAReadAfterStop) {
  read();
  registry.stop();
  cache->finish_oldest_sync(true);
  EXPECT_EQ(read_callbacks, 0);
}

TEST_F(RegistrySyncTest, RegistersANewMachineConditionalOnTheShardRole) {
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

TEST_F(RegistrySyncTest, WritesNothingWhileTheShardRoleHasAnotherTerm) {
  read_and_add_worker();
  set_shard_role(kPeer, Term(6));
  write();
  EXPECT_TRUE(cache->txns.empty());
}

TEST_F(RegistrySyncTest, DoesNotWriteWhileATransactionIsPending) {
  read_and_add_worker();
  write();
  write();
  EXPECT_EQ(cache->txns.size(), 1u);
}

// The read shows what was written instead, on which the next transaction depends.
TEST_F(RegistrySyncTest, RetriesAFailedTransactionAfterTheNextRead) {
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
