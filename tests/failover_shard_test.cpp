// Failover of a shard leader: late copies of heartbeats, lost responses, commands of earlier leaders,
// machines that receive nothing. See docs/failover-faults.md.
#include <gtest/gtest.h>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using fixture::kCancelLimit_s;
using fixture::kGrace_s;
using fixture::kLease_s;
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
  void registered(std::initializer_list<const char*> names) {
    std::vector<state_store::MachineRecord> records;
    for (auto* name : names) records.push_back(fixture::machine_record(worker(name)));
    shard.on_registry(records, at(0));
  }
  void runs(const std::string& name, const char* job, std::uint32_t index, std::uint64_t attempt) {
    worker(name).tasks.push_back(
        {TaskId{JobId(job), index}, Attempt(attempt), TaskState::kRunning, EndCause::kDone, false});
  }
  // A report of the worker as it is now; `obeys`: it has seen this owner's term.
  protocol::WorkerHeartbeat next_report(const std::string& name, bool obeys) {
    auto& w = worker(name);
    if (obeys) w.token = std::max(w.token, FencingToken::first_of(kTerm));
    w.sequence = Sequence(w.sequence.value() + 1);
    return w;
  }
  void take(const protocol::WorkerHeartbeat& r, double t) {
    if (shard.on_worker_heartbeat(r, at(t)) == HeartbeatResult::kApplied)
      shard.heartbeat_response(r.machine, at(t));
  }
  void heartbeat(const std::string& name, double t, bool obeys = true) { take(next_report(name, obeys), t); }
  void grant(const char* id, std::uint32_t tasks, Term term, double t) {
    auto spec = fixture::job_spec(JobId(id), tasks);
    spec.image_gb = 1;
    auto& j = jobs[id];
    fixture::record_job(j, spec);
    j.grants.value = {{{Generation(1), ShardId(0), term, Ranges::span(0, tasks), {}, false, {}}},
                      Generation(1)};
    j.grants.revision = Revision(2);
    publish(id, t);
  }
  void publish(const char* id, double t, std::optional<TerminalState> end = std::nullopt) {
    shard.on_job(JobId(id), &jobs[id], end, at(t));
  }
  void tick(double t) { shard.tick(at(t), at(t), at(t)); }
  static std::size_t count(const std::vector<ShardManager::Batch>& batches, Command::Op op) {
    std::size_t n = 0;
    for (const auto& b : batches)
      for (const auto& c : b.commands) n += c.op == op;
    return n;
  }
  std::size_t starts(double t) {
    tick(t);
    return count(shard.take_command_batches(at(t)), Command::Op::kStart);
  }

  ShardManager shard;
  std::map<std::string, protocol::WorkerHeartbeat> workers;
  std::map<std::string, state_store::Job> jobs;
};

// A heartbeat is delayed until a new shard leader has begun, or copies of old ones reach every controller
// then: a task that has since moved from m1 to m2 must neither be stopped on m2 nor started once more, in
// whatever order the copy and the true reports come.
TEST(ShardFailover, AStaleHeartbeatDoesNotStopTheRunningTask) {
  struct Case {
    const char* what;
    bool copy_first;
    bool m1_registered;              // false: it was deleted, and its copy is all that is left of it
    bool m2_reported_before;         // under this owner's term, before its task is known here
    std::uint64_t copy_incarnation;  // of m1, whose true incarnation is 2
  };
  const Case cases[] = {
      {"copy of an earlier incarnation first", true, true, false, 1},
      {"copy of the same incarnation first", true, true, false, 2},
      {"copy of a machine that is gone first", true, false, false, 1},
      {"copy of a machine that is gone last", false, false, false, 1},
      {"copy last", false, true, true, 1},
      {"copy first, the other obeys at once", true, true, true, 1},
  };
  for (const auto& c : cases) {
    ShardLeader o;
    o.registered({"m2"});
    if (c.m1_registered) o.registered({"m1", "m2"});
    o.grant("run-1", 1, Term(4), 0);
    auto copy = o.worker("m1");
    copy.incarnation = Incarnation(c.copy_incarnation);
    copy.sequence = Sequence(3);
    copy.tasks = {{TaskId{JobId("run-1"), 0}, Attempt(7), TaskState::kRunning, EndCause::kDone, false}};
    o.worker("m1").incarnation = Incarnation(2);
    o.worker("m1").sequence = Sequence(9);
    o.runs("m2", "run-1", 0, 8);
    if (c.copy_first) o.take(copy, 1);
    o.heartbeat("m2", 1.1, c.m2_reported_before);
    o.heartbeat("m2", 1.5);
    if (!c.copy_first) o.take(copy, 1.6);
    if (c.m1_registered) o.heartbeat("m1", 1.8);
    std::size_t stops = 0, starts = 0;
    for (double t = 2; t < 5; t += 0.5) {
      o.heartbeat("m2", t);
      if (c.m1_registered) o.heartbeat("m1", t);
      o.tick(t);
      for (const auto& b : o.shard.take_command_batches(at(t))) {
        stops += ShardLeader::count({b}, Command::Op::kStop);
        starts += ShardLeader::count({b}, Command::Op::kStart);
      }
    }
    EXPECT_EQ(stops, 0u) << c.what;
    EXPECT_EQ(starts, 0u) << c.what;
    EXPECT_EQ(o.shard.running(JobId("run-1")), c.m1_registered ? 1u : 2u) << c.what;
  }
}

// When two machines that obey this owner both list the task, one of the two is stopped all the same.
TEST(ShardFailover, DuplicateExecutionIsStoppedOnOneMachine) {
  ShardLeader o;
  o.registered({"m1", "m2"});
  o.grant("run-1", 1, Term(4), 0);
  o.runs("m1", "run-1", 0, 7);
  o.runs("m2", "run-1", 0, 8);
  o.heartbeat("m1", 1);
  o.heartbeat("m2", 1);
  o.tick(2);
  EXPECT_EQ(ShardLeader::count(o.shard.take_command_batches(at(2)), Command::Op::kStop), 1u);
}

// A shard leader crashes while a machine receives nothing of its successor but sends heartbeats all the same:
// the reconciliation, and with it every task that was lost in the change, must not wait for as long as that
// lasts.
TEST(ShardFailover, AMachineThatTheNewLeaderNeverReachesDoesNotDelayReconciliation) {
  struct Case {
    const char* what;
    double reachable_from;
    bool deleted;
  };
  const Case cases[] = {
      {"it is reachable within the grace period", 4, false},
      {"it is never reachable", 1e9, true},
  };
  for (const auto& c : cases) {
    ShardLeader o;
    o.registered({"m1", "m2", "m3"});
    o.grant("run-1", 2, Term(4), 0);
    o.runs("m1", "run-1", 0, 7);
    std::set<MachineName> deleted;
    double is_reconciled = 0;
    std::size_t starts = 0;
    for (double t = 0.5; t < 20; t += 0.5) {
      o.heartbeat("m1", t);
      o.heartbeat("m2", t);
      if (deleted.empty()) o.heartbeat("m3", t, t >= c.reachable_from);
      o.tick(t);
      starts += ShardLeader::count(o.shard.take_command_batches(at(t)), Command::Op::kStart);
      for (const auto& m : o.shard.take_machines_to_delete(at(t))) {
        deleted.insert(m);
        o.shard.on_machine_terminated(m, at(t));
      }
      if (o.shard.is_reconciled() && is_reconciled == 0) is_reconciled = t;
    }
    EXPECT_EQ(deleted.contains(MachineName("m3")), c.deleted) << c.what;
    EXPECT_EQ(deleted.size(), c.deleted ? 1u : 0u) << c.what;
    EXPECT_GT(is_reconciled, 0) << c.what;
    EXPECT_LT(is_reconciled, kGrace_s + 4) << c.what;
    EXPECT_EQ(starts, 1u) << c.what << ": the task that no machine has";
  }
}

// The same for half a zone and more: then it's rather this controller that is cut off, and nothing is deleted
// but after the time that a cancellation has.
TEST(ShardFailover, AnUnreachableZoneIsNotDeleted) {
  ShardLeader o;
  o.registered({"m1", "m2", "m3", "m4", "m5"});
  for (double t = 0.5; t < kCancelLimit_s - 1; t += 0.5) {
    for (const char* m : {"m1", "m2", "m3", "m4"}) o.heartbeat(m, t, false);
    o.heartbeat("m5", t);
    EXPECT_TRUE(o.shard.take_machines_to_delete(at(t)).empty()) << t;
  }
}

// A command of an earlier owner reaches its machine late, before that has seen the new term: nothing that was
// granted before may start anywhere until the machine has obeyed, and what it then runs is taken over.
TEST(ShardFailover, ACommandOfAnEarlierLeaderArrivesBeforeTheNewTerm) {
  ShardLeader o;
  o.registered({"m1", "m2"});
  o.grant("run-1", 1, Term(4), 0);
  o.heartbeat("m2", 0.2);
  for (double t = 0.5; t < 3; t += 0.5) {
    o.heartbeat("m2", t);
    EXPECT_EQ(o.starts(t), 0u) << t;
  }
  o.runs("m1", "run-1", 0, 7);  // the late command, carried out
  o.heartbeat("m1", 3.1);
  EXPECT_EQ(o.starts(3.2), 0u);
  EXPECT_TRUE(o.shard.is_reconciled());
  EXPECT_EQ(o.shard.running(JobId("run-1")), 1u);
}

// A command or its answer is held up for seconds. Until the worker shows a raised token the task is nowhere
// else, whatever older reports say.
TEST(ShardFailover, AnIndeterminateCommandIsResolvedByAHigherTokenOnly) {
  ShardLeader o;
  o.registered({"m1"});
  o.heartbeat("m1", 0.1);
  o.grant("run-1", 1, kTerm, 0.2);
  o.tick(0.3);
  auto sent = o.shard.take_command_batches(at(0.3));
  ASSERT_EQ(ShardLeader::count(sent, Command::Op::kStart), 1u);
  o.registered({"m1", "m2"});
  o.heartbeat("m2", 0.4);
  o.shard.on_command_result(sent[0], ShardManager::CommandResult::kNoAnswer, std::nullopt, at(2.3));
  // Reports that the worker sent without having seen any of it prove nothing.
  for (double t = 2.5; t < 5; t += 0.5) {
    o.heartbeat("m1", t);
    o.heartbeat("m2", t);
    EXPECT_EQ(o.starts(t), 0u) << t;
  }
  // It has seen the command's own token: the command may have been refused or carried out, and a report with
  // a raised one only tells which.
  o.worker("m1").token = sent[0].token;
  o.heartbeat("m1", 5.1);
  EXPECT_EQ(o.starts(5.2), 0u);
  o.worker("m1").token = sent[0].token.raised();
  o.heartbeat("m1", 5.5);
  EXPECT_EQ(o.starts(5.8), 1u);
}

// The cancellation comes at the moment at which the last task ends. The record stands, whichever was written:
// the owner only has to finish its accounting, and never starts the task again.
TEST(ShardFailover, ACancellationAtTheCompletionOfTheLastTask) {
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
  for (const auto& c : cases) {
    ShardLeader o;
    o.registered({"m1", "m2"});
    o.heartbeat("m1", 0.1);
    o.heartbeat("m2", 0.1);
    o.grant("run-1", 1, kTerm, 0.2);
    o.tick(0.3);
    auto sent = o.shard.take_command_batches(at(0.3));
    ASSERT_EQ(sent.size(), 1u) << c.what;
    auto name = sent[0].machine.value();
    auto& w = o.worker(name);
    w.token = sent[0].token;
    w.tasks = {{sent[0].commands[0].task, sent[0].commands[0].attempt, TaskState::kRunning, {}, false}};
    o.shard.on_command_result(sent[0], ShardManager::CommandResult::kExecuted, o.next_report(name, true),
                              at(0.4));
    if (c.cancelled_first) o.publish("run-1", 1, TerminalState::kCancelled);
    w.tasks[0].state = TaskState::kEnded;
    w.tasks[0].cause = c.cause;
    o.heartbeat(name, 1.1);
    if (!c.cancelled_first) o.publish("run-1", 1.2, TerminalState::kCancelled);
    for (double t = 1.5; t < 5; t += 0.5) EXPECT_EQ(o.starts(t), 0u) << c.what;
    EXPECT_TRUE(o.shard.holds_no_tasks_of(JobId("run-1"))) << c.what;
  }
}

// A leader that is cut from the state store and from its peers goes on with its workers: it starts nothing
// without recent word of cancellations, and stops for good when a worker shows a higher term.
TEST(ShardFailover, ALeaderWithoutNewsOfCancellationsStartsNothing) {
  struct Case {
    double word_age_s;
    std::size_t starts;
  };
  for (auto c : {Case{kCancelLimit_s / 4 - 1, 1}, Case{kCancelLimit_s / 4 + 0.5, 0}}) {
    ShardLeader o;
    o.registered({"m1"});
    o.heartbeat("m1", 20);
    o.grant("run-1", 1, kTerm, 20);
    o.shard.tick(at(20.2), at(20.2 - c.word_age_s), at(0));
    EXPECT_EQ(ShardLeader::count(o.shard.take_command_batches(at(20.2)), Command::Op::kStart), c.starts)
        << c.word_age_s;
  }
  ShardLeader o;
  o.registered({"m1"});
  o.heartbeat("m1", 0.1);
  o.grant("run-1", 1, kTerm, 0.2);
  o.worker("m1").token = FencingToken::first_of(Term(6));
  o.heartbeat("m1", 0.3);
  EXPECT_TRUE(o.shard.superseded());
  EXPECT_EQ(o.starts(0.4), 0u);
  EXPECT_TRUE(o.shard.take_machines_to_delete(at(30)).empty());
}

// A zone is cut off for longer than a lease. Tasks of its machines are off them only once a read, begun after
// the lease was over, shows that no successor has answered them.
TEST(ShardFailover, AnExpiredLeaseCountsOnlyWithALaterRead) {
  struct Case {
    const char* what;
    double read;
    std::size_t starts;
  };
  const double over = 1 + kLease_s * 1.002 + 0.5;
  const Case cases[] = {
      {"no read since", 1, 0},
      {"read before it was over", over - 0.2, 0},
      {"read after it was over", over + 0.1, 1},
  };
  for (const auto& c : cases) {
    ShardLeader o;
    o.registered({"m1"});
    o.grant("run-1", 1, Term(4), 0);
    o.runs("m1", "run-1", 0, 7);
    o.heartbeat("m1", 1);
    o.registered({"m1", "m2"});
    o.heartbeat("m2", 1);
    for (double t = 2; t < over; t += 1) o.heartbeat("m2", t);
    double now = over + 0.3;
    o.heartbeat("m2", now);
    o.shard.tick(at(now), at(now), at(c.read));
    EXPECT_EQ(ShardLeader::count(o.shard.take_command_batches(at(now)), Command::Op::kStart), c.starts)
        << c.what;
  }
}

// Tasks of one job end far apart and the leader changes in between: a new leader gets all that isn't
// recorded, not only what is new.
TEST(ShardFailover, ANewSchedulerLeaderGetsAllUnrecordedProgress) {
  ShardLeader o;
  o.registered({"m1"});
  o.grant("run-1", 2, Term(4), 0);
  o.runs("m1", "run-1", 0, 7);
  o.runs("m1", "run-1", 1, 8);
  o.heartbeat("m1", 0.5);
  auto& w = o.worker("m1");
  w.tasks[0].state = TaskState::kEnded;
  o.heartbeat("m1", 1);
  auto first = o.shard.progress_report(false);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].done.str(), "0");
  EXPECT_TRUE(o.shard.progress_report(false).empty());
  auto again = o.shard.progress_report(true);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].done.str(), "0");
  w.tasks[1].state = TaskState::kEnded;
  o.heartbeat("m1", 60);
  auto last = o.shard.progress_report(true);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].done.str(), "0-1");
}

}  // namespace
}  // namespace beaconsill::shard
