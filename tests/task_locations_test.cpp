// Tests that the index of task locations stays consistent with the tasks of each machine.
#include "shard/task_locations.h"

#include <gtest/gtest.h>

namespace beaconsill::shard {
namespace {

using Visits = std::vector<std::pair<std::string, TaskKey>>;

TaskKey key(const char* job, std::uint32_t index, std::uint64_t attempt) {
  return {{JobId(job), index}, Attempt(attempt)};
}

struct TaskLocationsTest : testing::Test {
  TaskLocationsTest() {
    first.name = MachineName("m1");
    second.name = MachineName("m2");
  }
  Visits visits_of(const char* job) const {
    Visits visits;
    locations.for_each_of_job(JobId(job), [&](const Machine& machine, const TaskKey& task, MachineTask&) {
      visits.emplace_back(machine.name.value(), task);
    });
    return visits;
  }
  void drop(Machine& machine, const TaskKey& task) { locations.drop(machine, machine.tasks.find(task)); }

  Machine first;
  Machine second;
  TaskLocations locations;
};

TEST_F(TaskLocationsTest, PutAddsATaskOnce) {
  EXPECT_TRUE(locations.put(first, key("run-1", 0, 1)).inserted);
  EXPECT_TRUE(first.may_have_orphans);
  auto again = locations.put(first, key("run-1", 0, 1));
  EXPECT_FALSE(again.inserted);
  EXPECT_EQ(&again.task, &first.tasks.begin()->second);
  EXPECT_EQ(first.tasks.size(), 1u);
}

TEST_F(TaskLocationsTest, VisitsTheTasksOfOneJobOnAllMachines) {
  locations.put(first, key("run-1", 0, 1));
  locations.put(first, key("run-1", 7, 2));
  locations.put(second, key("run-1", 3, 3));
  locations.put(second, key("run-10", 0, 4));
  locations.put(second, key("run-0", 0, 5));
  EXPECT_EQ(visits_of("run-1"),
            (Visits{{"m1", key("run-1", 0, 1)}, {"m2", key("run-1", 3, 3)}, {"m1", key("run-1", 7, 2)}}));
  EXPECT_EQ(locations.visited_count(), 3u);
  EXPECT_TRUE(visits_of("run-2").empty());
}

TEST_F(TaskLocationsTest, VisitsEachOfTwoAttemptsOnAMachineOnce) {
  locations.put(first, key("run-1", 0, 1));
  locations.put(first, key("run-1", 0, 2));
  EXPECT_EQ(visits_of("run-1"), (Visits{{"m1", key("run-1", 0, 1)}, {"m1", key("run-1", 0, 2)}}));
  drop(first, key("run-1", 0, 1));
  EXPECT_EQ(visits_of("run-1"), (Visits{{"m1", key("run-1", 0, 2)}}));
  drop(first, key("run-1", 0, 2));
  EXPECT_TRUE(visits_of("run-1").empty());
  EXPECT_TRUE(first.tasks.empty());
}

TEST_F(TaskLocationsTest, ATaskIsLiveUntilAllItsAttemptsHaveEnded) {
  const TaskId id{JobId("run-1"), 0};
  EXPECT_FALSE(locations.is_live_anywhere(id));
  locations.put(first, key("run-1", 0, 1)).task.state = protocol::TaskState::kEnded;
  EXPECT_FALSE(locations.is_live_anywhere(id));
  auto& running = locations.put(second, key("run-1", 0, 2)).task;
  running.state = protocol::TaskState::kRunning;
  EXPECT_TRUE(locations.is_live_anywhere(id));
  EXPECT_FALSE(locations.is_live_anywhere({JobId("run-1"), 1}));
  running.state = protocol::TaskState::kEnded;
  EXPECT_FALSE(locations.is_live_anywhere(id));
}

}  // namespace
}  // namespace beaconsill::shard
