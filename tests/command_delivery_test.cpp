// Tests which commands are sent to a machine, and how their results change its state.
#include "shard/command_delivery.h"

#include "shard_state_fixture.h"

namespace beaconsill::shard {
namespace {

using Channel = Machine::Channel;
using Op = protocol::Command::Op;
using Start = MachineTask::Start;
using protocol::TaskState;

struct CommandDeliveryTest : ShardStateFixture {
  std::vector<CommandBatch> take_batches(Machine& machine) {
    state.dispatch_queue.push(machine);
    return CommandDelivery(state, at(kNowSeconds)).take_batches();
  }
  // Places the task and returns the batch that starts it.
  CommandBatch send_start(Machine& machine, const std::string& job) {
    place(machine, job);
    return take_batches(machine).at(0);
  }
};

TEST_F(CommandDeliveryTest, TheStateOfATaskDeterminesItsCommand) {
  struct Case {
    const char* what;
    void (*change)(MachineTask&);
    std::optional<Op> command;
  };
  const Case cases[] = {
      {"placed", [](MachineTask& task) { task.start = Start::kQueued; }, Op::kStart},
      {"start in flight", [](MachineTask& task) { task.start = Start::kSent; }, std::nullopt},
      {"running", [](MachineTask&) {}, std::nullopt},
      {"to be stopped", [](MachineTask& task) { task.stop_grace = 2; }, Op::kStop},
      {"stop sent", [](MachineTask& task) { task.stop_grace = task.sent_stop_grace = 2; }, std::nullopt},
      {"stop sent with more time", [](MachineTask& task) { task.stop_grace = 2, task.sent_stop_grace = 60; },
       Op::kStop},
      {"stop sent with less time", [](MachineTask& task) { task.stop_grace = 2, task.sent_stop_grace = 0; },
       std::nullopt},
      {"to be stopped, but ended",
       [](MachineTask& task) { task.state = TaskState::kEnded, task.stop_grace = 2; }, std::nullopt},
      {"ended, result not recorded yet", [](MachineTask& task) { task.state = TaskState::kEnded; },
       std::nullopt},
      {"ended and disposable",
       [](MachineTask& task) { task.state = TaskState::kEnded, task.is_disposable = true; }, Op::kForget},
      {"forget sent",
       [](MachineTask& task) {
         task.state = TaskState::kEnded;
         task.is_disposable = task.forget_sent = true;
       },
       std::nullopt},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 1));
    entry.change(run(machine, "run-1"));
    auto batches = take_batches(machine);
    ASSERT_EQ(batches.size(), entry.command ? 1u : 0u) << entry.what;
    if (!entry.command) continue;
    ASSERT_EQ(batches[0].commands.size(), 1u) << entry.what;
    EXPECT_EQ(batches[0].commands[0].op, *entry.command) << entry.what;
    EXPECT_EQ(batches[0].commands[0].grace_s, *entry.command == Op::kStop ? 2 : 0) << entry.what;
  }
}

TEST_F(CommandDeliveryTest, EachBatchHasANewTokenAndOnlyOneBatchIsInFlight) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 2));
  place(machine, "run-1", 0);
  auto batches = take_batches(machine);
  ASSERT_EQ(batches.size(), 1u);
  EXPECT_EQ(batches[0].token, FencingToken::first_of(kTerm).raised());
  EXPECT_EQ(machine.token, batches[0].token);
  EXPECT_EQ(machine.channel, Channel::kBusy);
  place(machine, "run-1", 1);
  EXPECT_TRUE(take_batches(machine).empty());
}

TEST_F(CommandDeliveryTest, NoBatchIsSentToAMachineThatCannotOrMustNotReceiveCommands) {
  struct Case {
    const char* what;
    void (*change)(ShardState&, Machine&);
  };
  const Case cases[] = {
      {"no address", [](ShardState&, Machine& machine) { machine.address.clear(); }},
      {"being deleted", [](ShardState&, Machine& machine) { machine.deleting = true; }},
      {"not confirmed", [](ShardState&, Machine& machine) { machine.confirmed = false; }},
      {"fencing", [](ShardState&, Machine& machine) { machine.channel = Channel::kFencing; }},
      {"superseded", [](ShardState& shard, Machine&) { shard.supersede(); }},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 1));
    place(machine, "run-1");
    entry.change(state, machine);
    EXPECT_TRUE(take_batches(machine).empty()) << entry.what;
    EXPECT_EQ(machine.tasks.begin()->second.start, Start::kQueued) << entry.what;
  }
}

TEST_F(CommandDeliveryTest, ABatchHasAtMostTheMaximumNumberOfCommands) {
  auto& machine = add_machine("m1");
  const std::uint32_t tasks = kMaxCommands + 2;
  grant(job_spec("run-1", tasks));
  for (std::uint32_t index = 0; index < tasks; ++index) place(machine, "run-1", index);
  EXPECT_EQ(take_batches(machine).at(0).commands.size(), kMaxCommands);
}

TEST_F(CommandDeliveryTest, AStartOfACancelledJobIsNotSent) {
  auto& machine = add_machine("m1");
  auto& job = grant(job_spec("run-1", 1));
  place(machine, "run-1");
  job.terminal_state = state_store::TerminalState::kCancelled;
  EXPECT_TRUE(take_batches(machine).empty());
  EXPECT_TRUE(machine.tasks.empty());
}

TEST_F(CommandDeliveryTest, AProbeIsSentWhenDueUnlessThereAreCommandsToSend) {
  struct Case {
    const char* what;
    double probe_at;
    bool has_command;
    std::size_t batches, commands;
  };
  const Case cases[] = {
      {"not due", kNowSeconds + 0.1, false, 0, 0},
      {"due", kNowSeconds, false, 1, 0},
      {"due, with a command to send", kNowSeconds, true, 1, 1},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    machine.probe_at = at(entry.probe_at);
    grant(job_spec("run-1", 1));
    if (entry.has_command) place(machine, "run-1");
    auto batches = take_batches(machine);
    ASSERT_EQ(batches.size(), entry.batches) << entry.what;
    EXPECT_EQ(machine.probe_at.has_value(), entry.batches == 0) << entry.what;
    if (batches.empty()) continue;
    EXPECT_EQ(batches[0].commands.size(), entry.commands) << entry.what;
    EXPECT_EQ(machine.probe_in_flight, !entry.has_command) << entry.what;
    // A probe does not raise the token: the machine has to report the fencing token.
    EXPECT_EQ(batches[0].token > FencingToken::first_of(kTerm), entry.has_command) << entry.what;
  }
}

TEST_F(CommandDeliveryTest, TheResultOfABatchDeterminesTheStateOfItsStart) {
  struct Case {
    const char* what;
    CommandResult result;
    Channel channel;
    std::optional<Start> start;  // std::nullopt: the task is removed from the machine
    GrantedTask::Status status;
  };
  using Status = GrantedTask::Status;
  const Case cases[] = {
      {"executed", CommandResult::kExecuted, Channel::kIdle, Start::kAcknowledged, Status::kPlaced},
      {"rejected", CommandResult::kRejected, Channel::kIdle, std::nullopt, Status::kWaiting},
      {"no answer", CommandResult::kNoAnswer, Channel::kFencing, Start::kSent, Status::kPlaced},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 1));
    auto batch = send_start(machine, "run-1");
    CommandDelivery(state, at(kNowSeconds + 1)).on_result(machine, batch, entry.result);
    EXPECT_EQ(machine.channel, entry.channel) << entry.what;
    EXPECT_EQ(machine.unanswered, entry.result == CommandResult::kNoAnswer ? 1u : 0u) << entry.what;
    EXPECT_EQ(machine.tasks.empty(), !entry.start) << entry.what;
    if (entry.start) {
      EXPECT_EQ(machine.tasks.begin()->second.start, *entry.start) << entry.what;
    }
    EXPECT_EQ(granted_task("run-1").status, entry.status) << entry.what;
  }
}

TEST_F(CommandDeliveryTest, ARejectedStopIsSentAgain) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 1));
  auto& task = run(machine, "run-1");
  task.stop_grace = 0;
  auto batch = take_batches(machine).at(0);
  CommandDelivery(state, at(kNowSeconds)).on_result(machine, batch, CommandResult::kRejected);
  auto again = take_batches(machine);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].commands.at(0).op, Op::kStop);
  EXPECT_GT(again[0].token, batch.token);
}

TEST_F(CommandDeliveryTest, AResultForAnEarlierIncarnationChangesNoTask) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 1));
  auto batch = send_start(machine, "run-1");
  machine.incarnation = Incarnation(2);
  CommandDelivery(state, at(kNowSeconds)).on_result(machine, batch, CommandResult::kExecuted);
  EXPECT_EQ(machine.tasks.begin()->second.start, Start::kSent);
  EXPECT_EQ(machine.last_command_answer_at, at(kNowSeconds));
}

TEST_F(CommandDeliveryTest, AMachineIsProbedAgainUntilItIsConfirmed) {
  struct Case {
    const char* what;
    bool confirmed;
    Channel channel;
    Incarnation incarnation;  // reported by the machine; the probe was sent for incarnation 1
    std::optional<double> probe_at;
  };
  const Case cases[] = {
      {"confirmed", true, Channel::kIdle, Incarnation(1), std::nullopt},
      {"fencing", true, Channel::kFencing, Incarnation(1), kNowSeconds + 1},
      {"not confirmed", false, Channel::kIdle, Incarnation(1), kNowSeconds + 1},
      {"probe sent with the wrong incarnation", false, Channel::kIdle, Incarnation(2), kNowSeconds},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    machine.confirmed = entry.confirmed;
    machine.channel = entry.channel;
    machine.incarnation = entry.incarnation;
    CommandBatch probe{machine.name, machine.address, Incarnation(1), machine.token, {}};
    CommandDelivery(state, at(kNowSeconds)).schedule_next_probe(machine, probe);
    auto expected = entry.probe_at ? std::optional(at(*entry.probe_at)) : std::nullopt;
    EXPECT_EQ(machine.probe_at, expected) << entry.what;
  }
}

TEST_F(CommandDeliveryTest, HeartbeatResponsesListStopsWhileNoBatchesCanBeSent) {
  struct Case {
    const char* what;
    Channel channel;
    bool deleting;
    std::size_t stops;
  };
  const Case cases[] = {
      {"batches can be sent", Channel::kIdle, false, 0},
      {"batch in flight", Channel::kBusy, false, 0},
      {"fencing", Channel::kFencing, false, 1},
      {"being deleted", Channel::kIdle, true, 1},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 3));
    run(machine, "run-1", 0);
    run(machine, "run-1", 1).stop_grace = 2;
    auto& ended = run(machine, "run-1", 2);
    ended.stop_grace = 2;
    ended.state = TaskState::kEnded;
    machine.channel = entry.channel;
    machine.deleting = entry.deleting;
    auto response = CommandDelivery(state, at(kNowSeconds)).heartbeat_response(machine);
    ASSERT_EQ(response.commands.size(), entry.stops) << entry.what;
    for (const auto& command : response.commands) {
      EXPECT_EQ(command.op, Op::kStop) << entry.what;
      EXPECT_EQ(command.task.index, 1u) << entry.what;
      EXPECT_EQ(command.grace_s, 2) << entry.what;
    }
    EXPECT_EQ(response.token, machine.token) << entry.what;
    EXPECT_EQ(machine.last_answered, at(kNowSeconds)) << entry.what;
  }
}

}  // namespace
}  // namespace beaconsill::shard
