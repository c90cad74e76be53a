// Where tasks are placed: by capacity, image, priority, and gangs as a whole.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// Found on a day when fetches took 30 to 46 s instead of 10, and two CPUs of five were held by tasks that
// waited for their image: machines fetched many at a time, which share their rate.
TEST(Placement, FewFetchesAtATime) {
  struct Case {
    const char* what;
    const char* image;
    std::uint32_t tasks;
    bool busy;                               // c fetches a second image, and has 1 free
    std::map<std::string, std::size_t> got;  // tasks by machine
  };
  // a holds `img` and has 3 CPUs free, b is empty (4), c fetches `coming` and has 2 free, d holds `img` (3).
  const Case cases[] = {
      {"where the image is, the fullest first", "img", 4, false, {{"a", 3}, {"d", 1}}},
      {"then where it's being fetched", "coming", 2, false, {{"c", 2}}},
      {"that's no further fetch", "coming", 1, true, {{"c", 1}}},
      {"then where nothing is being fetched", "new", 7, false, {{"a", 3}, {"d", 3}, {"b", 1}}},
      {"beside another fetch at last", "new", 14, false, {{"a", 3}, {"d", 3}, {"b", 4}, {"c", 2}}},
      {"never beside two", "new", 14, true, {{"a", 3}, {"d", 3}, {"b", 4}}},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    for (const char* name : {"a", "b", "c", "d"}) fixture.worker(name);
    auto has = [&](const char* name, const char* job, const char* image, std::uint32_t tasks,
                   TaskState state) {
      auto job_spec = *spec(job, tasks);
      job_spec.image = ImageName(image);
      fixture.jobs[job].record = {std::make_shared<const protocol::JobSpec>(job_spec), WallMs(0)};
      for (std::uint32_t i = 0; i < tasks; ++i)
        fixture.worker(name).tasks.push_back({{JobId(job), i}, Attempt(1), state, EndCause::kDone, false});
      fixture.grant(job, tasks, 5, 0);
    };
    fixture.register_all(0);
    has("a", "run-1", "img", 1, TaskState::kRunning);
    has("c", "run-2", "coming", 2, TaskState::kFetching);
    has("d", "run-3", "img", 1, TaskState::kRunning);
    if (entry.busy) has("c", "run-4", "other", 1, TaskState::kFetching);
    for (auto& [name, worker] : fixture.workers) fixture.heartbeat(name.c_str(), 0.1);
    auto job_spec = *spec("run-9", entry.tasks);
    job_spec.image = ImageName(entry.image);
    protocol::ResourceRequest resource_request = request_of(job_spec, entry.tasks);
    std::uint32_t free = 0, expected = 0;
    for (const auto& zone : fixture.shard.estimate(resource_request, at(0.2))) free += zone.free;
    fixture.jobs["run-9"].record = {std::make_shared<const protocol::JobSpec>(job_spec), WallMs(0)};
    fixture.grant("run-9", entry.tasks, 5, 0.2);
    fixture.tick(0.2);
    std::map<std::string, std::size_t> got;
    for (auto& batch : fixture.shard.take_command_batches(at(0.2)))
      for (auto& command : batch.commands)
        if (command.task.job == JobId("run-9")) ++got[batch.machine.value()];
    EXPECT_EQ(got, entry.got) << entry.what;
    // The shard offers no capacity that it then doesn't use.
    for (const auto& [name, tasks] : got) expected += static_cast<std::uint32_t>(tasks);
    EXPECT_EQ(std::min(free, entry.tasks), expected) << entry.what;
  }
}

TEST(Placement, TheFullestMachineThatFitsAndHoldsTheImageIsTaken) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2", "m3"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  auto first = fixture.execute_commands(0);
  ASSERT_EQ(first.size(), 1u);
  // The next task follows it: that machine is the fullest and holds the image now.
  fixture.grant("run-2", 4, 5, 1);
  fixture.tick(1);
  std::map<std::string, int> on;
  for (auto& batch : fixture.shard.take_command_batches(at(1)))
    on[batch.machine.value()] += static_cast<int>(batch.commands.size());
  EXPECT_EQ(on["m1"], 3);
  EXPECT_EQ(on["m2"] + on["m3"], 1);
}

TEST(Preemption, StopsWhatLosesLeastAndOnlyLowerPriority) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 3, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  for (int time_s = 1; time_s <= 9; ++time_s) fixture.heartbeat("m1", time_s);
  fixture.grant("run-2", 1, 5, 9);  // the youngest loses least
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
  // Work of the same priority is left alone.
  fixture.grant("run-4", 1, 5, 11, Priority::kNormal, true);
  fixture.tick(11);
  for (auto& command : fixture.execute_commands(11)) EXPECT_NE(command.op, protocol::Command::Op::kStop);
}

// Found on days when services with the right to preempt waited for a second or two, some of them several
// times over: the capacity freed for one of them passed for that of the next as well, which then waited for
// it in vain.
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

TEST(Gang, IsPlacedAsAWholeOrNotAtAll) {
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

TEST(Gang, ALostTaskEndsTheAttempt) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1", "m2"});
  fixture.grant_gang("run-1", 6, 0);
  fixture.tick(0);
  EXPECT_EQ(fixture.execute_commands(0).size(), 6u);
  // All wait for an image still; one machine is deleted.
  auto& rest = fixture.worker("m2");
  for (auto& task : rest.tasks) task.state = TaskState::kWaiting;
  fixture.heartbeat("m2", 1);
  fixture.shard.on_machine_terminated(MachineName("m1"), at(1.5));
  fixture.tick(1.6);
  auto commands = fixture.execute_commands(1.6);
  EXPECT_EQ(commands.size(), rest.tasks.size());
  for (auto& command : commands) EXPECT_EQ(command.op, protocol::Command::Op::kStop);
  // It isn't started again under this attempt, but released as a whole.
  fixture.tick(3);
  for (auto& command : fixture.execute_commands(3)) EXPECT_NE(command.op, protocol::Command::Op::kStart);
  fixture.record(3);
  EXPECT_TRUE(fixture.jobs["run-1"].outstanding().empty());
}

TEST(Gang, ARevocationStopsAllOfItWithTimeToSave) {
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

// A step of a pipeline has the priority of the jobs that need it: by its own it could preempt nothing, and
// what was started under the inherited one isn't stopped for less.
TEST(Placement, AnInheritedPriorityCountsInTheShard) {
  for (bool inherited : {false, true}) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 4, 5, 0);  // normal, fills the machine
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
