// Tests that the tasks of a gang are placed together, and that the remaining ones are stopped if one is lost.
#include "shard/gang_scheduling.h"

#include "shard_state_fixture.h"

namespace beaconsill::shard {
namespace {

using Status = GrantedTask::Status;
using protocol::TaskState;

struct GangSchedulingTest : ShardStateFixture {
  ShardJob& grant_gang(std::uint32_t tasks) { return grant(job_spec("run-1", tasks, JobKind::kGang)); }
  void place_gang_on(const std::vector<Machine*>& machines) {
    place_gang(state, JobId("run-1"), state.jobs.at(JobId("run-1")), machines, at(kNowSeconds));
  }
  std::size_t placed_tasks() {
    std::size_t count = 0;
    for (const auto& [index, task] : state.jobs.at(JobId("run-1")).granted_tasks)
      count += task.status == Status::kPlaced;
    return count;
  }
};

TEST_F(GangSchedulingTest, AGangIsSpreadOverMachinesUnderOneAttempt) {
  auto& first = add_machine("m1");
  auto& second = add_machine("m2");
  grant_gang(6);
  place_gang_on({&first, &second});
  EXPECT_EQ(placed_tasks(), 6u);
  EXPECT_EQ(first.tasks.size(), 4u);
  EXPECT_EQ(second.tasks.size(), 2u);
  for (const auto* machine : {&first, &second})
    for (const auto& [key, task] : machine->tasks) EXPECT_EQ(key.attempt, Attempt(1));
}

TEST_F(GangSchedulingTest, AGangIsNotPlacedPartially) {
  auto& machine = add_machine("m1");
  grant_gang(5);
  place_gang_on({&machine});
  EXPECT_EQ(placed_tasks(), 0u);
  EXPECT_TRUE(machine.tasks.empty());
  EXPECT_EQ(machine.used().cpus, 0);
  EXPECT_FALSE(state.locations.is_live_anywhere({JobId("run-1"), 0}));
  // The whole gang may be placed later under the same attempt.
  auto& larger = add_machine("m2");
  place_gang_on({&machine, &larger});
  EXPECT_EQ(placed_tasks(), 5u);
}

TEST_F(GangSchedulingTest, AGangIsNotStartedTwiceUnderOneAttemptOrAfterItsRevocation) {
  struct Case {
    const char* what;
    void (*change)(ShardJob&);
    std::size_t placed;
  };
  const Case cases[] = {
      {"all waiting", [](ShardJob&) {}, 2},
      {"revoked", [](ShardJob& job) { job.revoked = true; }, 0},
      {"a task was started", [](ShardJob& job) { job.granted_tasks.at(0).started = true; }, 0},
      {"a task is done", [](ShardJob& job) { job.granted_tasks.at(0).status = Status::kDone; }, 0},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    entry.change(grant_gang(2));
    place_gang_on({&machine});
    EXPECT_EQ(placed_tasks(), entry.placed) << entry.what;
  }
}

TEST_F(GangSchedulingTest, LosingATaskStopsTheTasksThatAreNotRunningYet) {
  struct Case {
    TaskState state;
    bool lost, stopped;
  };
  const Case cases[] = {
      {TaskState::kFetching, true, true},   {TaskState::kWaiting, true, true},
      {TaskState::kRunning, true, false},   {TaskState::kSaving, true, false},
      {TaskState::kFetching, false, false},
  };
  for (const auto& entry : cases) {
    reset();
    auto& lost_machine = add_machine("m1");
    auto& machine = add_machine("m2");
    grant_gang(2);
    run(lost_machine, "run-1", 0);
    auto& task = run(machine, "run-1", 1);
    task.state = entry.state;
    if (entry.lost) state.drop_all_tasks(lost_machine, at(kNowSeconds));
    stop_broken_gangs(state);
    EXPECT_EQ(task.stop_grace.has_value(), entry.stopped) << static_cast<int>(entry.state);
  }
}

}  // namespace
}  // namespace beaconsill::shard
