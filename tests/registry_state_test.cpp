// Tests which buckets of the machine registry are to be written.
#include "shard/registry_state.h"

#include <gtest/gtest.h>

namespace beaconsill::shard {
namespace {

Machine machine(const char* name, bool registered, bool confirmed) {
  Machine out;
  out.name = MachineName(name);
  out.type = MachineType("t4");
  out.zone = Zone("a");
  out.address = "127.0.0.1:1";
  out.registered = registered;
  out.confirmed = confirmed;
  return out;
}

state_store::MachineRecord record(const Machine& machine) {
  return {machine.name, machine.type, machine.zone, machine.spot, machine.address, machine.quarantined};
}

TEST(RegistryState, WritesMachinesThatAreConfirmedOrRegistered) {
  struct Case {
    const char* what;
    bool read, registered, confirmed;
    std::size_t written;
  };
  const Case cases[] = {
      {"registry not read yet", false, false, true, 0},
      {"machine that has reported this leader's term", true, false, true, 1},
      {"machine known only from a heartbeat of an earlier term", true, false, false, 0},
  };
  for (const auto& entry : cases) {
    RegistryState registry;
    if (entry.read) registry.on_read({});
    EXPECT_EQ(registry.is_loaded(), entry.read);
    std::map<MachineName, Machine> machines;
    machines[MachineName("m1")] = machine("m1", entry.registered, entry.confirmed);
    EXPECT_EQ(registry.buckets_to_write(machines).size(), entry.written) << entry.what;
  }
}

TEST(RegistryState, ReturnsAChangedBucketUntilItIsReadBack) {
  RegistryState registry;
  registry.on_read({});
  std::map<MachineName, Machine> machines;
  auto& added = machines[MachineName("m1")] = machine("m1", false, true);
  auto buckets = registry.buckets_to_write(machines);
  ASSERT_EQ(buckets.size(), 1u);
  EXPECT_EQ(buckets.begin()->first, state_store::machine_bucket(added.name));
  EXPECT_EQ(buckets.begin()->second, std::vector{record(added)});
  EXPECT_EQ(registry.buckets_to_write(machines), buckets);
  registry.on_read({record(added)});
  added.registered = true;
  EXPECT_TRUE(registry.buckets_to_write(machines).empty());
  // A change is detected only after mark_dirty, since not every call compares all machines.
  added.quarantined = true;
  EXPECT_TRUE(registry.buckets_to_write(machines).empty());
  registry.mark_dirty();
  EXPECT_EQ(registry.buckets_to_write(machines).size(), 1u);
}

TEST(RegistryState, RemovesRecordsOfMachinesThatAreNoLongerKnown) {
  RegistryState registry;
  registry.on_read({record(machine("m1", true, true))});
  auto buckets = registry.buckets_to_write({});
  ASSERT_EQ(buckets.size(), 1u);
  EXPECT_TRUE(buckets.begin()->second.empty());
}

}  // namespace
}  // namespace beaconsill::shard
