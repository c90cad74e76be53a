// Tests which waiting tasks are placed in one pass, and on which machines.
#include "shard/placer.h"

#include "shard_state_fixture.h"

namespace beaconsill::shard {
namespace {

using Status = GrantedTask::Status;

struct PlacerTest : ShardStateFixture {
  void place_all(double now = kNowSeconds) { Placer(state, at(now)).place_all(); }
  bool is_placed(const std::string& job, std::uint32_t index = 0) {
    return granted_task(job, index).status == Status::kPlaced;
  }
  std::size_t placed_tasks(const std::string& job) {
    std::size_t count = 0;
    for (const auto& [index, task] : state.jobs.at(JobId(job)).granted_tasks)
      count += task.status == Status::kPlaced;
    return count;
  }
};

TEST_F(PlacerTest, JobsArePlacedByPriorityThenByDeadline) {
  struct Case {
    const char* what;
    Priority first_priority, second_priority;
    double first_deadline_s, second_deadline_s;
    bool first_placed;
  };
  const Case cases[] = {
      {"a higher priority", Priority::kHigh, Priority::kNormal, 900, 100, true},
      {"a lower priority", Priority::kLow, Priority::kNormal, 100, 900, false},
      {"an earlier deadline", Priority::kNormal, Priority::kNormal, 100, 900, true},
      {"a later deadline", Priority::kNormal, Priority::kNormal, 900, 100, false},
      {"equal, ordered by job id", Priority::kNormal, Priority::kNormal, 100, 100, true},
  };
  for (const auto& entry : cases) {
    reset();
    add_machine("m1").total = {1, 0, 16};
    auto first = job_spec("run-1", 1);
    first.priority = entry.first_priority;
    first.deadline_s = entry.first_deadline_s;
    auto second = job_spec("run-2", 1);
    second.priority = entry.second_priority;
    second.deadline_s = entry.second_deadline_s;
    grant(first);
    grant(second);
    place_all();
    EXPECT_EQ(is_placed("run-1"), entry.first_placed) << entry.what;
    EXPECT_EQ(is_placed("run-2"), !entry.first_placed) << entry.what;
  }
}

TEST_F(PlacerTest, TasksWithACachedImageArePlacedFirstAmongEqualPriorities) {
  auto& machine = add_machine("m1");
  machine.total = {1, 0, 16};
  machine.images.use(ImageName("cached"), 1, at(0));
  auto uncached = job_spec("run-1", 1);
  uncached.deadline_s = 100;
  auto cached = job_spec("run-2", 1);
  cached.image = ImageName("cached");
  cached.deadline_s = 900;
  grant(uncached);
  grant(cached);
  place_all();
  EXPECT_FALSE(is_placed("run-1"));
  EXPECT_TRUE(is_placed("run-2"));
}

TEST_F(PlacerTest, TheFullestMachineWithCapacityIsChosen) {
  auto& fuller = add_machine("m2");
  add_machine("m1");
  grant(job_spec("run-1", 2));
  run(fuller, "run-1", 0);
  run(fuller, "run-1", 1);
  // The image is cached on both machines, so that it does not determine the choice.
  for (auto& [name, machine] : state.machines) machine.images.use(ImageName("img"), 1, at(0));
  grant(job_spec("run-2", 3));
  place_all();
  EXPECT_EQ(granted_task("run-2", 0).machine, MachineName("m2"));
  EXPECT_EQ(granted_task("run-2", 1).machine, MachineName("m2"));
  EXPECT_EQ(granted_task("run-2", 2).machine, MachineName("m1"));
}

TEST_F(PlacerTest, ATaskRestrictedToAZoneIsPlacedOnlyThere) {
  add_machine("m1", "a");
  grant(job_spec("run-1", 1), Zone("b"));
  place_all();
  EXPECT_FALSE(is_placed("run-1"));
  add_machine("m2", "b");
  place_all();
  EXPECT_EQ(granted_task("run-1").machine, MachineName("m2"));
}

TEST_F(PlacerTest, ATaskThatIsLiveOnAnyMachineIsNotStarted) {
  for (bool ended : {false, true}) {
    reset();
    auto& machine = add_machine("m1");
    add_machine("m2");
    grant(job_spec("run-1", 1));
    auto& listed = state.locations.put(machine, {{JobId("run-1"), 0}, Attempt(7)}).task;
    listed.state = ended ? protocol::TaskState::kEnded : protocol::TaskState::kRunning;
    machine.invalidate_load();
    place_all();
    EXPECT_EQ(is_placed("run-1"), ended);
  }
}

TEST_F(PlacerTest, TasksOfACancelledJobAreNotPlaced) {
  add_machine("m1");
  grant(job_spec("run-1", 1)).terminal_state = state_store::TerminalState::kCancelled;
  place_all();
  EXPECT_FALSE(is_placed("run-1"));
}

TEST_F(PlacerTest, AJobIsNotPlacedOnMachinesOnWhichItFailedRecently) {
  add_machine("m1");
  grant(job_spec("run-1", 1));
  grant(job_spec("run-2", 1));
  state.failure_attribution.on_task_failed(MachineName("m1"), JobId("run-1"), false, at(kNowSeconds));
  place_all();
  EXPECT_FALSE(is_placed("run-1"));
  EXPECT_TRUE(is_placed("run-2"));
}

TEST_F(PlacerTest, AJobThatFailsOnAllMachinesIsRetriedWithOneTaskAfterItsBackoff) {
  add_machine("m3");
  grant(job_spec("run-1", 3));
  for (const char* machine : {"m1", "m2"})
    state.failure_attribution.on_task_failed(MachineName(machine), JobId("run-1"), false, at(kNowSeconds));
  place_all(kNowSeconds + 0.9);
  EXPECT_EQ(placed_tasks("run-1"), 0u);
  place_all(kNowSeconds + 1);
  EXPECT_EQ(placed_tasks("run-1"), 1u);
  place_all(kNowSeconds + 1);  // the task that was placed is still live
  EXPECT_EQ(placed_tasks("run-1"), 1u);
}

TEST_F(PlacerTest, ATaskIsPlacedOnTheMachineOnWhichCapacityWasFreedForIt) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 4));
  for (std::uint32_t index = 0; index < 4; ++index) run(machine, "run-1", index);
  auto urgent = job_spec("run-2", 1);
  urgent.priority = Priority::kHigh;
  grant(urgent, std::nullopt, true);
  place_all();
  EXPECT_FALSE(is_placed("run-2"));
  EXPECT_EQ(granted_task("run-2").preemption_target, machine.name);
  auto stopped = std::find_if(machine.tasks.begin(), machine.tasks.end(),
                              [](const auto& entry) { return entry.second.stop_grace.has_value(); });
  ASSERT_NE(stopped, machine.tasks.end());
  stopped->second.state = protocol::TaskState::kEnded;
  machine.invalidate_load();
  place_all(kNowSeconds + 0.5);
  EXPECT_EQ(granted_task("run-2").machine, machine.name);
  EXPECT_TRUE(is_placed("run-2"));
}

}  // namespace
}  // namespace beaconsill::shard
