// A new owner rebuilds its shard before it starts what an earlier one may have started.
#include "shard_fixture.h"

namespace beaconsill::shard {
namespace {

// A controller that lost the state store and its peers still answers its workers: they would never come to
// its successor, which calls on them instead.
TEST(Takeover, RegisteredMachinesAreCalledOn) {
  Bench b;
  auto& w = b.worker("m1");
  w.incarnation = Incarnation(3);
  b.shard.on_registry({{w.machine, w.type, w.zone, w.spot, "127.0.0.1:7"}}, at(0));
  auto calls = b.shard.take_command_batches(at(0));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].address, "127.0.0.1:7");
  EXPECT_TRUE(b.shard.take_command_batches(at(0.1)).empty());
  // The session was guessed wrong; the answer tells, and the second call gets through.
  w.sequence = Sequence(1);
  b.shard.on_commands(calls[0], ShardManager::CommandResult::kRejected, w, at(0.2));
  EXPECT_FALSE(b.shard.is_reconciled());
  calls = b.shard.take_command_batches(at(0.2));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].incarnation, Incarnation(3));
  b.apply(w, calls[0]);
  b.shard.on_commands(calls[0], ShardManager::CommandResult::kExecuted, w, at(0.3));
  EXPECT_TRUE(b.shard.is_reconciled());
}

// A takeover must not wait without end for a zone that stays silent, nor delete it at once.
TEST(Takeover, AZoneThatIsCutOffIsWaitedForButNotForever) {
  Bench b;
  for (auto* n : {"m1", "m2", "m3", "m4", "m5", "m6", "m7"}) b.worker(n).zone = Zone(n[1] > '4' ? "b" : "a");
  b.register_all(0);
  std::map<double, std::size_t> deleted;
  for (double t = 0; t < 60; t += 0.5) {
    for (auto* n : {"m1", "m2", "m3", "m4"}) b.heartbeat(n, t);
    for (auto& m : b.shard.take_machines_to_delete(at(t))) {
      ++deleted[t];
      b.shard.on_deleted(m, at(t));
    }
  }
  ASSERT_EQ(deleted.size(), 1u);
  EXPECT_EQ(deleted.begin()->second, 3u);
  // An earlier owner that is cut off with them may keep their tasks running for as long as a cancellation
  // has.
  EXPECT_GE(deleted.begin()->first, 40);
  EXPECT_TRUE(b.shard.is_reconciled());
}

// Found on a day when a zone of 414 machines was cut off (ran_cancelled): 100 were deleted, the others marked
// as being deleted for good, and what is being deleted gets no commands.
TEST(Takeover, OnlyWhatOneRequestHoldsIsMarkedForDeletion) {
  Bench b;
  std::vector<std::string> names;
  for (int i = 0; i < 250; ++i) names.push_back("host-" + std::to_string(1000 + i));
  for (auto& n : names) b.worker(n.c_str());
  b.register_all(0);
  b.grant("run-1", 1, 4, 0);
  auto first = b.shard.take_machines_to_delete(at(60));
  EXPECT_EQ(first.size(), protocol::kMaxDelete);
  // The zone comes back: the others obey, also when their jobs were cancelled meanwhile.
  const auto& last = names.back();
  EXPECT_EQ(std::count(first.begin(), first.end(), MachineName(last)), 0);
  b.worker(last.c_str())
      .tasks.push_back({{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
  b.publish("run-1", 60, TerminalState::kCancelled);
  b.heartbeat(last.c_str(), 60.5);
  b.tick(60.5);
  std::size_t stops = 0;
  for (auto& batch : b.shard.take_command_batches(at(60.5)))
    if (batch.machine == MachineName(last))
      for (auto& c : batch.commands) stops += c.op == protocol::Command::Op::kStop;
  EXPECT_EQ(stops, 1u);
  // Those that stay silent go with the next requests, once this one is answered.
  for (const auto& name : first) b.shard.on_deleted(name, at(60.6));
  for (auto& n : names)
    if (std::count(first.begin(), first.end(), MachineName(n)) == 0) b.heartbeat(n.c_str(), 60.5);
  EXPECT_TRUE(b.shard.take_machines_to_delete(at(61)).empty());
}

// Takeover: an earlier grant starts only once every registered machine has been heard or is gone; a new one
// at once.
TEST(Takeover, EarlierGrantsWaitForEveryMachine) {
  Bench b(6);
  b.worker("m1");
  b.worker("m2");
  b.register_all(0);
  b.grant("run-1", 1, 5, 0);  // by an earlier owner
  b.heartbeat("m1", 0.5);
  b.grant("run-2", 1, 6, 0.6);
  b.tick(0.7);
  auto starts = b.carry_out(0.7);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, JobId("run-2"));
  // m2 answers to an older term only: what it runs isn't known to be all.
  b.worker("m2").token = Token::first_of(Term(5));
  b.heartbeat("m2", 1.0, false);
  b.tick(1.1);
  EXPECT_TRUE(b.carry_out(1.1).empty());
  b.heartbeat("m2", 2.0);
  b.tick(2.1);
  starts = b.carry_out(2.1);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, JobId("run-1"));
}

TEST(Takeover, ATaskThatEndedMeanwhileIsHeldToo) {
  Bench b(6);
  b.worker("m1");
  b.worker("m2");
  b.register_all(0);
  b.grant("run-1", 1, 5, 0);
  auto& w = b.worker("m1");
  w.tasks.push_back({{JobId("run-1"), 0}, Attempt(3), TaskState::kRunning, EndCause::kDone, false});
  b.heartbeat("m1", 0.5);
  // The old owner may have proved m1 gone and started it on m2 before m2 was fenced.
  w.tasks[0].state = TaskState::kEnded;
  w.tasks[0].cause = EndCause::kStopped;
  b.heartbeat("m1", 1.0);
  b.tick(1.1);
  for (auto& c : b.carry_out(1.1)) EXPECT_NE(c.op, protocol::Command::Op::kStart);
  b.shard.on_deleted(MachineName("m2"), at(1.5));
  b.tick(1.6);
  std::size_t starts = 0;
  for (auto& c : b.carry_out(1.6)) starts += c.op == protocol::Command::Op::kStart;
  EXPECT_EQ(starts, 1u);
}

// What an earlier owner registered last may not be known yet.
TEST(Takeover, NothingOfItStartsBeforeTheRegistryWasRead) {
  Bench b(6);
  b.worker("m1");
  b.grant("run-1", 1, 5, 0);
  b.heartbeat("m1", 0.5);
  b.tick(1);
  EXPECT_FALSE(b.shard.is_reconciled());
  EXPECT_TRUE(b.carry_out(1).empty());
  b.worker("m2");
  b.register_all(1.5);
  b.tick(1.6);
  EXPECT_TRUE(b.carry_out(1.6).empty());
  b.heartbeat("m2", 2);
  b.tick(2.1);
  EXPECT_EQ(b.carry_out(2.1).size(), 1u);
}

TEST(Takeover, RunningTasksAreKept) {
  Bench b(6);
  b.worker("m1").tasks.push_back(
      {{JobId("run-1"), 0}, Attempt(3), TaskState::kRunning, EndCause::kDone, false});
  b.register_all(0);
  b.grant("run-1", 1, 5, 0);
  b.heartbeat("m1", 0.5);
  b.tick(5);
  EXPECT_TRUE(b.carry_out(5).empty());
  EXPECT_EQ(b.shard.running(JobId("run-1")), 1u);
}

}  // namespace
}  // namespace beaconsill::shard
