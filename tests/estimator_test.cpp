// Tests how many tasks of a request the estimator finds capacity for, and which machines a request allows.
#include "shard/estimator.h"

#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

TEST(Estimator, TheScarcestResourceOrTheTaskCapLimitsTheCount) {
  struct Case {
    Resources each;
    std::uint32_t cap;
    std::uint32_t expected;
  };
  const Case cases[] = {
      {{1, 0, 1}, 64, 4}, {{1, 0, 8}, 64, 2}, {{0.1, 0, 0.1}, 64, 40}, {{0.1, 0, 0.1}, 7, 7},
      {{5, 0, 1}, 64, 0}, {{1, 1, 1}, 64, 0}, {{4, 0, 16}, 64, 1},     {{0.4, 0, 1.6}, 64, 10},
  };
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  for (const auto& entry : cases) {
    protocol::ResourceRequest request;
    request.each = entry.each;
    auto zones = estimate(fixture.shard.machines(), request, {entry.cap, 0}, at(0));
    std::uint32_t free = zones.empty() ? 0 : zones[0].free;
    EXPECT_EQ(free, entry.expected) << entry.each.cpus << ' ' << entry.each.memory_gb << ' ' << entry.cap;
  }
}

TEST(Estimator, MachinesAreAllowedByTypeZoneAndSpot) {
  struct Case {
    const char* what;
    std::optional<std::vector<MachineType>> types;
    std::optional<Zone> zone;
    bool spot_machine, spot_job;
    bool allowed;
  };
  const Case cases[] = {
      {"no constraints", std::nullopt, std::nullopt, false, false, true},
      {"matching type", std::vector{MachineType("t4")}, std::nullopt, false, false, true},
      {"other type", std::vector{MachineType("t8")}, std::nullopt, false, false, false},
      {"empty list of types", std::vector<MachineType>{}, std::nullopt, false, false, false},
      {"matching zone", std::nullopt, Zone("a"), false, false, true},
      {"other zone", std::nullopt, Zone("b"), false, false, false},
      {"spot machine for a job without spot", std::nullopt, std::nullopt, true, false, false},
      {"spot machine for a spot job", std::nullopt, std::nullopt, true, true, true},
      {"on-demand machine for a spot job", std::nullopt, std::nullopt, false, true, true},
  };
  for (const auto& entry : cases) {
    protocol::ResourceRequest request;
    request.types = entry.types;
    request.zone = entry.zone;
    request.spot = entry.spot_job;
    EXPECT_EQ(is_allowed(request, MachineType("t4"), Zone("a"), entry.spot_machine), entry.allowed)
        << entry.what;
  }
}

}  // namespace
}  // namespace beaconsill::shard
