// Tests concurrent faults at a shard leader: late copies of heartbeats, failovers, one-way partitions of
// machines and cancellations during these. See docs/fault-scenarios.md.
#include "concurrent_faults_shard_fixture.h"

namespace beaconsill::shard {
namespace {

// An old heartbeat, of an earlier attempt, arrives at a new leader, which can't know that it is old. Guards
// against a fault found by reading the code: the task in the old heartbeat was recorded as placed on that
// machine, and the running task was stopped as a duplicate.
TEST(StaleHeartbeatAfterFailover, NeitherStopsNorRestartsATaskThatRunsElsewhere) {
  struct Case {
    const char* what;
    std::vector<const char*> registered;
    bool copy_first;
  };
  const Case cases[] = {
      {"from a terminated machine, before the heartbeat of b", {"b"}, true},
      {"from a terminated machine, after the heartbeat of b", {"b"}, false},
      {"from a machine that still exists, before the heartbeat of b", {"a", "b"}, true},
      {"from a machine that still exists, after the heartbeat of b", {"a", "b"}, false},
  };
  for (const auto& entry : cases) {
    ShardLeader leader(entry.registered);
    leader.grant(1, kTerm - 1, 0);
    // The task ran on a and has been started again on b since.
    leader.workers["b"].tasks = {ShardLeader::task(0, 12)};
    auto deliver_copy = [&] { leader.deliver_late_copy("a", {ShardLeader::task(0, 11)}, 0.5); };
    if (entry.copy_first) deliver_copy();
    leader.heartbeat("b", 0.6);
    if (!entry.copy_first) deliver_copy();
    std::vector<std::string> stops, starts;
    for (double time_s = 0.7; time_s < 4; time_s += 0.5) {
      leader.tick(time_s);
      for (const auto& batch : leader.batches(time_s)) {
        for (const auto& command : ShardLeader::commands({batch}, Command::Op::kStop))
          stops.push_back(command);
        for (const auto& command : ShardLeader::commands({batch}, Command::Op::kStart))
          starts.push_back(command);
      }
      leader.heartbeat("b", time_s);
      if (entry.registered.size() > 1) leader.heartbeat("a", time_s);
    }
    EXPECT_EQ(stops, std::vector<std::string>{}) << entry.what;
    EXPECT_EQ(starts, std::vector<std::string>{}) << entry.what;
    // The termination of the old machine must not cause the task on b to be started again.
    leader.shard.on_machine_terminated(MachineName("a"), at(5));
    leader.tick(5.2);
    EXPECT_EQ(ShardLeader::commands(leader.batches(5.2), Command::Op::kStart), std::vector<std::string>{})
        << entry.what;
  }
}

// If two machines both list the task under this leader's term, it does run twice, and one of them is stopped.
TEST(StaleHeartbeatAfterFailover, DuplicateExecutionUnderThisTermIsStoppedOnOneMachine) {
  ShardLeader leader(ShardLeader::Names{"a", "b"});
  leader.grant(1, kTerm - 1, 0);
  leader.workers["a"].tasks = {ShardLeader::task(0, 11)};
  leader.workers["b"].tasks = {ShardLeader::task(0, 12)};
  leader.heartbeat("a", 0.5);
  leader.heartbeat("b", 0.6);
  leader.tick(0.7);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.7), Command::Op::kStop).size(), 1u);
}

// A worker can't open connections to any controller, while commands still reach it. Cancelled tasks are then
// stopped by commands.
TEST(OutboundPartition, CancelledTasksAreStoppedByCommands) {
  ShardLeader leader;
  leader.confirm_all(0.1);
  leader.grant(2, kTerm, 0.2);
  leader.tick(0.3);
  leader.execute_all(0.3);
  std::string silent_worker;
  for (auto& [name, worker] : leader.workers)
    if (!worker.tasks.empty()) silent_worker = name;
  ASSERT_FALSE(silent_worker.empty());
  // From 1 s on the heartbeats of this worker are lost, and those of the others arrive.
  for (double time_s = 1; time_s < 4.6; time_s += 0.5) {
    for (auto& [name, worker] : leader.workers)
      if (name != silent_worker) leader.heartbeat(name.c_str(), time_s);
    leader.tick(time_s);
    leader.execute_all(time_s);
  }
  auto before = leader.workers[silent_worker].tasks.size();
  leader.cancel(4.6);
  leader.tick(4.6);
  auto batches = leader.batches(4.6);
  EXPECT_EQ(ShardLeader::commands(batches, Command::Op::kStop).size(), before);
  for (auto& batch : batches) {
    auto answer = leader.execute(batch);
    leader.shard.on_command_result(batch, CommandResult::kExecuted, answer, at(4.6));
  }
  for (const auto& task : leader.workers[silent_worker].tasks) EXPECT_EQ(task.state, TaskState::kEnded);
  EXPECT_EQ(leader.shard.running(kJob), 0u);
}

// No new tasks are started on a machine whose heartbeats don't arrive.
TEST(OutboundPartition, AMachineGetsNoNewTasksUntilItsHeartbeatsArriveAgain) {
  ShardLeader leader(ShardLeader::Names{"a"});
  leader.heartbeat("a", 0.1);
  leader.tick(4.5);
  leader.grant(1, kTerm, 4.5);
  leader.tick(4.6);
  EXPECT_EQ(ShardLeader::commands(leader.batches(4.6), Command::Op::kStart), std::vector<std::string>{});
  leader.heartbeat("a", 4.7);
  leader.heartbeat("a", 4.8);
  leader.tick(4.9);
  leader.execute_all(4.9);  // executes the commands that are due, and delivers the worker's answer
  leader.tick(5.0);
  EXPECT_EQ(ShardLeader::commands(leader.batches(5.0), Command::Op::kStart).size(), 1u);
}

// New machines boot within two seconds, while writes to the state store are slow. No task may be started on a
// machine before it is registered, because a successor waits for registered machines only.
TEST(FastBoot, NoTaskIsStartedBeforeTheMachineIsRegistered) {
  ShardLeader leader(ShardLeader::Names{});
  leader.heartbeat("a", 0.5);  // the machine is up before its record is written
  leader.grant(1, kTerm, 0.6);
  for (double time_s = 0.7; time_s < 1.5; time_s += 0.2) {
    leader.heartbeat("a", time_s);
    leader.tick(time_s);
    EXPECT_EQ(ShardLeader::commands(leader.batches(time_s), Command::Op::kStart), std::vector<std::string>{})
        << time_s;
    EXPECT_FALSE(leader.shard.registry_buckets_to_write().empty()) << time_s;
  }
  leader.read_registry({"a"}, 1.6);
  leader.grant(1, kTerm, 1.6);
  leader.tick(1.7);
  EXPECT_EQ(ShardLeader::commands(leader.batches(1.7), Command::Op::kStart).size(), 1u);
}

// A new leader waits for every registered machine, and for no other.
TEST(FastBoot, ANewLeaderWaitsForRegisteredMachinesOnly) {
  ShardLeader leader(ShardLeader::Names{"a", "b"});
  leader.grant(1, kTerm - 1, 0);
  leader.heartbeat("a", 0.5);
  leader.heartbeat("c", 0.5);  // not registered
  leader.tick(0.6);
  EXPECT_FALSE(leader.shard.is_reconciled());
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.6), Command::Op::kStart), std::vector<std::string>{});
  leader.heartbeat("b", 0.7);
  leader.tick(0.8);
  EXPECT_TRUE(leader.shard.is_reconciled());
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.8), Command::Op::kStart).size(), 1u);
}

// All controllers are down for longer than a lease, so every machine has a new incarnation. Copies of
// heartbeats of the previous incarnation may arrive first, last or in between. Every task must be started
// again exactly once.
TEST(AllControllersDown, EveryTaskIsRestartedOnceDespiteStaleHeartbeats) {
  for (int copy_at = 0; copy_at < 4; ++copy_at) {
    ShardLeader leader(ShardLeader::Names{"a", "b"});
    leader.grant(2, kTerm - 1, 0);
    for (const char* name : {"a", "b"}) leader.workers[name].incarnation = Incarnation(2);
    int started = 0;
    for (int step = 0; step < 4; ++step) {
      double time_s = 0.5 + step;
      if (step == copy_at) {
        leader.deliver_late_copy("a", {ShardLeader::task(0, 11)}, time_s);
        leader.deliver_late_copy("b", {ShardLeader::task(1, 12)}, time_s);
      }
      // The first probes are sent to the previous incarnation.
      if (step > 0)
        for (const char* name : {"a", "b"}) leader.heartbeat(name, time_s + 0.1);
      leader.tick(time_s + 0.2);
      for (auto& batch : leader.batches(time_s + 0.2)) {
        bool known = batch.incarnation == leader.workers.at(batch.machine.value()).incarnation;
        started += known ? static_cast<int>(ShardLeader::commands({batch}, Command::Op::kStart).size()) : 0;
        auto answer = known ? leader.execute(batch) : leader.workers.at(batch.machine.value());
        leader.shard.on_command_result(batch, known ? CommandResult::kExecuted : CommandResult::kRejected,
                                       answer, at(time_s + 0.2));
      }
    }
    EXPECT_EQ(started, 2) << copy_at;
    EXPECT_EQ(leader.shard.running(kJob), 2u) << copy_at;
  }
}

// A start without an answer is resolved by a new incarnation of the worker: the task is placed again at once.
TEST(AllControllersDown, ANewIncarnationResolvesAnUnansweredStart) {
  ShardLeader leader(ShardLeader::Names{"a", "b"});
  leader.confirm_all(0.1);
  leader.grant(1, kTerm, 0.2);
  leader.tick(0.3);
  auto sent = leader.batches(0.3);
  ASSERT_EQ(sent.size(), 1u);
  leader.shard.on_command_result(sent[0], CommandResult::kNoAnswer, std::nullopt, at(0.4));
  // Until then the task may be running on the machine.
  for (const char* name : {"a", "b"}) leader.heartbeat(name, 0.5);
  leader.tick(0.6);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.6), Command::Op::kStart), std::vector<std::string>{});
  leader.workers[sent[0].machine.value()].incarnation = Incarnation(2);
  for (const char* name : {"a", "b"}) leader.heartbeat(name, 0.7);
  leader.tick(0.8);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.8), Command::Op::kStart).size(), 1u);
}

// A job is cancelled during a failover. No task of it may be started after the cancellation is known, in
// whatever order the events arrive.
TEST(CancellationDuringFailover, NoTaskIsStartedAfterACancellationInAnyOrderOfEvents) {
  enum class Event { kGrant, kCancel, kHeartbeat, kRegistry };
  const std::map<Event, const char*> names{{Event::kGrant, "grant"},
                                           {Event::kCancel, "cancel"},
                                           {Event::kHeartbeat, "heartbeat"},
                                           {Event::kRegistry, "registry"}};
  std::vector<Event> order{Event::kGrant, Event::kCancel, Event::kHeartbeat, Event::kRegistry};
  do {
    if (std::find(order.begin(), order.end(), Event::kCancel) <
        std::find(order.begin(), order.end(), Event::kGrant))
      continue;  // impossible: a view that has read the cancellation has read the earlier grant
    std::string what;
    ShardLeader leader(std::nullopt);
    leader.workers["a"].tasks = {ShardLeader::task(0, 11)};
    double time_s = 0.1;
    std::vector<std::string> starts;
    bool cancelled = false;
    for (auto event : order) {
      what += std::string(names.at(event)) + " ";
      if (event == Event::kGrant) leader.grant(2, kTerm - 1, time_s);
      if (event == Event::kCancel) leader.cancel(time_s);
      if (event == Event::kHeartbeat) leader.heartbeat("a", time_s);
      if (event == Event::kRegistry) leader.read_registry({"a"}, time_s);
      cancelled |= event == Event::kCancel;
      leader.tick(time_s + 0.05);
      for (auto& batch : leader.batches(time_s + 0.05)) {
        if (cancelled)
          for (auto& command : ShardLeader::commands({batch}, Command::Op::kStart)) starts.push_back(command);
        auto answer = leader.execute(batch);
        leader.shard.on_command_result(batch, CommandResult::kExecuted, answer, at(time_s + 0.05));
      }
      time_s += 0.6;
    }
    for (int i = 0; i < 8; ++i, time_s += 0.5) {
      leader.heartbeat("a", time_s);
      leader.tick(time_s + 0.1);
      for (auto& command : ShardLeader::commands(leader.batches(time_s + 0.1), Command::Op::kStart))
        starts.push_back(command);
      leader.shard.take_command_batches(at(time_s + 0.2));
    }
    EXPECT_EQ(starts, std::vector<std::string>{}) << what;
    for (const auto& task : leader.workers["a"].tasks) EXPECT_EQ(task.state, TaskState::kEnded) << what;
    EXPECT_TRUE(leader.shard.holds_no_tasks_of(kJob)) << what;
  } while (std::next_permutation(order.begin(), order.end()));
}

// The job is cancelled after its tasks were placed and before their start commands were sent: these must not
// be sent.
TEST(CancellationDuringFailover, APlacedTaskIsNotStartedIfItsJobIsCancelledBeforeTheStartIsSent) {
  ShardLeader leader;
  leader.confirm_all(0.1);
  leader.grant(2, kTerm, 0.2);
  leader.tick(0.3);
  leader.cancel(0.3);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.3), Command::Op::kStart), std::vector<std::string>{});
  leader.tick(0.5);
  EXPECT_TRUE(leader.shard.holds_no_tasks_of(kJob));
}

// The shard fails over and back. A delayed command of the previous leader is rejected by a worker that has
// seen this leader's token, and if it was executed before that, the worker's heartbeat lists its task.
TEST(RepeatedFailover, ATaskIsNotStartedTwiceByALateCommandOfThePreviousLeader) {
  for (bool before : {true, false}) {
    ShardLeader leader(ShardLeader::Names{"a"});
    leader.grant(1, kTerm - 1, 0);
    // Returns whether the worker executes the late command.
    auto execute_late_command = [&] {
      auto& worker = leader.workers["a"];
      auto token = FencingToken::first_of(Term(kTerm - 1)).raised();
      if (token < worker.token) return false;
      worker.token = token;
      worker.tasks.push_back(ShardLeader::task(0, 11));
      return true;
    };
    if (before) {
      EXPECT_TRUE(execute_late_command());
    }
    leader.heartbeat("a", 0.5);
    if (!before) {
      EXPECT_FALSE(execute_late_command());
    }
    leader.tick(0.6);
    EXPECT_EQ(ShardLeader::commands(leader.batches(0.6), Command::Op::kStart).size(), before ? 0u : 1u);
  }
}

}  // namespace
}  // namespace beaconsill::shard
