// Meetings of troubles as an owner of a shard sees them: late copies, lost answers, earlier owners, machines
// that don't hear. docs/meetings-controllers.md lists the meetings.
#include <gtest/gtest.h>

#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

using protocol::Command;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;

constexpr Term kTerm(5);
constexpr double kGrace_s = 5;
constexpr double kLease_s = 10;
constexpr double kCancel_s = 40;

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

struct Owner {
  Owner() : shard(ShardId(0), kTerm, params(), at(0)) {
    auto types = std::make_shared<protocol::Catalogue>();
    (*types)[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    shard.set_catalogue(types);
  }
  static ShardParams params() {
    ShardParams p;
    p.heartbeat_period = std::chrono::seconds(1);
    p.lease = from_seconds(kLease_s);
    p.cancel_limit = from_seconds(kCancel_s);
    p.grace = from_seconds(kGrace_s);
    return p;
  }
  protocol::WorkerHeartbeat& worker(const std::string& name) {
    auto& w = workers[name];
    if (!w.machine.value().empty()) return w;
    w.machine = MachineName(name);
    w.address = "127.0.0.1:1";
    w.type = MachineType("t4");
    w.zone = Zone("a");
    w.incarnation = Incarnation(1);
    return w;
  }
  void registered(std::initializer_list<const char*> names) {
    std::vector<state_store::MachineRecord> records;
    for (auto* n : names) {
      auto& w = worker(n);
      records.push_back({w.machine, w.type, w.zone, w.spot, w.address});
    }
    shard.on_registry(records, at(0));
  }
  void runs(const std::string& name, const char* job, std::uint32_t index, std::uint64_t attempt) {
    worker(name).tasks.push_back(
        {TaskId{JobId(job), index}, Attempt(attempt), TaskState::kRunning, EndCause::kDone, false});
  }
  // A report of the worker as it is now; `obeys`: it has seen this owner's term.
  protocol::WorkerHeartbeat next_report(const std::string& name, bool obeys) {
    auto& w = worker(name);
    if (obeys) w.token = std::max(w.token, Token::first_of(kTerm));
    w.sequence = Sequence(w.sequence.value() + 1);
    return w;
  }
  void take(const protocol::WorkerHeartbeat& r, double t) {
    if (shard.on_worker_heartbeat(r, at(t))) shard.answer(r.machine, at(t));
  }
  void heartbeat(const std::string& name, double t, bool obeys = true) { take(next_report(name, obeys), t); }
  void grant(const char* id, std::uint32_t tasks, Term term, double t) {
    protocol::JobSpec s;
    s.id = JobId(id);
    s.team = Team("blue");
    s.tasks = tasks;
    s.each = {1, 0, 1};
    s.image = ImageName("img");
    s.image_gb = 1;
    auto& j = jobs[id];
    j.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    j.grants.value = {{{Generation(1), ShardId(0), term, Ranges::span(0, tasks), {}, false, {}}},
                      Generation(1)};
    j.grants.version = Revision(2);
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

// A report is held back until a new owner has begun, or copies of old ones reach every controller then: a
// task that has since moved from m1 to m2 must neither be stopped on m2 nor started once more, in whatever
// order the copy and the true reports come.
TEST(Meetings, ALateCopyDoesNotStopTheTaskThatRuns) {
  struct Case {
    const char* what;
    bool copy_first;
    bool m1_registered;          // false: it was deleted, and its copy is all that is left of it
    bool m2_reported_before;     // under this owner's term, before its task is known here
    std::uint64_t copy_session;  // of m1, whose true session is 2
  };
  const Case cases[] = {
      {"copy of an earlier session first", true, true, false, 1},
      {"copy of the same session first", true, true, false, 2},
      {"copy of a machine that is gone first", true, false, false, 1},
      {"copy of a machine that is gone last", false, false, false, 1},
      {"copy last", false, true, true, 1},
      {"copy first, the other obeys at once", true, true, true, 1},
  };
  for (const auto& c : cases) {
    Owner o;
    o.registered({"m2"});
    if (c.m1_registered) o.registered({"m1", "m2"});
    o.grant("run-1", 1, Term(4), 0);
    auto copy = o.worker("m1");
    copy.incarnation = Incarnation(c.copy_session);
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
        stops += Owner::count({b}, Command::Op::kStop);
        starts += Owner::count({b}, Command::Op::kStart);
      }
    }
    EXPECT_EQ(stops, 0u) << c.what;
    EXPECT_EQ(starts, 0u) << c.what;
    EXPECT_EQ(o.shard.running(JobId("run-1")), c.m1_registered ? 1u : 2u) << c.what;
  }
}

// When two machines that obey this owner both list the task, one of the two is stopped all the same.
TEST(Meetings, ATaskOnTwoMachinesThatObeyIsStoppedOnOne) {
  Owner o;
  o.registered({"m1", "m2"});
  o.grant("run-1", 1, Term(4), 0);
  o.runs("m1", "run-1", 0, 7);
  o.runs("m2", "run-1", 0, 8);
  o.heartbeat("m1", 1);
  o.heartbeat("m2", 1);
  o.tick(2);
  EXPECT_EQ(Owner::count(o.shard.take_command_batches(at(2)), Command::Op::kStop), 1u);
}

// An owner ends while a machine hears nothing of its successor but reports all the same: the rebuilding, and
// with it every task that was lost in the change, must not wait for as long as that lasts.
TEST(Meetings, AMachineThatNeverHearsTheNewOwnerDoesNotHoldUpItsRebuilding) {
  struct Case {
    const char* what;
    double hears_from;
    bool deleted;
  };
  const Case cases[] = {
      {"it hears within the grace", 4, false},
      {"it never hears", 1e9, true},
  };
  for (const auto& c : cases) {
    Owner o;
    o.registered({"m1", "m2", "m3"});
    o.grant("run-1", 2, Term(4), 0);
    o.runs("m1", "run-1", 0, 7);
    std::set<MachineName> deleted;
    double is_reconciled = 0;
    std::size_t starts = 0;
    for (double t = 0.5; t < 20; t += 0.5) {
      o.heartbeat("m1", t);
      o.heartbeat("m2", t);
      if (deleted.empty()) o.heartbeat("m3", t, t >= c.hears_from);
      o.tick(t);
      starts += Owner::count(o.shard.take_command_batches(at(t)), Command::Op::kStart);
      for (const auto& m : o.shard.take_machines_to_delete(at(t))) {
        deleted.insert(m);
        o.shard.on_deleted(m, at(t));
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
TEST(Meetings, AZoneThatHearsNothingIsNotDeleted) {
  Owner o;
  o.registered({"m1", "m2", "m3", "m4", "m5"});
  for (double t = 0.5; t < kCancel_s - 1; t += 0.5) {
    for (const char* m : {"m1", "m2", "m3", "m4"}) o.heartbeat(m, t, false);
    o.heartbeat("m5", t);
    EXPECT_TRUE(o.shard.take_machines_to_delete(at(t)).empty()) << t;
  }
}

// A command of an earlier owner reaches its machine late, before that has seen the new term: nothing that was
// granted before may start anywhere until the machine has obeyed, and what it then runs is taken over.
TEST(Meetings, ACommandOfAnEarlierOwnerArrivesBeforeTheNewTerm) {
  Owner o;
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
TEST(Meetings, AHeldUpCommandIsSettledByTheRaisedTokenOnly) {
  Owner o;
  o.registered({"m1"});
  o.heartbeat("m1", 0.1);
  o.grant("run-1", 1, kTerm, 0.2);
  o.tick(0.3);
  auto sent = o.shard.take_command_batches(at(0.3));
  ASSERT_EQ(Owner::count(sent, Command::Op::kStart), 1u);
  o.registered({"m1", "m2"});
  o.heartbeat("m2", 0.4);
  o.shard.on_commands(sent[0], ShardManager::CommandResult::kNoAnswer, std::nullopt, at(2.3));
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
// the owner only has to get its books empty, and never starts the task again.
TEST(Meetings, ACancellationMeetsTheEndOfTheLastTask) {
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
    Owner o;
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
    o.shard.on_commands(sent[0], ShardManager::CommandResult::kExecuted, o.next_report(name, true), at(0.4));
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
TEST(Meetings, AnOwnerWithoutWordStartsNothing) {
  struct Case {
    double word_age_s;
    std::size_t starts;
  };
  for (auto c : {Case{kCancel_s / 4 - 1, 1}, Case{kCancel_s / 4 + 0.5, 0}}) {
    Owner o;
    o.registered({"m1"});
    o.heartbeat("m1", 20);
    o.grant("run-1", 1, kTerm, 20);
    o.shard.tick(at(20.2), at(20.2 - c.word_age_s), at(0));
    EXPECT_EQ(Owner::count(o.shard.take_command_batches(at(20.2)), Command::Op::kStart), c.starts)
        << c.word_age_s;
  }
  Owner o;
  o.registered({"m1"});
  o.heartbeat("m1", 0.1);
  o.grant("run-1", 1, kTerm, 0.2);
  o.worker("m1").token = Token::first_of(Term(6));
  o.heartbeat("m1", 0.3);
  EXPECT_TRUE(o.shard.superseded());
  EXPECT_EQ(o.starts(0.4), 0u);
  EXPECT_TRUE(o.shard.take_machines_to_delete(at(30)).empty());
}

// A zone is cut off for longer than a lease. Tasks of its machines are off them only once a read, begun after
// the lease was over, shows that no successor has answered them.
TEST(Meetings, ALeaseThatRanOutCountsOnlyWithALaterRead) {
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
    Owner o;
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
    EXPECT_EQ(Owner::count(o.shard.take_command_batches(at(now)), Command::Op::kStart), c.starts) << c.what;
  }
}

// Tasks of one job end far apart and the leader changes in between: a new leader is told all that isn't
// recorded, not only what is new.
TEST(Meetings, ANewLeaderIsToldWhatTheEarlierOneWas) {
  Owner o;
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
