// Tests the effects of a single heartbeat on the state of a shard.
#include "shard/heartbeat_reconciler.h"

#include "shard_state_fixture.h"

namespace beaconsill::shard {
namespace {

using Start = MachineTask::Start;
using Status = GrantedTask::Status;
using protocol::EndCause;
using protocol::TaskState;

struct HeartbeatReconcilerTest : ShardStateFixture {
  // Returns the next heartbeat of a machine, which lists the tasks that the shard has recorded there.
  static protocol::WorkerHeartbeat next_heartbeat(const Machine& machine) {
    auto heartbeat = fixture::new_worker(machine.name.value(), machine.zone);
    heartbeat.incarnation = machine.incarnation;
    heartbeat.sequence = Sequence(machine.sequence.value() + 1);
    heartbeat.token = machine.token;
    for (const auto& [key, task] : machine.tasks)
      heartbeat.tasks.push_back({key.task, key.attempt, task.state, task.cause, task.saved});
    return heartbeat;
  }
  HeartbeatResult reconcile(const protocol::WorkerHeartbeat& heartbeat, double now = kNowSeconds + 1,
                            HeartbeatOrigin origin = HeartbeatOrigin::kUnsolicited) {
    return HeartbeatReconciler(state, at(now)).reconcile(heartbeat, origin);
  }
};

TEST_F(HeartbeatReconcilerTest, HeartbeatsAreDroppedIfStaleOrFromALaterTermOrFromATerminatedMachine) {
  struct Case {
    const char* what;
    void (*change)(ShardState&, protocol::WorkerHeartbeat&);
    HeartbeatResult result;
    bool superseded;
  };
  const Case cases[] = {
      {"the machine's next heartbeat", [](ShardState&, protocol::WorkerHeartbeat&) {},
       HeartbeatResult::kApplied, false},
      {"a repeated heartbeat",
       [](ShardState&, protocol::WorkerHeartbeat& heartbeat) { heartbeat.sequence = Sequence(1); },
       HeartbeatResult::kDropped, false},
      {"from an earlier incarnation",
       [](ShardState&, protocol::WorkerHeartbeat& heartbeat) { heartbeat.incarnation = Incarnation(0); },
       HeartbeatResult::kDropped, false},
      {"from a later term",
       [](ShardState&, protocol::WorkerHeartbeat& heartbeat) {
         heartbeat.token = FencingToken::first_of(Term(6));
       },
       HeartbeatResult::kDropped, true},
      {"from a terminated machine",
       [](ShardState& shard, protocol::WorkerHeartbeat& heartbeat) {
         shard.terminated.insert(heartbeat.machine);
       },
       HeartbeatResult::kDropped, false},
  };
  for (const auto& entry : cases) {
    reset();
    const auto& machine = add_machine("m1");
    auto heartbeat = next_heartbeat(machine);
    entry.change(state, heartbeat);
    EXPECT_EQ(reconcile(heartbeat), entry.result) << entry.what;
    EXPECT_EQ(machine.last_contact,
              at(entry.result == HeartbeatResult::kApplied ? kNowSeconds + 1 : kNowSeconds))
        << entry.what;
    EXPECT_EQ(state.superseded, entry.superseded) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AMachineIsConfirmedOnceItReportsATokenOfThisTerm) {
  struct Case {
    const char* what;
    FencingToken token;
    bool confirmed;
  };
  const Case cases[] = {
      {"no token yet", FencingToken(), false},
      {"token of an earlier term", FencingToken::first_of(Term(4)).raised(), false},
      {"token of this term", FencingToken::first_of(kTerm), true},
  };
  for (const auto& entry : cases) {
    reset();
    auto heartbeat = fixture::new_worker("m1", Zone("a"));
    heartbeat.sequence = Sequence(1);
    heartbeat.token = entry.token;
    EXPECT_EQ(reconcile(heartbeat), HeartbeatResult::kApplied) << entry.what;
    const auto& machine = state.machines.at(MachineName("m1"));
    EXPECT_EQ(machine.confirmed, entry.confirmed) << entry.what;
    EXPECT_EQ(machine.token, FencingToken::first_of(kTerm)) << entry.what;
    EXPECT_EQ(machine.first_seen, at(kNowSeconds + 1)) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AnAnswerToCommandsCountsAsContactButNotAsUnsolicitedHeartbeat) {
  for (auto origin : {HeartbeatOrigin::kUnsolicited, HeartbeatOrigin::kCommandAnswer}) {
    reset();
    auto& machine = add_machine("m1");
    machine.on_command_sent(at(kNowSeconds));
    machine.unanswered = 1;
    reconcile(next_heartbeat(machine), kNowSeconds + 1, origin);
    bool unsolicited = origin == HeartbeatOrigin::kUnsolicited;
    EXPECT_EQ(machine.last_contact, at(kNowSeconds + 1));
    EXPECT_EQ(machine.last_unsolicited_heartbeat, at(unsolicited ? kNowSeconds + 1 : kNowSeconds));
    EXPECT_EQ(machine.unanswered, 0u);
    EXPECT_FALSE(machine.unanswered_since);
  }
}

TEST_F(HeartbeatReconcilerTest, TasksOfTheEarlierIncarnationAreDroppedWhenANewOneAppears) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 1));
  run(machine, "run-1");
  auto heartbeat = next_heartbeat(machine);
  heartbeat.incarnation = Incarnation(2);
  heartbeat.sequence = Sequence(1);
  heartbeat.tasks.clear();
  reconcile(heartbeat);
  EXPECT_TRUE(machine.tasks.empty());
  EXPECT_EQ(granted_task("run-1").status, Status::kWaiting);
  // The worker's lease expired although its heartbeats were answered, so it possibly receives nothing.
  EXPECT_EQ(machine.channel, Machine::Channel::kFencing);
}

TEST_F(HeartbeatReconcilerTest, FencingBeginsAfterAPauseThatSuggestsAMissedAnswer) {
  struct Case {
    const char* what;
    double answered;  // when the last heartbeat was answered
    double pause;     // seconds before the next heartbeat
    HeartbeatOrigin origin;
    bool fenced;
  };
  const Case cases[] = {
      {"no pause", kNowSeconds, 1, HeartbeatOrigin::kUnsolicited, false},
      {"an answered heartbeat, then a pause", kNowSeconds, 3.9, HeartbeatOrigin::kUnsolicited, true},
      {"the heartbeat was not answered, which explains the pause", kNowSeconds - 1, 3.9,
       HeartbeatOrigin::kUnsolicited, false},
      {"the worker answers commands after the pause", kNowSeconds, 3.9, HeartbeatOrigin::kCommandAnswer,
       false},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    machine.last_answered = at(entry.answered);
    reconcile(next_heartbeat(machine), kNowSeconds + entry.pause, entry.origin);
    EXPECT_EQ(machine.channel == Machine::Channel::kFencing, entry.fenced) << entry.what;
    EXPECT_EQ(machine.token > FencingToken::first_of(kTerm), entry.fenced) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AHeartbeatWithTheFencingTokenEndsFencing) {
  for (bool reports_token : {true, false}) {
    reset();
    auto& machine = add_machine("m1");
    auto heartbeat = next_heartbeat(machine);
    begin_fencing(machine, state.dispatch_queue, at(kNowSeconds));
    if (reports_token) heartbeat.token = machine.token;
    reconcile(heartbeat);
    EXPECT_EQ(machine.channel == Machine::Channel::kIdle, reports_token);
    EXPECT_EQ(machine.suspected_since.has_value(), !reports_token);
  }
}

TEST_F(HeartbeatReconcilerTest, ATaskThatIsNotListedIsDroppedUnlessItsStartIsQueuedOrInFlight) {
  struct Case {
    const char* what;
    Start start;
    bool kept;
  };
  const Case cases[] = {
      {"start queued", Start::kQueued, true},
      {"start in flight", Start::kSent, true},
      {"start acknowledged", Start::kAcknowledged, false},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 1));
    place(machine, "run-1").start = entry.start;
    auto heartbeat = next_heartbeat(machine);
    heartbeat.tasks.clear();
    reconcile(heartbeat);
    EXPECT_EQ(!machine.tasks.empty(), entry.kept) << entry.what;
    EXPECT_EQ(granted_task("run-1").status, entry.kept ? Status::kPlaced : Status::kWaiting) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AnEndedTaskIsDoneOrWaitsAgainDependingOnItsEndCause) {
  struct Case {
    const char* what;
    EndCause cause;
    Status status;
    bool disposable, counts_as_failure;
  };
  const Case cases[] = {
      {"done", EndCause::kDone, Status::kDone, false, false},
      {"stopped", EndCause::kStopped, Status::kWaiting, true, false},
      {"failed", EndCause::kError, Status::kWaiting, true, true},
      {"cause unknown", EndCause::kUnknown, Status::kWaiting, true, true},
  };
  for (const auto& entry : cases) {
    reset();
    auto& machine = add_machine("m1");
    grant(job_spec("run-1", 1));
    const auto& task = run(machine, "run-1");
    auto heartbeat = next_heartbeat(machine);
    heartbeat.tasks.at(0).state = TaskState::kEnded;
    heartbeat.tasks.at(0).cause = entry.cause;
    reconcile(heartbeat);
    EXPECT_EQ(granted_task("run-1").status, entry.status) << entry.what;
    EXPECT_EQ(task.is_disposable, entry.disposable) << entry.what;
    EXPECT_EQ(state.failure_attribution.has_recent_failures(machine.name, JobId("run-1")),
              entry.counts_as_failure)
        << entry.what;
    EXPECT_EQ(state.jobs.at(JobId("run-1")).works, entry.cause == EndCause::kDone) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AListedTaskIsAdoptedIfItsGrantIsNotPlaced) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 1));
  auto heartbeat = next_heartbeat(machine);
  heartbeat.tasks.push_back({{JobId("run-1"), 0}, Attempt(7), TaskState::kRunning, EndCause::kDone, false});
  reconcile(heartbeat);
  EXPECT_EQ(granted_task("run-1").status, Status::kPlaced);
  EXPECT_EQ(granted_task("run-1").machine, machine.name);
  EXPECT_EQ(granted_task("run-1").attempt, Attempt(7));
}

TEST_F(HeartbeatReconcilerTest, ADuplicateExecutionIsStoppedUnlessTheFirstIsKnownOnlyFromAnOldHeartbeat) {
  struct Case {
    const char* what;
    bool first_confirmed;
    bool second_stopped;
  };
  const Case cases[] = {
      {"both machines are confirmed", true, true},
      {"the first is known only from a heartbeat of an earlier term", false, false},
  };
  for (const auto& entry : cases) {
    reset();
    auto& first = add_machine("m1");
    auto& second = add_machine("m2");
    grant(job_spec("run-1", 1));
    run(first, "run-1");
    first.confirmed = entry.first_confirmed;
    auto heartbeat = next_heartbeat(second);
    heartbeat.tasks.push_back({{JobId("run-1"), 0}, Attempt(7), TaskState::kRunning, EndCause::kDone, false});
    reconcile(heartbeat);
    EXPECT_EQ(second.tasks.begin()->second.stop_grace.has_value(), entry.second_stopped) << entry.what;
    EXPECT_EQ(granted_task("run-1").machine, entry.second_stopped ? first.name : second.name) << entry.what;
  }
}

TEST_F(HeartbeatReconcilerTest, AReclaimNoticeIsClearedByAHeartbeatWithoutIt) {
  auto& machine = add_machine("m1");
  auto heartbeat = next_heartbeat(machine);
  heartbeat.termination_notice_s = 30;
  reconcile(heartbeat, kNowSeconds + 1);
  EXPECT_EQ(machine.reclaim_at, at(kNowSeconds + 31));
  reconcile(next_heartbeat(machine), kNowSeconds + 2);
  EXPECT_FALSE(machine.reclaim_at);
}

TEST_F(HeartbeatReconcilerTest, AJobCountsAsWorkingAfterATaskHasRunForTenSeconds) {
  auto& machine = add_machine("m1");
  grant(job_spec("run-1", 1));
  run(machine, "run-1");
  reconcile(next_heartbeat(machine), kNowSeconds + 9.9);
  EXPECT_FALSE(state.jobs.at(JobId("run-1")).works);
  reconcile(next_heartbeat(machine), kNowSeconds + 10);
  EXPECT_TRUE(state.jobs.at(JobId("run-1")).works);
}

}  // namespace
}  // namespace beaconsill::shard
