// Tests that a new shard leader reconciles the shard before it starts tasks that an earlier leader may have
// started.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// A controller that is partitioned from the state store and its peers still answers its workers, so these
// workers would never contact its successor. Therefore the successor probes them.
TEST(Failover, RegisteredMachinesAreProbedByANewLeader) {
  ShardFixture fixture;
  auto& worker = fixture.worker("m1");
  worker.incarnation = Incarnation(3);
  fixture.shard.on_registry_read({{worker.machine, worker.type, worker.zone, worker.spot, "127.0.0.1:7"}},
                                 at(0));
  auto probes = fixture.shard.take_command_batches(at(0));
  ASSERT_EQ(probes.size(), 1u);
  EXPECT_EQ(probes[0].address, "127.0.0.1:7");
  EXPECT_TRUE(fixture.shard.take_command_batches(at(0.1)).empty());
  // The first probe is sent to a wrong incarnation and rejected. The answer contains the right one, which the
  // second probe uses.
  worker.sequence = Sequence(1);
  fixture.shard.on_command_result(probes[0], ShardManager::CommandResult::kRejected, worker, at(0.2));
  EXPECT_FALSE(fixture.shard.is_reconciled());
  probes = fixture.shard.take_command_batches(at(0.2));
  ASSERT_EQ(probes.size(), 1u);
  EXPECT_EQ(probes[0].incarnation, Incarnation(3));
  fixture.apply(worker, probes[0]);
  fixture.shard.on_command_result(probes[0], ShardManager::CommandResult::kExecuted, worker, at(0.3));
  EXPECT_TRUE(fixture.shard.is_reconciled());
}

// A new leader must neither wait forever for the machines of a zone without contact, nor delete them at once.
TEST(Failover, MachinesOfAPartitionedZoneAreDeletedOnlyAfterTheCancellationLimit) {
  ShardFixture fixture;
  for (auto* name : {"m1", "m2", "m3", "m4", "m5", "m6", "m7"})
    fixture.worker(name).zone = Zone(name[1] > '4' ? "b" : "a");
  fixture.register_all(0);
  std::map<double, std::size_t> deleted;
  for (double time_s = 0; time_s < 60; time_s += 0.5) {
    for (auto* name : {"m1", "m2", "m3", "m4"}) fixture.heartbeat(name, time_s);
    for (auto& name : fixture.shard.take_machines_to_delete(at(time_s))) {
      ++deleted[time_s];
      fixture.shard.on_machine_terminated(name, at(time_s));
    }
  }
  ASSERT_EQ(deleted.size(), 1u);
  EXPECT_EQ(deleted.begin()->second, 3u);
  // An earlier leader that is partitioned together with them may keep their tasks running until the time
  // limit of a cancellation.
  EXPECT_GE(deleted.begin()->first, 40);
  EXPECT_TRUE(fixture.shard.is_reconciled());
}

// Guards against a failure (ran_cancelled) seen when a zone of 414 machines was partitioned: 100 were deleted
// and the others stayed marked as being deleted, and a machine that is being deleted gets no commands.
TEST(Failover, NoMoreMachinesAreMarkedForDeletionThanOneRequestCanContain) {
  ShardFixture fixture;
  std::vector<std::string> names;
  for (int i = 0; i < 250; ++i) names.push_back("host-" + std::to_string(1000 + i));
  for (auto& name : names) fixture.worker(name.c_str());
  fixture.register_all(0);
  fixture.grant("run-1", 1, 4, 0);
  auto first = fixture.shard.take_machines_to_delete(at(60));
  EXPECT_EQ(first.size(), protocol::kMaxDeletedPerRequest);
  // When the partition ends, the other machines get commands, including stops of jobs cancelled in the
  // meantime.
  const auto& last = names.back();
  EXPECT_EQ(std::count(first.begin(), first.end(), MachineName(last)), 0);
  fixture.worker(last.c_str())
      .tasks.push_back({{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
  fixture.publish("run-1", 60, TerminalState::kCancelled);
  fixture.heartbeat(last.c_str(), 60.5);
  fixture.tick(60.5);
  std::size_t stops = 0;
  for (auto& batch : fixture.shard.take_command_batches(at(60.5)))
    if (batch.machine == MachineName(last))
      for (auto& command : batch.commands) stops += command.op == protocol::Command::Op::kStop;
  EXPECT_EQ(stops, 1u);
  // Once this request is answered, no machine that has sent a heartbeat since is marked for deletion.
  for (const auto& name : first) fixture.shard.on_machine_terminated(name, at(60.6));
  for (auto& name : names)
    if (std::count(first.begin(), first.end(), MachineName(name)) == 0) fixture.heartbeat(name.c_str(), 60.5);
  EXPECT_TRUE(fixture.shard.take_machines_to_delete(at(61)).empty());
}

// Tasks granted to an earlier leader are started only after every registered machine has sent a heartbeat or
// is terminated. Tasks granted to this leader are started at once.
TEST(Failover, TasksGrantedToAnEarlierLeaderWaitForEveryRegisteredMachine) {
  ShardFixture fixture(6);
  fixture.worker("m1");
  fixture.worker("m2");
  fixture.register_all(0);
  fixture.grant("run-1", 1, 5, 0);  // granted to an earlier leader
  fixture.heartbeat("m1", 0.5);
  fixture.grant("run-2", 1, 6, 0.6);
  fixture.tick(0.7);
  auto starts = fixture.execute_commands(0.7);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, JobId("run-2"));
  // m2 still obeys an older term, so it may get further tasks from an earlier leader.
  fixture.worker("m2").token = FencingToken::first_of(Term(5));
  fixture.heartbeat("m2", 1.0, false);
  fixture.tick(1.1);
  EXPECT_TRUE(fixture.execute_commands(1.1).empty());
  fixture.heartbeat("m2", 2.0);
  fixture.tick(2.1);
  starts = fixture.execute_commands(2.1);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, JobId("run-1"));
}

TEST(Failover, ATaskThatWasStoppedDuringReconciliationWaitsForEveryMachineAsWell) {
  ShardFixture fixture(6);
  fixture.worker("m1");
  fixture.worker("m2");
  fixture.register_all(0);
  fixture.grant("run-1", 1, 5, 0);
  auto& worker = fixture.worker("m1");
  worker.tasks.push_back({{JobId("run-1"), 0}, Attempt(3), TaskState::kRunning, EndCause::kDone, false});
  fixture.heartbeat("m1", 0.5);
  // The old leader may have found m1 terminated and started the task on m2 before m2 was fenced.
  worker.tasks[0].state = TaskState::kEnded;
  worker.tasks[0].cause = EndCause::kStopped;
  fixture.heartbeat("m1", 1.0);
  fixture.tick(1.1);
  for (auto& command : fixture.execute_commands(1.1)) EXPECT_NE(command.op, protocol::Command::Op::kStart);
  fixture.shard.on_machine_terminated(MachineName("m2"), at(1.5));
  fixture.tick(1.6);
  std::size_t starts = 0;
  for (auto& command : fixture.execute_commands(1.6)) starts += command.op == protocol::Command::Op::kStart;
  EXPECT_EQ(starts, 1u);
}

// Before the registry is read, machines that the earlier leader registered may be unknown.
TEST(Failover, TasksGrantedToAnEarlierLeaderAreNotStartedBeforeTheRegistryIsRead) {
  ShardFixture fixture(6);
  fixture.worker("m1");
  fixture.grant("run-1", 1, 5, 0);
  fixture.heartbeat("m1", 0.5);
  fixture.tick(1);
  EXPECT_FALSE(fixture.shard.is_reconciled());
  EXPECT_TRUE(fixture.execute_commands(1).empty());
  fixture.worker("m2");
  fixture.register_all(1.5);
  fixture.tick(1.6);
  EXPECT_TRUE(fixture.execute_commands(1.6).empty());
  fixture.heartbeat("m2", 2);
  fixture.tick(2.1);
  EXPECT_EQ(fixture.execute_commands(2.1).size(), 1u);
}

TEST(Failover, RunningTasksAreNeitherStoppedNorStartedAgain) {
  ShardFixture fixture(6);
  fixture.worker("m1").tasks.push_back(
      {{JobId("run-1"), 0}, Attempt(3), TaskState::kRunning, EndCause::kDone, false});
  fixture.register_all(0);
  fixture.grant("run-1", 1, 5, 0);
  fixture.heartbeat("m1", 0.5);
  fixture.tick(5);
  EXPECT_TRUE(fixture.execute_commands(5).empty());
  EXPECT_EQ(fixture.shard.running(JobId("run-1")), 1u);
}

}  // namespace
}  // namespace beaconsill::shard
