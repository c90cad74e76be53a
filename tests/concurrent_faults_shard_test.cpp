// Concurrent faults at a shard leader: late copies of heartbeats, failovers, one-way partitions of machines,
// and cancellations in between. See docs/fault-scenarios.md.
#include "concurrent_faults_shard_fixture.h"

namespace beaconsill::shard {
namespace {

// An old heartbeat arrives after newer ones, also from an earlier incarnation or attempt, here at a new
// leader, which can't know that it's old. Found by reading the code: the task of the old heartbeat was taken
// for placed there, and the sound one was stopped as a second copy of it.
TEST(StaleHeartbeatAfterFailover, NeverStopsATaskThatRunsElsewhere) {
  struct Case {
    const char* what;
    std::vector<const char*> registered;
    bool copy_first;
  };
  const Case cases[] = {
      {"of a terminated machine, before the true one", {"b"}, true},
      {"of a terminated machine, after the true one", {"b"}, false},
      {"of a machine that is still there, before the true one", {"a", "b"}, true},
      {"of a machine that is still there, after the true one", {"a", "b"}, false},
  };
  for (const auto& entry : cases) {
    ShardLeader leader(entry.registered);
    leader.grant(1, kTerm - 1, 0);
    // It ran on a, was started anew on b since.
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
    // The old machine's end frees nothing that b holds.
    leader.shard.on_machine_terminated(MachineName("a"), at(5));
    leader.tick(5.2);
    EXPECT_EQ(ShardLeader::commands(leader.batches(5.2), Command::Op::kStart), std::vector<std::string>{})
        << entry.what;
  }
}

// Two machines that both list it under this leader's term do run it twice: one is stopped.
TEST(StaleHeartbeatAfterFailover, DuplicateExecutionIsStillReducedToOne) {
  ShardLeader leader(ShardLeader::Names{"a", "b"});
  leader.grant(1, kTerm - 1, 0);
  leader.workers["a"].tasks = {ShardLeader::task(0, 11)};
  leader.workers["b"].tasks = {ShardLeader::task(0, 12)};
  leader.heartbeat("a", 0.5);
  leader.heartbeat("b", 0.6);
  leader.tick(0.7);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.7), Command::Op::kStop).size(), 1u);
}

// Workers can't open connections to any controller, while direct commands still reach them: what is stopped
// there is stopped by command, and nothing new is started on a machine that sends no heartbeats.
TEST(OutboundPartition, StopsAreSentAsCommandsAndNothingStarts) {
  ShardLeader leader;
  leader.confirm_all(0.1);
  leader.grant(2, kTerm, 0.2);
  leader.tick(0.3);
  leader.execute_all(0.3);
  std::string silent_worker;
  for (auto& [name, worker] : leader.workers)
    if (!worker.tasks.empty()) silent_worker = name;
  ASSERT_FALSE(silent_worker.empty());
  // From 1 s on its heartbeats are lost; the others' arrive.
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

TEST(OutboundPartition, GetsNoNewTasks) {
  ShardLeader leader(ShardLeader::Names{"a"});
  leader.heartbeat("a", 0.1);
  leader.tick(4.5);
  leader.grant(1, kTerm, 4.5);
  leader.tick(4.6);
  EXPECT_EQ(ShardLeader::commands(leader.batches(4.6), Command::Op::kStart), std::vector<std::string>{});
  leader.heartbeat("a", 4.7);
  leader.heartbeat("a", 4.8);
  leader.tick(4.9);
  leader.execute_all(4.9);  // its task was stopped by a command, and it responds
  leader.tick(5.0);
  EXPECT_EQ(ShardLeader::commands(leader.batches(5.0), Command::Op::kStart).size(), 1u);
}

// New machines are up within two seconds and get work at once while writes lag, and the leader ends: nothing
// starts on a machine that a successor wouldn't wait for.
TEST(FastBoot, NothingStartsBeforeTheMachineIsRegistered) {
  ShardLeader leader(ShardLeader::Names{});
  leader.heartbeat("a", 0.5);  // up before anything was written of it
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

// The successor waits for each machine that is registered, and for no other.
TEST(FastBoot, ANewLeaderWaitsForTheRegisteredMachines) {
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

// All controllers are down for longer than a lease: every machine is in its next incarnation; copies of
// heartbeats of the one before may come first, last or in between. Everything is started anew, once.
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
      // The first probes are sent to an incarnation that has ended.
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

// A start without an answer is resolved by the worker's next incarnation: the task is placed anew at once.
TEST(AllControllersDown, ANewIncarnationResolvesAnIndeterminateStart) {
  ShardLeader leader(ShardLeader::Names{"a", "b"});
  leader.confirm_all(0.1);
  leader.grant(1, kTerm, 0.2);
  leader.tick(0.3);
  auto sent = leader.batches(0.3);
  ASSERT_EQ(sent.size(), 1u);
  leader.shard.on_command_result(sent[0], CommandResult::kNoAnswer, std::nullopt, at(0.4));
  // Until then it may be there.
  for (const char* name : {"a", "b"}) leader.heartbeat(name, 0.5);
  leader.tick(0.6);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.6), Command::Op::kStart), std::vector<std::string>{});
  leader.workers[sent[0].machine.value()].incarnation = Incarnation(2);
  for (const char* name : {"a", "b"}) leader.heartbeat(name, 0.7);
  leader.tick(0.8);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.8), Command::Op::kStart).size(), 1u);
}

// Jobs are cancelled in the seconds of a failover.
TEST(CancellationDuringFailover, NothingIsStartedWhateverTheOrderOfEvents) {
  enum class Event { kGrant, kCancel, kHeartbeat, kRegistry };
  const std::map<Event, const char*> names{{Event::kGrant, "grant"},
                                           {Event::kCancel, "cancel"},
                                           {Event::kHeartbeat, "heartbeat"},
                                           {Event::kRegistry, "registry"}};
  std::vector<Event> order{Event::kGrant, Event::kCancel, Event::kHeartbeat, Event::kRegistry};
  do {
    if (std::find(order.begin(), order.end(), Event::kCancel) <
        std::find(order.begin(), order.end(), Event::kGrant))
      continue;  // a view that has read the end has read the grant
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

// A cancellation that falls between placing a task and sending its command: it never leaves the controller.
TEST(CancellationDuringFailover, APlacedTaskThatWasNotSentIsNotStarted) {
  ShardLeader leader;
  leader.confirm_all(0.1);
  leader.grant(2, kTerm, 0.2);
  leader.tick(0.3);
  leader.cancel(0.3);
  EXPECT_EQ(ShardLeader::commands(leader.batches(0.3), Command::Op::kStart), std::vector<std::string>{});
  leader.tick(0.5);
  EXPECT_TRUE(leader.shard.holds_no_tasks_of(kJob));
}

// The shard fails over and back: delayed commands of the previous leader are rejected by a worker that has
// seen this leader's token, and what they started before is listed.
TEST(RepeatedFailover, ALateCommandOfThePreviousLeaderIsObservedOrRejected) {
  for (bool before : {true, false}) {
    ShardLeader leader(ShardLeader::Names{"a"});
    leader.grant(1, kTerm - 1, 0);
    auto late = [&] {
      auto& worker = leader.workers["a"];
      auto token = FencingToken::first_of(Term(kTerm - 1)).raised();
      if (token < worker.token) return false;
      worker.token = token;
      worker.tasks.push_back(ShardLeader::task(0, 11));
      return true;
    };
    if (before) {
      EXPECT_TRUE(late());
    }
    leader.heartbeat("a", 0.5);
    if (!before) {
      EXPECT_FALSE(late());
    }
    leader.tick(0.6);
    EXPECT_EQ(ShardLeader::commands(leader.batches(0.6), Command::Op::kStart).size(), before ? 0u : 1u);
  }
}

}  // namespace
}  // namespace beaconsill::shard
