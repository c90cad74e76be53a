// The registry of a shard, at any number of machines, under small limits and beside earlier versions.
#include "state_store/machine_registry.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "state_store/bucket_plan.h"
#include "state_store/txn_draft.h"
#include "state_store/value_sizes.h"

namespace beaconsill::state_store {
namespace {

const ShardId kShard(1);
const std::vector<ControllerName> kControllers{ControllerName("a"), ControllerName("b"), ControllerName("c")};

MachineRecord machine(int number) {
  return {MachineName("host-" + std::to_string(100000 + number)),
          MachineType("a-type-of-thirty-characters-xx"), Zone("a-zone-of-thirty-characters-xx"), true,
          "10.100.100.100:10000"};
}

std::vector<MachineRecord> machines(int first, int end) {
  std::vector<MachineRecord> all;
  for (int i = first; i < end; ++i) all.push_back(machine(i));
  return all;
}

MachinesByBucket by_bucket(const std::vector<MachineRecord>& all) {
  MachinesByBucket buckets;
  for (std::uint32_t bucket = 0; bucket < kMachineBuckets; ++bucket) buckets[bucket];
  for (const auto& record : all) buckets[machine_bucket(record.name)].push_back(record);
  return buckets;
}

// A state store of one view, which takes only what the limits allow.
struct Service {
  StateView view;
  std::uint64_t revision = 10;
  RegistryLimits limits{16, std::size_t{8} * 1024};
  std::size_t changes = 0;

  explicit Service(std::uint32_t known_by_all) {
    Versions shown;
    for (const auto& controller : kControllers) shown[controller] = known_by_all;
    put(versions_key(), to_json(shown));
    put(shard_role_key(kShard), to_json(Role{kControllers[0], Term(3)}));
  }
  void put(const std::string& key, protocol::Json value) {
    view.apply({key, protocol::parse_json(protocol::dump(value)), Revision(++revision)});
  }
  void commit(const protocol::Txn& txn) {
    EXPECT_LE(txn.writes.size(), limits.txn_ops);
    EXPECT_LE(txn.conditions.size(), 4 * limits.txn_ops);
    EXPECT_LE(protocol::render_txn(txn).size(), std::size_t{64} * 1024);
    ++revision;
    for (const auto& write : txn.writes) {
      EXPECT_LE(value_bytes(*write.value), limits.value_bytes) << write.key;
      view.apply({write.key, protocol::parse_json(protocol::dump(*write.value)), Revision(revision)});
    }
    changes += txn.writes.size();
  }
  // Transactions until nothing is left to write.
  std::size_t settle(const std::vector<MachineRecord>& wanted) {
    std::size_t txns = 0;
    const auto buckets = by_bucket(wanted);
    while (auto txn = registry_txn(view, kShard, buckets, kControllers, limits)) {
      commit(*txn);
      if (++txns > 10000) {
        ADD_FAILURE() << "it never settles";
        break;
      }
    }
    return txns;
  }
  std::set<MachineName> names() const {
    std::set<MachineName> out;
    for (const auto& record : registered_machines(view, kShard)) out.insert(record.name);
    return out;
  }
};

TEST(MachineRegistry, HoldsAnyNumberOfMachinesUnderAnyLimits) {
  struct Case {
    int machines;
    RegistryLimits limits;
  };
  constexpr std::size_t kKib = 1024;
  const Case cases[] = {{4000, {16, 8 * kKib}},  {6000, {16, 8 * kKib}},       {6000, {16, 4 * kKib}},
                        {6000, {20, 32 * kKib}}, {6000, {20, kMaxValueBytes}}, {6000, {6, 2 * kKib}},
                        {1000, {1, 512}},        {6000, {200, 64 * kKib}}};
  for (const auto& test_case : cases) {
    Service service(kFormatVersion);
    service.limits = test_case.limits;
    service.limits.value_bytes = std::min(service.limits.value_bytes, kMaxValueBytes);
    auto all = machines(0, test_case.machines);
    service.settle(all);
    EXPECT_EQ(service.names().size(), all.size()) << test_case.limits.value_bytes;
    // One more and one less cost a key or two, not the registry.
    service.changes = 0;
    all.push_back(machine(test_case.machines));
    EXPECT_EQ(service.settle(all), 1u);
    EXPECT_EQ(service.changes, 1u);
    all.erase(all.begin() + test_case.machines / 2);
    EXPECT_EQ(service.settle(all), 1u);
    EXPECT_EQ(service.changes, 2u);
    EXPECT_EQ(service.names().size(), all.size());
    // Removed to the last one.
    service.settle({});
    EXPECT_TRUE(service.names().empty());
  }
}

// Versions 0 and 1 read 1 and 4 keys of a bucket. Machines beyond wait until all controllers read on.
TEST(MachineRegistry, KeysThatAnEarlierVersionDoesNotReadAreNotWrittenWhileItMayLeadTheShard) {
  for (std::uint32_t version : {0u, 1u, 2u}) {
    Service service(version);
    service.limits.value_bytes = 4096;
    service.settle(machines(0, 6000));
    std::uint32_t most = 0;
    for (const auto& [key, value] : service.view.registry(kShard)) most = std::max(most, key);
    EXPECT_EQ(registry_key_min_version(most), version);
    EXPECT_EQ(service.view.shard_role(kShard).value.min_reader_version, version);
    EXPECT_EQ(service.view.shard_role(kShard).value.term, Term(3));
    EXPECT_EQ(service.names().size() == 6000, version == 2) << version;
    // An old process that is back keeps further keys from being written, and those that exist stay.
    auto before = service.names();
    service.put(alive_key(kControllers[1]), protocol::Json{{"up", true}});
    service.settle(machines(0, 6100));
    const auto after = service.names();
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(), before.end())) << version;
  }
}

// The role is made unreadable for the version that lacks the keys before the first of them is written, and
// also if a version that knew of no such fence has written them.
TEST(MachineRegistry, TheRoleIsFencedBeforeTheFirstFurtherKey) {
  Service service(2);
  service.limits.value_bytes = 1024;
  bool further = false;
  for (int i = 0; i < 400; ++i) {
    auto txn = registry_txn(service.view, kShard, by_bucket(machines(0, 600)), kControllers, service.limits);
    if (!txn) break;
    service.commit(*txn);
    std::uint32_t needed = 0;
    for (const auto& [key, value] : service.view.registry(kShard))
      needed = std::max(needed, registry_key_min_version(key));
    further |= needed > 0;
    EXPECT_GE(service.view.shard_role(kShard).value.min_reader_version, needed);
  }
  EXPECT_TRUE(further);

  Service old(1);
  old.put(machines_key(kShard, 16), to_json(machines(0, 3)));
  old.settle({});
  EXPECT_EQ(old.view.shard_role(kShard).value.min_reader_version, 1u);
}

// What was written under a higher limit moves out without ever falling out of the registry.
TEST(MachineRegistry, AValueThatHasOutgrownItsLimitIsSplitAndLosesNothing) {
  for (std::size_t ops : {1, 2, 16}) {
    Service service(2);
    service.limits = {16, std::size_t{32} * 1024};
    auto all = machines(0, 2000);
    service.settle(all);
    service.limits = {ops, 2048};
    all.erase(all.begin(), all.begin() + 100);
    const auto buckets = by_bucket(all);
    for (int i = 0; i < 10000; ++i) {
      auto txn = registry_txn(service.view, kShard, buckets, kControllers, service.limits);
      if (!txn) break;
      service.commit(*txn);
      auto names = service.names();
      for (const auto& record : all)
        ASSERT_TRUE(names.contains(record.name)) << record.name.value() << " " << ops;
    }
    EXPECT_EQ(service.names().size(), all.size());
    for (const auto& [key, value] : service.view.registry(kShard))
      EXPECT_LE(value_bytes(to_json(value.value)), 2048u) << key;
  }
  // No segment is left to move to: the outgrown value stays as it is.
  BucketSegments recorded{{0, machines(0, 50)}};
  EXPECT_TRUE(plan_bucket(recorded, machines(1, 50), 2048, 1).empty());
  // Those that fit are kept where they are, and what changed of them is replaced.
  auto changed = machines(0, 3);
  changed[1].quarantined = true;
  auto plan = plan_bucket({{0, machines(0, 3)}}, changed, 2048, 1);
  ASSERT_EQ(plan.size(), 1u);
  EXPECT_EQ(plan[0].machines, changed);
}

TEST(TxnDraft, TakesWhatTheServiceTakes) {
  auto write = [](std::size_t bytes) {
    return protocol::Write{"k", protocol::Json(std::string(bytes, 'x')), {}};
  };
  TxnDraft few(2);
  EXPECT_TRUE(few.add({{"k", Revision(1)}}, {write(10)}));
  EXPECT_FALSE(few.add({}, {write(10), write(10)}));  // all or none
  EXPECT_TRUE(few.add({}, {write(10)}));
  EXPECT_FALSE(few.add({}, {write(10)}));
  EXPECT_EQ(few.txn().writes.size(), 2u);
  TxnDraft conditions(1);
  for (std::size_t i = 0; i < kConditionsPerChange; ++i) EXPECT_TRUE(conditions.require({"k", Revision(1)}));
  EXPECT_FALSE(conditions.require({"k", Revision(1)}));
  TxnDraft large(20);
  while (large.add({}, {write(9000)})) continue;
  EXPECT_EQ(large.txn().writes.size(), 6u);
  EXPECT_LE(protocol::render_txn(large.txn()).size(), std::size_t{64} * 1024);
  EXPECT_TRUE(TxnDraft(1).add({{"k", Revision(1)}}, {write(kMaxValueBytes)}));
}

}  // namespace
}  // namespace beaconsill::state_store
