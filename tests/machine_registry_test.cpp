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

MachineRecord machine(int i) {
  return {MachineName("host-" + std::to_string(100000 + i)), MachineType("a-type-of-thirty-characters-xx"),
          Zone("a-zone-of-thirty-characters-xx"), true, "10.100.100.100:10000"};
}

std::vector<MachineRecord> machines(int first, int end) {
  std::vector<MachineRecord> all;
  for (int i = first; i < end; ++i) all.push_back(machine(i));
  return all;
}

MachinesByBucket by_bucket(const std::vector<MachineRecord>& all) {
  MachinesByBucket buckets;
  for (std::uint32_t b = 0; b < kMachineBuckets; ++b) buckets[b];
  for (const auto& m : all) buckets[machine_bucket(m.name)].push_back(m);
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
    for (const auto& n : kControllers) shown[n] = known_by_all;
    put(versions_key(), to_json(shown));
    put(shard_role_key(kShard), to_json(Role{kControllers[0], Term(3)}));
  }
  void put(const std::string& key, protocol::Json value) {
    view.apply({key, protocol::parse_json(protocol::dump(value)), Revision(++revision)});
  }
  void commit(const protocol::Txn& t) {
    EXPECT_LE(t.writes.size(), limits.txn_ops);
    EXPECT_LE(t.conditions.size(), 4 * limits.txn_ops);
    EXPECT_LE(protocol::render_txn(t).size(), std::size_t{64} * 1024);
    ++revision;
    for (const auto& w : t.writes) {
      EXPECT_LE(value_bytes(*w.value), limits.value_bytes) << w.key;
      view.apply({w.key, protocol::parse_json(protocol::dump(*w.value)), Revision(revision)});
    }
    changes += t.writes.size();
  }
  // Transactions until nothing is left to write.
  std::size_t settle(const std::vector<MachineRecord>& wanted) {
    std::size_t txns = 0;
    const auto buckets = by_bucket(wanted);
    while (auto t = registry_txn(view, kShard, buckets, kControllers, limits)) {
      commit(*t);
      if (++txns > 10000) {
        ADD_FAILURE() << "it never settles";
        break;
      }
    }
    return txns;
  }
  std::set<MachineName> names() const {
    std::set<MachineName> out;
    for (const auto& m : registered_machines(view, kShard)) out.insert(m.name);
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
  for (const auto& c : cases) {
    Service s(kFormatVersion);
    s.limits = c.limits;
    s.limits.value_bytes = std::min(s.limits.value_bytes, kMaxValueBytes);
    auto all = machines(0, c.machines);
    s.settle(all);
    EXPECT_EQ(s.names().size(), all.size()) << c.limits.value_bytes;
    // One more and one less cost a key or two, not the registry.
    s.changes = 0;
    all.push_back(machine(c.machines));
    EXPECT_EQ(s.settle(all), 1u);
    EXPECT_EQ(s.changes, 1u);
    all.erase(all.begin() + c.machines / 2);
    EXPECT_EQ(s.settle(all), 1u);
    EXPECT_EQ(s.changes, 2u);
    EXPECT_EQ(s.names().size(), all.size());
    // Removed to the last one.
    s.settle({});
    EXPECT_TRUE(s.names().empty());
  }
}

// Versions 0 and 1 read 1 and 4 keys of a bucket. Machines beyond wait until all controllers read on.
TEST(MachineRegistry, KeysThatAnEarlierVersionDoesNotReadAreNotWrittenWhileItMayLeadTheShard) {
  for (std::uint32_t version : {0u, 1u, 2u}) {
    Service s(version);
    s.limits.value_bytes = 4096;
    s.settle(machines(0, 6000));
    std::uint32_t most = 0;
    for (const auto& [key, value] : s.view.registry(kShard)) most = std::max(most, key);
    EXPECT_EQ(registry_key_since(most), version);
    EXPECT_EQ(s.view.shard_role(kShard).value.min_reader_version, version);
    EXPECT_EQ(s.view.shard_role(kShard).value.term, Term(3));
    EXPECT_EQ(s.names().size() == 6000, version == 2) << version;
    // An old process that is back keeps further keys from being written, and those that exist stay.
    auto before = s.names();
    s.put(alive_key(kControllers[1]), protocol::Json{{"up", true}});
    s.settle(machines(0, 6100));
    const auto after = s.names();
    EXPECT_TRUE(std::includes(after.begin(), after.end(), before.begin(), before.end())) << version;
  }
}

// The role is made unreadable for the version that lacks the keys before the first of them is written, and
// also if a version that knew of no such fence has written them.
TEST(MachineRegistry, TheRoleIsFencedBeforeTheFirstFurtherKey) {
  Service s(2);
  s.limits.value_bytes = 1024;
  bool further = false;
  for (int i = 0; i < 400; ++i) {
    auto t = registry_txn(s.view, kShard, by_bucket(machines(0, 600)), kControllers, s.limits);
    if (!t) break;
    s.commit(*t);
    std::uint32_t needed = 0;
    for (const auto& [key, value] : s.view.registry(kShard))
      needed = std::max(needed, registry_key_since(key));
    further |= needed > 0;
    EXPECT_GE(s.view.shard_role(kShard).value.min_reader_version, needed);
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
    Service s(2);
    s.limits = {16, std::size_t{32} * 1024};
    auto all = machines(0, 2000);
    s.settle(all);
    s.limits = {ops, 2048};
    all.erase(all.begin(), all.begin() + 100);
    const auto buckets = by_bucket(all);
    for (int i = 0; i < 10000; ++i) {
      auto t = registry_txn(s.view, kShard, buckets, kControllers, s.limits);
      if (!t) break;
      s.commit(*t);
      auto names = s.names();
      for (const auto& m : all) ASSERT_TRUE(names.contains(m.name)) << m.name.value() << " " << ops;
    }
    EXPECT_EQ(s.names().size(), all.size());
    for (const auto& [key, value] : s.view.registry(kShard))
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
