// Tests on which machines a shard places tasks, depending on capacity, images and priority, and that it
// places gangs as a whole.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// Guards against machines that fetch many images at the same time and share their download rate between them:
// fetches took 30 to 46 s instead of 10 s, and tasks that waited for their images occupied two of five CPUs.
TEST(Placement, AMachineFetchesAtMostTwoImagesAtTheSameTime) {
  struct Case {
    const char* what;
    const char* image;
    std::uint32_t tasks;
    bool c_fetches_two;                         // c also fetches `other`, and has 1 CPU free
    std::map<std::string, std::size_t> placed;  // tasks by machine
  };
  // a: `img` is cached, 3 CPUs free. b: no images, 4 CPUs free. c: fetches `coming`, 2 CPUs free. d: `img` is
  // cached, 3 CPUs free.
  const Case cases[] = {
      {"machines with the cached image first, the fullest first", "img", 4, false, {{"a", 3}, {"d", 1}}},
      {"then machines that fetch the image", "coming", 2, false, {{"c", 2}}},
      {"joining a fetch does not count towards the limit", "coming", 1, true, {{"c", 1}}},
      {"then machines that fetch nothing", "new", 7, false, {{"a", 3}, {"d", 3}, {"b", 1}}},
      {"then machines that fetch one other image",
       "new",
       14,
       false,
       {{"a", 3}, {"d", 3}, {"b", 4}, {"c", 2}}},
      {"never machines that fetch two other images", "new", 14, true, {{"a", 3}, {"d", 3}, {"b", 4}}},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    for (const char* name : {"a", "b", "c", "d"}) fixture.worker(name);
    auto add_running_tasks = [&](const char* name, const char* job, const char* image, std::uint32_t tasks,
                                 TaskState state) {
      auto job_spec = *spec(job, tasks);
      job_spec.image = ImageName(image);
      fixture.jobs[job].record = {std::make_shared<const protocol::JobSpec>(job_spec), WallMs(0)};
      for (std::uint32_t i = 0; i < tasks; ++i)
        fixture.worker(name).tasks.push_back({{JobId(job), i}, Attempt(1), state, EndCause::kDone, false});
      fixture.grant(job, tasks, 5, 0);
    };
    fixture.register_all(0);
    add_running_tasks("a", "run-1", "img", 1, TaskState::kRunning);
    add_running_tasks("c", "run-2", "coming", 2, TaskState::kFetching);
    add_running_tasks("d", "run-3", "img", 1, TaskState::kRunning);
    if (entry.c_fetches_two) add_running_tasks("c", "run-4", "other", 1, TaskState::kFetching);
    for (auto& [name, worker] : fixture.workers) fixture.heartbeat(name.c_str(), 0.1);
    auto job_spec = *spec("run-9", entry.tasks);
    job_spec.image = ImageName(entry.image);
    protocol::ResourceRequest resource_request = request_of(job_spec, entry.tasks);
    std::uint32_t free = 0, expected = 0;
    for (const auto& zone : fixture.shard.estimate(resource_request, at(0.2))) free += zone.free;
    fixture.jobs["run-9"].record = {std::make_shared<const protocol::JobSpec>(job_spec), WallMs(0)};
    fixture.grant("run-9", entry.tasks, 5, 0.2);
    fixture.tick(0.2);
    std::map<std::string, std::size_t> placed;
    for (auto& batch : fixture.shard.take_command_batches(at(0.2)))
      for (auto& command : batch.commands)
        if (command.task.job == JobId("run-9")) ++placed[batch.machine.value()];
    EXPECT_EQ(placed, entry.placed) << entry.what;
    // The capacity in the estimate must match the capacity that the shard then uses.
    for (const auto& [name, tasks] : placed) expected += static_cast<std::uint32_t>(tasks);
    EXPECT_EQ(std::min(free, entry.tasks), expected) << entry.what;
  }
}

TEST(Placement, TheFullestMachineWithTheCachedImageIsChosen) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2", "m3"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  auto first = fixture.execute_commands(0);
  ASSERT_EQ(first.size(), 1u);
  // The next tasks are placed on the same machine up to its capacity: it is now the fullest, and has the
  // image cached.
  fixture.grant("run-2", 4, 5, 1);
  fixture.tick(1);
  std::map<std::string, int> on;
  for (auto& batch : fixture.shard.take_command_batches(at(1)))
    on[batch.machine.value()] += static_cast<int>(batch.commands.size());
  EXPECT_EQ(on["m1"], 3);
  EXPECT_EQ(on["m2"] + on["m3"], 1);
}

TEST(Preemption, StopsTheLowerPriorityTaskThatLosesTheLeastWork) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 3, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  for (int time_s = 1; time_s <= 9; ++time_s) fixture.heartbeat("m1", time_s);
  fixture.grant("run-2", 1, 5, 9);  // the most recent task loses the least work
  fixture.tick(9);
  fixture.execute_commands(9);
  fixture.heartbeat("m1", 9.5);
  fixture.grant("run-3", 1, 5, 10, Priority::kHigh, true);
  fixture.tick(10);
  auto commands = fixture.execute_commands(10);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, protocol::Command::Op::kStop);
  EXPECT_EQ(commands[0].task.job, JobId("run-2"));
  fixture.tick(10.1);
  bool started = false;
  for (auto& command : fixture.execute_commands(10.1))
    started |= command.op == protocol::Command::Op::kStart && command.task.job == JobId("run-3");
  EXPECT_TRUE(started);
  // Tasks of the same priority are not stopped.
  fixture.grant("run-4", 1, 5, 11, Priority::kNormal, true);
  fixture.tick(11);
  for (auto& command : fixture.execute_commands(11)) EXPECT_NE(command.op, protocol::Command::Op::kStop);
}

// Guards against capacity that is freed for one task being counted for the next one as well, which then waits
// for it in vain. Services that may preempt were delayed by a second or two this way, some of them several
// times.
TEST(Preemption, CapacityFreedForOneTaskIsNotReservedTwice) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 4, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  fixture.heartbeat("m1", 1);
  fixture.grant("run-2", 1, 5, 1, Priority::kHigh, true);
  fixture.grant("run-3", 1, 5, 1, Priority::kHigh, true);
  fixture.tick(1);
  std::size_t stops = 0;
  for (auto& command : fixture.execute_commands(1)) stops += command.op == protocol::Command::Op::kStop;
  EXPECT_EQ(stops, 2u);
  fixture.tick(1.1);
  std::set<JobId> started;
  for (auto& command : fixture.execute_commands(1.1))
    if (command.op == protocol::Command::Op::kStart) started.insert(command.task.job);
  EXPECT_EQ(started, (std::set{JobId("run-2"), JobId("run-3")}));
}

TEST(Gang, AllTasksOfAGangArePlacedOrNone) {
  for (std::uint32_t tasks : {4u, 5u}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant_gang("run-1", tasks, 0);
    fixture.tick(0);
    EXPECT_EQ(fixture.execute_commands(0).size(), tasks == 4 ? 4u : 0u);
    fixture.tick(1.1);
    fixture.record(1.1);
    EXPECT_EQ(fixture.jobs["run-1"].outstanding().count(), tasks == 4 ? 4u : 0u);
  }
}

TEST(Gang, LosingATaskStopsAndReleasesTheWholeGang) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2"});
  fixture.grant_gang("run-1", 6, 0);
  fixture.tick(0);
  EXPECT_EQ(fixture.execute_commands(0).size(), 6u);
  // All tasks still wait for their image when one machine is deleted.
  auto& rest = fixture.worker("m2");
  for (auto& task : rest.tasks) task.state = TaskState::kWaiting;
  fixture.heartbeat("m2", 1);
  fixture.shard.on_machine_terminated(MachineName("m1"), at(1.5));
  fixture.tick(1.6);
  auto commands = fixture.execute_commands(1.6);
  EXPECT_EQ(commands.size(), rest.tasks.size());
  for (auto& command : commands) EXPECT_EQ(command.op, protocol::Command::Op::kStop);
  // The gang is not started again under this attempt, but released as a whole.
  fixture.tick(3);
  for (auto& command : fixture.execute_commands(3)) EXPECT_NE(command.op, protocol::Command::Op::kStart);
  fixture.record(3);
  EXPECT_TRUE(fixture.jobs["run-1"].outstanding().empty());
}

TEST(Gang, ARevocationStopsAllTasksWithTimeToSave) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant_gang("run-1", 3, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  fixture.grant_gang("run-1", 3, 1, true);
  fixture.tick(1);
  auto commands = fixture.execute_commands(1);
  ASSERT_EQ(commands.size(), 3u);
  for (auto& command : commands) {
    EXPECT_EQ(command.op, protocol::Command::Op::kStop);
    EXPECT_EQ(command.grace_s, 2);
  }
  fixture.tick(1.1);
  fixture.record(1.1);
  EXPECT_TRUE(fixture.jobs["run-1"].outstanding().empty());
}

// A step of a pipeline has the priority of the jobs that depend on it. With its own lower priority it could
// preempt nothing; and a task that was started under the inherited priority is not stopped for one of lower
// priority.
TEST(Placement, AnInheritedPriorityAllowsPreemption) {
  for (bool inherited : {false, true}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 4, 5, 0);  // normal priority, fills the machine
    fixture.tick(0);
    fixture.execute_commands(0);
    fixture.heartbeat("m1", 0.5);
    fixture.jobs["run-2"].record = {spec("run-2", 1, Priority::kLow), WallMs(0)};
    fixture.jobs["run-2"].grants.value.chunks = {
        {Generation(1), ShardId(0), Term(5), Ranges::span(0, 1), {}, true}};
    if (inherited) fixture.jobs["run-2"].grants.value.chunks[0].priority = Priority::kHigh;
    fixture.jobs["run-2"].grants.value.last = Generation(1);
    fixture.publish("run-2", 1);
    fixture.tick(1);
    std::size_t stopped = 0;
    for (const auto& command : fixture.execute_commands(1))
      stopped += command.op == protocol::Command::Op::kStop;
    EXPECT_EQ(stopped, inherited ? 1u : 0u);
  }
}

}  // namespace
}  // namespace beaconsill::shard
