// Tests the failover of a shard leader under late copies of heartbeats, lost responses, commands of earlier
// leaders and machines that receive nothing. See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::kCancelLimitSeconds;
using fixture::kGraceSeconds;
using fixture::kLeaseSeconds;
using protocol::Command;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;

constexpr Term kTerm(5);
struct ShardLeader {
  ShardLeader() : shard(ShardId(0), kTerm, fixture::params(), at(0)) {
    shard.set_catalogue(fixture::catalogue({Zone("a")}));
  }
  protocol::WorkerHeartbeat& worker(const std::string& name) {
    return workers.try_emplace(name, fixture::new_worker(name, Zone("a"))).first->second;
  }
  void register_machines(std::initializer_list<const char*> names) {
    std::vector<state_store::MachineRecord> records;
    for (auto* name : names) records.push_back(fixture::machine_record(worker(name)));
    shard.on_registry_read(records, at(0));
  }
  void run_task(const std::string& name, const char* job, std::uint32_t index, std::uint64_t attempt) {
    worker(name).tasks.push_back(
        {TaskId{JobId(job), index}, Attempt(attempt), TaskState::kRunning, EndCause::kDone, false});
  }
  // Returns the worker's next heartbeat. `has_seen_term`: whether the worker has seen this leader's term.
  protocol::WorkerHeartbeat next_heartbeat(const std::string& name, bool has_seen_term) {
    auto& sender = worker(name);
    if (has_seen_term) sender.token = std::max(sender.token, FencingToken::first_of(kTerm));
    sender.sequence = Sequence(sender.sequence.value() + 1);
    return sender;
  }
  void deliver(const protocol::WorkerHeartbeat& heartbeat, double time_s) {
    if (shard.on_worker_heartbeat(heartbeat, at(time_s)) == HeartbeatResult::kApplied)
      shard.heartbeat_response(heartbeat.machine, at(time_s));
  }
  void heartbeat(const std::string& name, double time_s, bool has_seen_term = true) {
    deliver(next_heartbeat(name, has_seen_term), time_s);
  }
  void grant(const char* id, std::uint32_t tasks, Term term, double time_s) {
    auto spec = fixture::job_spec(JobId(id), tasks);
    spec.image_gb = 1;
    auto& job = jobs[id];
    fixture::record_job(job, spec);
    job.grants.value = {{{Generation(1), ShardId(0), term, Ranges::span(0, tasks), {}, false, {}}},
                        Generation(1)};
    job.grants.revision = Revision(2);
    publish(id, time_s);
  }
  void publish(const char* id, double time_s, std::optional<TerminalState> end = std::nullopt) {
    shard.on_job(JobId(id), &jobs[id], end, at(time_s));
  }
  void tick(double time_s) { shard.tick(at(time_s), at(time_s), at(time_s)); }
  static std::size_t count(const std::vector<ShardManager::Batch>& batches, Command::Op op) {
    std::size_t matching = 0;
    for (const auto& batch : batches)
      for (const auto& command : batch.commands) matching += command.op == op;
    return matching;
  }
  std::size_t starts(double time_s) {
    tick(time_s);
    return count(shard.take_command_batches(at(time_s)), Command::Op::kStart);
  }

  ShardManager shard;
  std::map<std::string, protocol::WorkerHeartbeat> workers;
  std::map<std::string, state_store::Job> jobs;
};

// An old heartbeat of m1, or a copy of one, arrives after a new shard leader has begun, although the task has
// moved from m1 to m2 since. The task must neither be stopped on m2 nor started again, in whatever order the
// copy and the current heartbeats arrive.
TEST(ShardFailover, AStaleHeartbeatNeitherStopsNorRestartsTheRunningTask) {
  struct Case {
    const char* what;
    bool copy_first;
    bool m1_registered;              // false: m1 was deleted, and the copy is its only heartbeat
    bool m2_confirmed_before;        // m2's first heartbeat is already under this leader's term
    std::uint64_t copy_incarnation;  // incarnation in the copy; the current one of m1 is 2
  };
  const Case cases[] = {
      {"copy of an earlier incarnation first", true, true, false, 1},
      {"copy of the same incarnation first", true, true, false, 2},
      {"copy from a terminated machine first", true, false, false, 1},
      {"copy from a terminated machine last", false, false, false, 1},
      {"copy last", false, true, true, 1},
      {"copy first, the other machine confirmed at once", true, true, true, 1},
  };
  for (const auto& entry : cases) {
    ShardLeader leader;
    leader.register_machines({"m2"});
    if (entry.m1_registered) leader.register_machines({"m1", "m2"});
    leader.grant("run-1", 1, Term(4), 0);
    auto copy = leader.worker("m1");
    copy.incarnation = Incarnation(entry.copy_incarnation);
    copy.sequence = Sequence(3);
    copy.tasks = {{TaskId{JobId("run-1"), 0}, Attempt(7), TaskState::kRunning, EndCause::kDone, false}};
    leader.worker("m1").incarnation = Incarnation(2);
    leader.worker("m1").sequence = Sequence(9);
    leader.run_task("m2", "run-1", 0, 8);
    if (entry.copy_first) leader.deliver(copy, 1);
    leader.heartbeat("m2", 1.1, entry.m2_confirmed_before);
    leader.heartbeat("m2", 1.5);
    if (!entry.copy_first) leader.deliver(copy, 1.6);
    if (entry.m1_registered) leader.heartbeat("m1", 1.8);
    std::size_t stops = 0, starts = 0;
    for (double time_s = 2; time_s < 5; time_s += 0.5) {
      leader.heartbeat("m2", time_s);
      if (entry.m1_registered) leader.heartbeat("m1", time_s);
      leader.tick(time_s);
      for (const auto& batch : leader.shard.take_command_batches(at(time_s))) {
        stops += ShardLeader::count({batch}, Command::Op::kStop);
        starts += ShardLeader::count({batch}, Command::Op::kStart);
      }
    }
    EXPECT_EQ(stops, 0u) << entry.what;
    EXPECT_EQ(starts, 0u) << entry.what;
    EXPECT_EQ(leader.shard.running(JobId("run-1")), entry.m1_registered ? 1u : 2u) << entry.what;
  }
}

// If two machines that have confirmed this leader's term both list the task, it is stopped on one of them.
TEST(ShardFailover, DuplicateExecutionIsStoppedOnOneMachine) {
  ShardLeader leader;
  leader.register_machines({"m1", "m2"});
  leader.grant("run-1", 1, Term(4), 0);
  leader.run_task("m1", "run-1", 0, 7);
  leader.run_task("m2", "run-1", 0, 8);
  leader.heartbeat("m1", 1);
  leader.heartbeat("m2", 1);
  leader.tick(2);
  EXPECT_EQ(ShardLeader::count(leader.shard.take_command_batches(at(2)), Command::Op::kStop), 1u);
}

// A shard leader crashes, and a machine sends heartbeats to its successor but receives nothing from it. The
// reconciliation, and with it the restart of every task lost in the failover, must not wait until the machine
// is reachable.
TEST(ShardFailover, AMachineThatTheNewLeaderCannotReachDelaysReconciliationOnlyForTheGracePeriod) {
  struct Case {
    const char* what;
    double reachable_from;
    bool deleted;
  };
  const Case cases[] = {
      {"the machine becomes reachable within the grace period", 4, false},
      {"the machine never becomes reachable", 1e9, true},
  };
  for (const auto& entry : cases) {
    ShardLeader leader;
    leader.register_machines({"m1", "m2", "m3"});
    leader.grant("run-1", 2, Term(4), 0);
    leader.run_task("m1", "run-1", 0, 7);
    std::set<MachineName> deleted;
    double reconciled_at = 0;
    std::size_t starts = 0;
    for (double time_s = 0.5; time_s < 20; time_s += 0.5) {
      leader.heartbeat("m1", time_s);
      leader.heartbeat("m2", time_s);
      if (deleted.empty()) leader.heartbeat("m3", time_s, time_s >= entry.reachable_from);
      leader.tick(time_s);
      starts += ShardLeader::count(leader.shard.take_command_batches(at(time_s)), Command::Op::kStart);
      for (const auto& name : leader.shard.take_machines_to_delete(at(time_s))) {
        deleted.insert(name);
        leader.shard.on_machine_terminated(name, at(time_s));
      }
      if (leader.shard.is_reconciled() && reconciled_at == 0) reconciled_at = time_s;
    }
    EXPECT_EQ(deleted.contains(MachineName("m3")), entry.deleted) << entry.what;
    EXPECT_EQ(deleted.size(), entry.deleted ? 1u : 0u) << entry.what;
    EXPECT_GT(reconciled_at, 0) << entry.what;
    EXPECT_LT(reconciled_at, kGraceSeconds + 4) << entry.what;
    EXPECT_EQ(starts, 1u) << entry.what << ": the task that no machine runs is started once";
  }
}

// If most machines of a zone receive nothing, it is more likely that this controller is partitioned, so none
// is deleted before the time limit of a cancellation.
TEST(ShardFailover, MachinesOfAnUnreachableZoneAreNotDeletedBeforeTheCancellationLimit) {
  ShardLeader leader;
  leader.register_machines({"m1", "m2", "m3", "m4", "m5"});
  for (double time_s = 0.5; time_s < kCancelLimitSeconds - 1; time_s += 0.5) {
    for (const char* name : {"m1", "m2", "m3", "m4"}) leader.heartbeat(name, time_s, false);
    leader.heartbeat("m5", time_s);
    EXPECT_TRUE(leader.shard.take_machines_to_delete(at(time_s)).empty()) << time_s;
  }
}

// A late command of an earlier leader reaches a machine before the machine has seen the new term. Tasks
// granted earlier must not be started anywhere until the machine has reported the new term, and the task that
// it then runs must be kept.
TEST(ShardFailover, ATaskStartedByALateCommandOfAnEarlierLeaderIsAdopted) {
  ShardLeader leader;
  leader.register_machines({"m1", "m2"});
  leader.grant("run-1", 1, Term(4), 0);
  leader.heartbeat("m2", 0.2);
  for (double time_s = 0.5; time_s < 3; time_s += 0.5) {
    leader.heartbeat("m2", time_s);
    EXPECT_EQ(leader.starts(time_s), 0u) << time_s;
  }
  leader.run_task("m1", "run-1", 0, 7);  // the late command, executed
  leader.heartbeat("m1", 3.1);
  EXPECT_EQ(leader.starts(3.2), 0u);
  EXPECT_TRUE(leader.shard.is_reconciled());
  EXPECT_EQ(leader.shard.running(JobId("run-1")), 1u);
}

// A command or its answer is delayed for seconds. Until the worker reports a raised token, the task must not
// be started on another machine, regardless of what older heartbeats list.
TEST(ShardFailover, AnUnansweredStartIsResolvedOnlyByAHigherToken) {
  ShardLeader leader;
  leader.register_machines({"m1"});
  leader.heartbeat("m1", 0.1);
  leader.grant("run-1", 1, kTerm, 0.2);
  leader.tick(0.3);
  auto sent = leader.shard.take_command_batches(at(0.3));
  ASSERT_EQ(ShardLeader::count(sent, Command::Op::kStart), 1u);
  leader.register_machines({"m1", "m2"});
  leader.heartbeat("m2", 0.4);
  leader.shard.on_command_result(sent[0], ShardManager::CommandResult::kNoAnswer, std::nullopt, at(2.3));
  // Heartbeats that the worker sent without having seen the command prove nothing.
  for (double time_s = 2.5; time_s < 5; time_s += 0.5) {
    leader.heartbeat("m1", time_s);
    leader.heartbeat("m2", time_s);
    EXPECT_EQ(leader.starts(time_s), 0u) << time_s;
  }
  // The worker has seen the command's own token. The command may have been rejected or executed, and only a
  // heartbeat with a raised token shows which.
  leader.worker("m1").token = sent[0].token;
  leader.heartbeat("m1", 5.1);
  EXPECT_EQ(leader.starts(5.2), 0u);
  leader.worker("m1").token = sent[0].token.raised();
  leader.heartbeat("m1", 5.5);
  EXPECT_EQ(leader.starts(5.8), 1u);
}

// A job is cancelled at the moment at which its last task ends. Whichever of the two is recorded first, the
// leader has no tasks of the job left and never starts the task again.
TEST(ShardFailover, ATaskThatEndsWhileItsJobIsCancelledIsNotStartedAgain) {
  struct Case {
    const char* what;
    bool cancelled_first;
    EndCause cause;
  };
  const Case cases[] = {
      {"done, then cancelled", false, EndCause::kDone},
      {"cancelled, then done", true, EndCause::kDone},
      {"failed, then cancelled", false, EndCause::kError},
      {"cancelled, then stopped", true, EndCause::kStopped},
  };
  for (const auto& entry : cases) {
    ShardLeader leader;
    leader.register_machines({"m1", "m2"});
    leader.heartbeat("m1", 0.1);
    leader.heartbeat("m2", 0.1);
    leader.grant("run-1", 1, kTerm, 0.2);
    leader.tick(0.3);
    auto sent = leader.shard.take_command_batches(at(0.3));
    ASSERT_EQ(sent.size(), 1u) << entry.what;
    auto name = sent[0].machine.value();
    auto& worker = leader.worker(name);
    worker.token = sent[0].token;
    worker.tasks = {{sent[0].commands[0].task, sent[0].commands[0].attempt, TaskState::kRunning, {}, false}};
    leader.shard.on_command_result(sent[0], ShardManager::CommandResult::kExecuted,
                                   leader.next_heartbeat(name, true), at(0.4));
    if (entry.cancelled_first) leader.publish("run-1", 1, TerminalState::kCancelled);
    worker.tasks[0].state = TaskState::kEnded;
    worker.tasks[0].cause = entry.cause;
    leader.heartbeat(name, 1.1);
    if (!entry.cancelled_first) leader.publish("run-1", 1.2, TerminalState::kCancelled);
    for (double time_s = 1.5; time_s < 5; time_s += 0.5) EXPECT_EQ(leader.starts(time_s), 0u) << entry.what;
    EXPECT_TRUE(leader.shard.holds_no_tasks_of(JobId("run-1"))) << entry.what;
  }
}

// A leader that is partitioned from the state store and from its peers still leads its workers. It must start
// nothing without recent knowledge of cancellations, and send nothing more once a worker reports a higher
// term.
TEST(ShardFailover, APartitionedLeaderStartsNothingWithoutRecentCancellationsOrUnderALaterTerm) {
  struct Case {
    double knowledge_age_s;
    std::size_t starts;
  };
  for (auto entry : {Case{kCancelLimitSeconds / 4 - 1, 1}, Case{kCancelLimitSeconds / 4 + 0.5, 0}}) {
    ShardLeader leader;
    leader.register_machines({"m1"});
    leader.heartbeat("m1", 20);
    leader.grant("run-1", 1, kTerm, 20);
    leader.shard.tick(at(20.2), at(20.2 - entry.knowledge_age_s), at(0));
    EXPECT_EQ(ShardLeader::count(leader.shard.take_command_batches(at(20.2)), Command::Op::kStart),
              entry.starts)
        << entry.knowledge_age_s;
  }
  ShardLeader leader;
  leader.register_machines({"m1"});
  leader.heartbeat("m1", 0.1);
  leader.grant("run-1", 1, kTerm, 0.2);
  leader.worker("m1").token = FencingToken::first_of(Term(6));
  leader.heartbeat("m1", 0.3);
  EXPECT_TRUE(leader.shard.superseded());
  EXPECT_EQ(leader.starts(0.4), 0u);
  EXPECT_TRUE(leader.shard.take_machines_to_delete(at(30)).empty());
}

// A zone is partitioned for longer than a lease. Tasks of its machines count as ended only after a read of
// the state store, begun after the lease had expired, shows that no successor can have renewed the lease.
TEST(ShardFailover, TasksAreRestartedOnlyIfTheStateStoreWasReadAfterTheLeaseExpired) {
  struct Case {
    const char* what;
    double up_to_date_at;
    std::size_t starts;
  };
  const double expiry = 1 + kLeaseSeconds * 1.002 + 0.5;
  const Case cases[] = {
      {"no read since", 1, 0},
      {"read before it expired", expiry - 0.2, 0},
      {"read after it expired", expiry + 0.1, 1},
  };
  for (const auto& entry : cases) {
    ShardLeader leader;
    leader.register_machines({"m1"});
    leader.grant("run-1", 1, Term(4), 0);
    leader.run_task("m1", "run-1", 0, 7);
    leader.heartbeat("m1", 1);
    leader.register_machines({"m1", "m2"});
    leader.heartbeat("m2", 1);
    for (double time_s = 2; time_s < expiry; time_s += 1) leader.heartbeat("m2", time_s);
    double now = expiry + 0.3;
    leader.heartbeat("m2", now);
    leader.shard.tick(at(now), at(now), at(entry.up_to_date_at));
    EXPECT_EQ(ShardLeader::count(leader.shard.take_command_batches(at(now)), Command::Op::kStart),
              entry.starts)
        << entry.what;
  }
}

// Tasks of one job end at very different times, and the scheduler leader changes in between. The new
// scheduler leader must get all unrecorded progress, not only progress that is new since the last report.
TEST(ShardFailover, ANewSchedulerLeaderGetsAllUnrecordedProgress) {
  ShardLeader leader;
  leader.register_machines({"m1"});
  leader.grant("run-1", 2, Term(4), 0);
  leader.run_task("m1", "run-1", 0, 7);
  leader.run_task("m1", "run-1", 1, 8);
  leader.heartbeat("m1", 0.5);
  auto& worker = leader.worker("m1");
  worker.tasks[0].state = TaskState::kEnded;
  leader.heartbeat("m1", 1);
  auto first = leader.shard.progress_report(false);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].done.str(), "0");
  EXPECT_TRUE(leader.shard.progress_report(false).empty());
  auto again = leader.shard.progress_report(true);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].done.str(), "0");
  worker.tasks[1].state = TaskState::kEnded;
  leader.heartbeat("m1", 60);
  auto last = leader.shard.progress_report(true);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].done.str(), "0-1");
}

}  // namespace
}  // namespace beaconsill::shard
