// Tests of the machine registry of a shard: many machines, small limits, limits that are lowered later, and
// controllers of earlier format versions.
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

// A fake state store with a view of its content. Checks that each transaction is within the limits.
struct FakeStateStore {
  StateView view;
  std::uint64_t revision = 10;
  RegistryLimits limits{16, std::size_t{8} * 1024};
  std::size_t write_count = 0;

  // `version`: the format version that all controllers support.
  explicit FakeStateStore(std::uint32_t version) {
    Versions recorded_versions;
    for (const auto& controller : kControllers) recorded_versions[controller] = version;
    put(versions_key(), to_json(recorded_versions));
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
    write_count += txn.writes.size();
  }
  // Commits transactions until nothing is left to write. Returns their number.
  std::size_t write_registry(const std::vector<MachineRecord>& wanted) {
    std::size_t txns = 0;
    const auto buckets = by_bucket(wanted);
    while (auto txn = registry_txn(view, kShard, buckets, kControllers, limits)) {
      commit(*txn);
      if (++txns > 10000) {
        ADD_FAILURE() << "registry still has something to write after " << txns << " transactions";
        break;
      }
    }
    return txns;
  }
  std::set<MachineName> registered_names() const {
    std::set<MachineName> names;
    for (const auto& record : registered_machines(view, kShard)) names.insert(record.name);
    return names;
  }
};

TEST(MachineRegistry, RegistersAnyNumberOfMachinesUnderAnyLimits) {
  struct Case {
    int machines;
    RegistryLimits limits;
  };
  constexpr std::size_t kKib = 1024;
  const Case cases[] = {{4000, {16, 8 * kKib}},  {6000, {16, 8 * kKib}},       {6000, {16, 4 * kKib}},
                        {6000, {20, 32 * kKib}}, {6000, {20, kMaxValueBytes}}, {6000, {6, 2 * kKib}},
                        {1000, {1, 512}},        {6000, {200, 64 * kKib}}};
  for (const auto& test_case : cases) {
    FakeStateStore store(kFormatVersion);
    store.limits = test_case.limits;
    store.limits.value_bytes = std::min(store.limits.value_bytes, kMaxValueBytes);
    auto all = machines(0, test_case.machines);
    store.write_registry(all);
    EXPECT_EQ(store.registered_names().size(), all.size()) << test_case.limits.value_bytes;
    // Adding or removing one machine rewrites one or two keys, not the whole registry.
    store.write_count = 0;
    all.push_back(machine(test_case.machines));
    EXPECT_EQ(store.write_registry(all), 1u);
    EXPECT_EQ(store.write_count, 1u);
    all.erase(all.begin() + test_case.machines / 2);
    EXPECT_EQ(store.write_registry(all), 1u);
    EXPECT_EQ(store.write_count, 2u);
    EXPECT_EQ(store.registered_names().size(), all.size());
    // All machines can be removed.
    store.write_registry({});
    EXPECT_TRUE(store.registered_names().empty());
  }
}

// Controllers of format version 0 read one key per bucket, and those of version 1 read four. Machines that
// need further keys are not registered until all controllers read these keys.
TEST(MachineRegistry, KeysThatAnEarlierVersionDoesNotReadAreNotWrittenWhileItMayLeadTheShard) {
  for (std::uint32_t version : {0u, 1u, 2u}) {
    FakeStateStore store(version);
    store.limits.value_bytes = 4096;
    store.write_registry(machines(0, 6000));
    std::uint32_t highest_key = 0;
    for (const auto& [key, value] : store.view.registry(kShard)) highest_key = std::max(highest_key, key);
    EXPECT_EQ(registry_key_min_version(highest_key), version);
    EXPECT_EQ(store.view.shard_role(kShard).value.min_reader_version, version);
    EXPECT_EQ(store.view.shard_role(kShard).value.term, Term(3));
    EXPECT_EQ(store.registered_names().size() == 6000, version == 2) << version;
    // When a controller of an earlier version starts again, no further keys are written, and the existing
    // ones remain.
    auto before = store.registered_names();
    store.put(alive_key(kControllers[1]), protocol::Json{{"up", true}});
    store.write_registry(machines(0, 6100));
    const auto after = store.registered_names();
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(), before.end())) << version;
  }
}

// Before a registry key is first written, the shard's role is made unreadable for the format versions that
// don't read that key. The same happens if the key already exists because a version that doesn't take this
// precaution has written it.
TEST(MachineRegistry, RaisesTheMinimumReaderVersionOfTheRoleBeforeWritingFurtherKeys) {
  FakeStateStore store(2);
  store.limits.value_bytes = 1024;
  bool further_key_written = false;
  for (int i = 0; i < 400; ++i) {
    auto txn = registry_txn(store.view, kShard, by_bucket(machines(0, 600)), kControllers, store.limits);
    if (!txn) break;
    store.commit(*txn);
    std::uint32_t required_version = 0;
    for (const auto& [key, value] : store.view.registry(kShard))
      required_version = std::max(required_version, registry_key_min_version(key));
    further_key_written |= required_version > 0;
    EXPECT_GE(store.view.shard_role(kShard).value.min_reader_version, required_version);
  }
  EXPECT_TRUE(further_key_written);

  FakeStateStore version_1_store(1);
  version_1_store.put(machines_key(kShard, 16), to_json(machines(0, 3)));
  version_1_store.write_registry({});
  EXPECT_EQ(version_1_store.view.shard_role(kShard).value.min_reader_version, 1u);
}

// After the value size limit is lowered, machines move from the oversized values to other keys. At no time
// may one be missing from the registry.
TEST(MachineRegistry, AnOversizedValueIsSplitWithoutLosingMachines) {
  for (std::size_t txn_ops : {1, 2, 16}) {
    FakeStateStore store(2);
    store.limits = {16, std::size_t{32} * 1024};
    auto all = machines(0, 2000);
    store.write_registry(all);
    store.limits = {txn_ops, 2048};
    all.erase(all.begin(), all.begin() + 100);
    const auto buckets = by_bucket(all);
    for (int i = 0; i < 10000; ++i) {
      auto txn = registry_txn(store.view, kShard, buckets, kControllers, store.limits);
      if (!txn) break;
      store.commit(*txn);
      auto names = store.registered_names();
      for (const auto& record : all)
        ASSERT_TRUE(names.contains(record.name)) << record.name.value() << " " << txn_ops;
    }
    EXPECT_EQ(store.registered_names().size(), all.size());
    for (const auto& [key, value] : store.view.registry(kShard))
      EXPECT_LE(value_bytes(to_json(value.value)), 2048u) << key;
  }
  // If no other segment is allowed, the oversized value stays unchanged.
  BucketSegments recorded{{0, machines(0, 50)}};
  EXPECT_TRUE(plan_bucket(recorded, machines(1, 50), 2048, 1).empty());
  // Machines within the limit stay in their segment, and their changed fields are written.
  auto changed = machines(0, 3);
  changed[1].quarantined = true;
  auto plan = plan_bucket({{0, machines(0, 3)}}, changed, 2048, 1);
  ASSERT_EQ(plan.size(), 1u);
  EXPECT_EQ(plan[0].machines, changed);
}

TEST(TxnDraft, AcceptsOnlyWhatIsWithinTheProtocolLimits) {
  auto write = [](std::size_t bytes) {
    return protocol::Write{"k", protocol::Json(std::string(bytes, 'x')), {}};
  };
  TxnDraft two_writes(2);
  EXPECT_TRUE(two_writes.add({{"k", Revision(1)}}, {write(10)}));
  EXPECT_FALSE(two_writes.add({}, {write(10), write(10)}));  // adds both or none
  EXPECT_TRUE(two_writes.add({}, {write(10)}));
  EXPECT_FALSE(two_writes.add({}, {write(10)}));
  EXPECT_EQ(two_writes.txn().writes.size(), 2u);
  TxnDraft one_write(1);
  for (std::size_t i = 0; i < kConditionsPerWrite; ++i) EXPECT_TRUE(one_write.require({"k", Revision(1)}));
  EXPECT_FALSE(one_write.require({"k", Revision(1)}));
  TxnDraft twenty_writes(20);
  while (twenty_writes.add({}, {write(9000)})) continue;
  EXPECT_EQ(twenty_writes.txn().writes.size(), 6u);
  EXPECT_LE(protocol::render_txn(twenty_writes.txn()).size(), std::size_t{64} * 1024);
  EXPECT_TRUE(TxnDraft(1).add({{"k", Revision(1)}}, {write(kMaxValueBytes)}));
}

}  // namespace
}  // namespace beaconsill::state_store
