// Tests the life cycle of granted tasks in a shard: starts and their resolution, progress, and the cost of an
// event.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

TEST(ShardManager, ACompletedTaskIsForgottenOnlyAfterItIsRecorded) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 2, 5, 0);
  fixture.tick(0);
  EXPECT_EQ(fixture.execute_commands(0).size(), 2u);
  auto& worker = fixture.worker("m1");
  worker.tasks[0].state = TaskState::kEnded;
  fixture.heartbeat("m1", 1);
  // No forget command before the result is recorded: until then only the worker's heartbeat contains it.
  fixture.tick(1);
  EXPECT_TRUE(fixture.execute_commands(1).empty());
  fixture.record(1);
  fixture.tick(1);
  auto commands = fixture.execute_commands(1);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, protocol::Command::Op::kForget);
  EXPECT_EQ(fixture.jobs["run-1"].progress[ShardId(0)].value.done.count(), 1u);
}

// Guards against processor time that grows with the square of the number of machines: each of some hundred
// events a second used to visit all machines and all of their tasks. Bounds the number of machines and tasks
// visited for one event with up to 6,000 machines and 180,000 tasks.
class ShardOfSize : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Machines, ShardOfSize, testing::Values(1100, 4000, 6000));

TEST_P(ShardOfSize, TheCostOfAnEventDoesNotGrowWithTheTotalNumberOfTasks) {
  const int machine_count = GetParam();
  constexpr std::uint64_t kTasks = 30;
  ShardFixture fixture;
  auto types = std::make_shared<protocol::Catalogue>(*catalogue());
  types->begin()->second.total = {kTasks + 1, 0, 64};
  fixture.shard.set_catalogue(types);
  std::vector<std::string> names;
  for (int i = 0; i < machine_count; ++i) names.push_back("host-" + std::to_string(1000 + i));
  for (int i = 0; i < machine_count; ++i) {
    auto job = "run-" + std::to_string(i);
    for (std::uint32_t task = 0; task < kTasks; ++task)
      fixture.worker(names[i].c_str())
          .tasks.push_back({{JobId(job), task}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
    fixture.grant(job.c_str(), kTasks, 5, 0);
  }
  fixture.register_all(0);
  for (auto& name : names) fixture.heartbeat(name.c_str(), 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  auto cost = [&, last = fixture.shard.visited_count()]() mutable {
    return fixture.shard.visited_count() - std::exchange(last, fixture.shard.visited_count());
  };
  cost();
  struct Case {
    const char* what;
    std::function<void()> event;
    std::uint64_t bound;
  };
  const auto all = static_cast<std::uint64_t>(machine_count);
  const Case cases[] = {
      {"no event",
       [&] {
         fixture.tick(0.01);
         fixture.execute_commands(0.01);
       },
       0},
      {"a heartbeat",
       [&] {
         fixture.heartbeat("host-1500", 0.02);
         fixture.tick(0.02);
         fixture.execute_commands(0.02);
       },
       4 * kTasks},
      {"a query of running tasks", [&] { fixture.shard.running(JobId("run-7")); }, kTasks},
      {"a job that ends",
       [&] {
         fixture.publish("run-7", 0.03, TerminalState::kCancelled);
         fixture.tick(0.03);
         fixture.execute_commands(0.03);
       },
       8 * kTasks},
      {"a grant of many tasks: visits the machines once or twice, not once per task",
       [&] {
         fixture.grant("run-5000", 500, 5, 0.04);
         fixture.tick(0.04);
       },
       4 * all},
      {"an estimate", [&] { fixture.shard.estimate(request_of(*spec("run-1", 1), 1), at(0.05)); }, all},
      {"the check for orphaned tasks: visits each machine, not all tasks",
       [&] {
         fixture.tick(1);
         fixture.tick(2);
         cost();
         fixture.tick(3);
       },
       6 * all},
  };
  for (const auto& entry : cases) {
    entry.event();
    EXPECT_LE(cost(), entry.bound) << entry.what;
  }
}

TEST(ShardManager, NoTaskIsStartedOnAnUnregisteredMachine) {
  ShardFixture fixture;
  fixture.worker("m1");
  fixture.shard.on_registry_read({}, at(0));
  fixture.heartbeat("m1", 0);
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0.1);
  EXPECT_TRUE(fixture.execute_commands(0.1).empty());
  EXPECT_EQ(fixture.shard.registry_buckets_to_write().size(), 1u);
  fixture.register_all(0.2);
  fixture.tick(0.2);
  EXPECT_EQ(fixture.execute_commands(0.2).size(), 1u);
}

TEST(ShardManager, UnplacedTasksAreReleasedAfterAHeartbeatPeriod) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 6, 5, 0);
  fixture.tick(0);
  EXPECT_EQ(fixture.execute_commands(0).size(), 4u);
  EXPECT_TRUE(fixture.shard.unwritten_progress().empty());
  fixture.tick(1.1);
  fixture.record(1.1);
  EXPECT_EQ(fixture.jobs["run-1"].progress[ShardId(0)].value.released.at(0).tasks.count(), 2u);
  EXPECT_EQ(fixture.jobs["run-1"].outstanding().count(), 4u);
}

// A start that timed out may or may not have been executed. In each case one start gets no answer; the test
// checks whether the task may be started on another machine after the heartbeats that follow.
TEST(ShardManager, AnUnansweredStartIsResolvedOnlyByAHigherTokenOrANewIncarnation) {
  struct Case {
    const char* what;
    bool executed;            // the worker executed the start
    bool sees_fencing_token;  // the worker's next heartbeat contains the raised token
    bool new_incarnation;     // the worker's lease has expired since
    bool may_run_elsewhere;
  };
  const Case cases[] = {
      {"not listed, below the fencing token: may still be executed", false, false, false, false},
      {"not listed, at the fencing token: will never be executed", false, true, false, true},
      {"listed below the fencing token", true, false, false, false},
      {"listed at the fencing token", true, true, false, false},
      {"new incarnation", false, false, true, true},
  };
  for (const auto& entry : cases) {
    ShardFixture fixture;
    fixture.add_ready_workers({"m1"});
    fixture.grant("run-1", 1, 5, 0);
    fixture.tick(0);
    auto batches = fixture.shard.take_command_batches(at(0));
    ASSERT_EQ(batches.size(), 1u);
    auto& worker = fixture.worker("m1");
    if (entry.executed) fixture.apply(worker, batches[0]);
    fixture.shard.on_command_result(batches[0], ShardManager::CommandResult::kNoAnswer, std::nullopt, at(2));
    // Only probes are sent until the start is resolved.
    for (auto& batch : fixture.shard.take_command_batches(at(2)))
      EXPECT_TRUE(batch.commands.empty()) << entry.what;
    if (entry.sees_fencing_token) worker.token = fixture.shard.machines().at(MachineName("m1")).token;
    if (entry.new_incarnation) {
      worker.incarnation = Incarnation(2);
      worker.sequence = Sequence(0);
    }
    fixture.heartbeat("m1", 2.5);
    fixture.worker("m2");
    fixture.register_all(2.6);
    fixture.heartbeat("m2", 2.6);
    fixture.tick(2.7);
    std::size_t starts = 0;
    for (auto& batch : fixture.shard.take_command_batches(at(2.7)))
      for (auto& command : batch.commands) starts += command.op == protocol::Command::Op::kStart;
    EXPECT_EQ(starts > 0, entry.may_run_elsewhere) << entry.what;
  }
}

TEST(ShardManager, EveryBatchHasAHigherTokenThanAllEarlierOnes) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  FencingToken last;
  for (int i = 0; i < 4; ++i) {
    fixture.grant(("run-" + std::to_string(i + 1)).c_str(), 1, 5, i);
    fixture.tick(i);
    auto batches = fixture.shard.take_command_batches(at(i));
    ASSERT_EQ(batches.size(), 1u);
    EXPECT_GT(batches[0].token, last);
    last = batches[0].token;
    fixture.apply(fixture.worker("m1"), batches[0]);
    fixture.shard.on_command_result(batches[0], ShardManager::CommandResult::kExecuted, fixture.worker("m1"),
                                    at(i));
  }
  EXPECT_EQ(fixture.shard.heartbeat_response(MachineName("m1"), at(5)).token, last);
}

TEST(ShardManager, TasksOfARejectedBatchAreStartedAgainUnderNewAttempts) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  auto batches = fixture.shard.take_command_batches(at(0));
  auto& worker = fixture.worker("m1");
  worker.incarnation = Incarnation(2);
  worker.sequence = Sequence(1);
  fixture.shard.on_command_result(batches.at(0), ShardManager::CommandResult::kRejected, worker, at(0.1));
  fixture.tick(0.2);
  auto again = fixture.shard.take_command_batches(at(0.2));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].incarnation, Incarnation(2));
  EXPECT_NE(again[0].commands.at(0).attempt, batches[0].commands.at(0).attempt);
}

// Each piece of progress is reported to the scheduler once, and all unrecorded progress again on request.
TEST(ShardManager, ProgressIsReportedOnceAndAgainOnRequest) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 6, 5, 0);
  fixture.tick(0);
  fixture.execute_commands(0);
  fixture.tick(1.5);  // there was no capacity for two of the six tasks
  auto reports = fixture.shard.progress_report(false);
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].released.at(0).tasks, Ranges::span(4, 6));
  EXPECT_TRUE(fixture.shard.progress_report(false).empty());
  EXPECT_EQ(fixture.shard.progress_report(true).size(), 1u);
  fixture.record(2);
  EXPECT_TRUE(fixture.shard.progress_report(true).empty());
}

TEST(ShardManager, StaleHeartbeatsAreDropped) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.tick(0);
  auto before = fixture.worker("m1");
  fixture.execute_commands(0);
  // This heartbeat was sent before the task was started, and is delivered afterwards.
  EXPECT_EQ(fixture.shard.on_worker_heartbeat(before, at(0.5)), HeartbeatResult::kDropped);
  EXPECT_EQ(fixture.shard.machines().at(MachineName("m1")).tasks.size(), 1u);
}

TEST(ShardManager, AHeartbeatOfAHigherTermSupersedesTheShardManager) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 1, 5, 0);
  fixture.worker("m1").token = FencingToken::first_of(Term(6));
  fixture.heartbeat("m1", 0.5);
  EXPECT_TRUE(fixture.shard.superseded());
  fixture.tick(0.6);
  EXPECT_TRUE(fixture.shard.take_command_batches(at(0.6)).empty());
  EXPECT_TRUE(fixture.shard.take_machines_to_delete(at(100)).empty());
}

TEST(ShardManager, TasksOfACancelledJobAreStoppedAndTheirGrantsReleased) {
  ShardFixture fixture;
  fixture.add_ready_workers({"m1"});
  fixture.grant("run-1", 6, 5, 0);
  fixture.tick(0);
  EXPECT_EQ(fixture.execute_commands(0).size(), 4u);
  fixture.publish("run-1", 0.5, TerminalState::kCancelled);
  fixture.tick(0.5);
  auto commands = fixture.execute_commands(0.5);
  EXPECT_EQ(commands.size(), 4u);
  for (auto& command : commands) EXPECT_EQ(command.op, protocol::Command::Op::kStop);
  fixture.tick(0.6);
  auto progress = fixture.shard.unwritten_progress();
  ASSERT_EQ(progress.size(), 1u);
  EXPECT_EQ(progress.begin()->second.released.at(0).tasks.count(), 6u);
}

TEST(ShardManager, NoTaskIsStartedWithoutRecentKnowledgeOfCancellations) {
  ShardFixture fixture;
  fixture.worker("m1");
  fixture.register_all(0);
  fixture.heartbeat("m1", 20);
  fixture.grant("run-1", 1, 5, 20);
  fixture.shard.tick(at(20), at(0), at(20));
  EXPECT_TRUE(fixture.execute_commands(20).empty());
}

}  // namespace
}  // namespace beaconsill::shard
