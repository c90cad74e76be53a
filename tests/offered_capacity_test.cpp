// Tests how the capacity offered to one job is restricted, and in which order it's used.
#include "scheduler/offered_capacity.h"

#include <gtest/gtest.h>

namespace beaconsill::scheduler {
namespace {

// Returns the number of tasks for each shard.
std::map<std::uint32_t, std::uint32_t> by_shard(const std::vector<ShardAllocation>& allocations) {
  std::map<std::uint32_t, std::uint32_t> tasks;
  for (const auto& allocation : allocations) tasks[allocation.shard.value()] += allocation.tasks;
  return tasks;
}

// Returns the number of tasks for each zone.
std::map<std::string, std::uint32_t> by_zone(const std::vector<ShardAllocation>& allocations) {
  std::map<std::string, std::uint32_t> tasks;
  for (const auto& allocation : allocations) tasks[allocation.zone.value().value()] += allocation.tasks;
  return tasks;
}

protocol::ZoneCapacity zone(const char* name, std::uint32_t free, std::uint32_t image_cached = 0,
                            std::uint32_t preemptible = 0, std::uint32_t image_cached_preemptible = 0) {
  return {Zone(name), free, image_cached, preemptible, image_cached_preemptible};
}

using TasksByShard = std::map<std::uint32_t, std::uint32_t>;

TEST(OfferedCapacity, UsesCachedImagesFirstThenOtherFreeCapacityThenPreemption) {
  struct Case {
    const char* what;
    JobKind kind;
    std::uint32_t tasks;
    protocol::ZoneCapacity first, second;  // of shards 0 and 1
    std::uint32_t reserved_tasks;          // on shard 1
    TasksByShard free, preempting;
  };
  const Case cases[] = {
      {"free capacity with a cached image first",
       JobKind::kArray,
       2,
       zone("a", 9),
       zone("a", 5, 3),
       0,
       {{1, 2}},
       {}},
      {"the other tasks on other free capacity",
       JobKind::kArray,
       5,
       zone("a", 9),
       zone("a", 3, 3),
       0,
       {{0, 2}, {1, 3}},
       {}},
      {"preemption last", JobKind::kArray, 4, zone("a", 1, 0, 5), zone("a", 0), 0, {{0, 1}}, {{0, 3}}},
      {"a service preempts where the image is cached",
       JobKind::kService,
       1,
       zone("a", 9),
       zone("a", 0, 0, 3, 3),
       0,
       {},
       {{1, 1}}},
      {"an array doesn't preempt where the image is cached",
       JobKind::kArray,
       1,
       zone("a", 9),
       zone("a", 0, 0, 3, 3),
       0,
       {{0, 1}},
       {}},
      {"a service doesn't preempt if only some of its tasks could use a cached image",
       JobKind::kService,
       2,
       zone("a", 9),
       zone("a", 0, 0, 1, 1),
       0,
       {{0, 2}},
       {}},
      {"reserved tasks are subtracted",
       JobKind::kArray,
       9,
       zone("a", 2),
       zone("a", 5, 4),
       3,
       {{0, 2}, {1, 2}},
       {}},
      {"all capacity is reserved", JobKind::kArray, 9, zone("a", 0), zone("a", 5, 4), 6, {}, {}},
  };
  for (const auto& test_case : cases) {
    OfferedCapacity offered(false);
    offered.add_shard(ShardId(0), {test_case.first}, 0);
    offered.add_shard(ShardId(1), {test_case.second}, test_case.reserved_tasks);
    auto placement = offered.place(test_case.tasks, test_case.kind);
    EXPECT_EQ(by_shard(placement.free), test_case.free) << test_case.what;
    EXPECT_EQ(by_shard(placement.preempting), test_case.preempting) << test_case.what;
    EXPECT_EQ(placement.empty(), test_case.free.empty() && test_case.preempting.empty()) << test_case.what;
  }
}

TEST(OfferedCapacity, RestrictsAOneZoneJobToTheZoneOfItsTasksOrTheLargestZone) {
  struct Case {
    const char* what;
    TasksByZone placed;
    std::map<std::string, std::uint32_t> tasks;
  };
  const Case cases[] = {
      {"no placed tasks: the zone with most capacity on all shards", {}, {{"b", 7}}},
      {"placed tasks: their zone", {{Zone("a"), 1}}, {{"a", 6}}},
      {"placed tasks in a zone without capacity", {{Zone("c"), 1}}, {}},
  };
  for (const auto& test_case : cases) {
    OfferedCapacity offered(true);
    offered.add_shard(ShardId(0), {zone("a", 6), zone("b", 3)}, 0);
    offered.add_shard(ShardId(1), {zone("b", 4)}, 0);
    offered.restrict_to_one_zone(test_case.placed);
    EXPECT_EQ(by_zone(offered.place(9, JobKind::kArray).free), test_case.tasks) << test_case.what;
  }
}

TEST(OfferedCapacity, LimitsTheTasksOfASpreadJobInEachZone) {
  struct Case {
    const char* what;
    TasksByZone placed;
    std::map<std::string, std::uint32_t> tasks;
  };
  const Case cases[] = {
      {"no placed tasks: the limit in each zone", {}, {{"a", 3}, {"b", 3}}},
      {"placed tasks count towards the limit", {{Zone("a"), 2}}, {{"a", 1}, {"b", 3}}},
      {"a zone already exceeds the limit", {{Zone("a"), 4}}, {{"b", 3}}},
  };
  for (const auto& test_case : cases) {
    OfferedCapacity offered(true);
    offered.add_shard(ShardId(0), {zone("a", 50), zone("b", 2)}, 0);
    offered.add_shard(ShardId(1), {zone("b", 4)}, 0);
    offered.spread_over_zones(3, test_case.placed);
    EXPECT_EQ(by_zone(offered.place(9, JobKind::kArray).free), test_case.tasks) << test_case.what;
  }
}

TEST(OfferedCapacity, OffersAGangCapacityForAllItsTasksOrNone) {
  struct Case {
    std::uint32_t tasks, first, second;
    TasksByShard allocations;
  };
  const Case cases[] = {{4, 4, 3, {{0, 4}}}, {4, 3, 9, {{1, 4}}}, {6, 4, 4, {{0, 3}, {1, 3}}}, {9, 4, 4, {}}};
  for (const auto& test_case : cases) {
    OfferedCapacity offered(false);
    offered.add_shard(ShardId(0), {zone("a", test_case.first, 2, 50)}, 0);
    offered.add_shard(ShardId(1), {zone("a", test_case.second)}, 0);
    offered.restrict_to_gang(test_case.tasks);
    EXPECT_EQ(offered.has_free_capacity(), !test_case.allocations.empty()) << test_case.tasks;
    auto placement = offered.place(test_case.tasks, JobKind::kGang);
    EXPECT_EQ(by_shard(placement.free), test_case.allocations) << test_case.tasks;
    EXPECT_TRUE(placement.preempting.empty()) << test_case.tasks;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
