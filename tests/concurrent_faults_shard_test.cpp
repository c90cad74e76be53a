// Concurrent faults at a shard leader: late copies of heartbeats, failovers, one-way partitions of machines,
// and cancellations in between. See docs/concurrent-faults.md.
#include <gtest/gtest.h>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;
using protocol::Command;
using protocol::EndCause;
using protocol::TaskState;
using state_store::TerminalState;
using CommandResult = ShardManager::CommandResult;

constexpr std::uint64_t kTerm = 5;
const JobId kJob("run-1");

// A shard with machines `a` and `b` in zone "east" and `c` in zone "west". The test composes the reports.
struct ShardLeader {
  using Names = std::vector<const char*>;
  // `registered`: none if the registry hasn't been read yet.
  explicit ShardLeader(const std::optional<Names>& registered = Names{"a", "b", "c"})
      : shard(ShardId(0), Term(kTerm), fixture::params(), at(0)) {
    shard.set_catalogue(fixture::catalogue({Zone("east"), Zone("west")}));
    for (const char* name : {"a", "b", "c"}) {
      auto& r = workers[name];
      r = fixture::new_worker(name, Zone(name[0] == 'c' ? "west" : "east"));
      r.sequence = Sequence(100);
      r.token = FencingToken::first_of(Term(kTerm - 1));
    }
    if (registered) registry(*registered);
  }

  void registry(const std::vector<const char*>& names, double t = 0) {
    std::vector<state_store::MachineRecord> all;
    for (const char* name : names) all.push_back(fixture::machine_record(workers.at(name)));
    shard.on_registry(all, at(t));
  }
  static protocol::TaskStatus task(std::uint32_t index, std::uint64_t attempt,
                                   TaskState state = TaskState::kRunning) {
    return {{kJob, index}, Attempt(attempt), state, EndCause::kDone, false};
  }
  // A copy of a report that was sent before any other of this owner's time.
  bool late_copy(const char* name, std::vector<protocol::TaskStatus> tasks, double t,
                 std::uint64_t incarnation = 1) {
    auto r = workers.at(name);
    r.incarnation = Incarnation(incarnation);
    r.sequence = Sequence(7);
    r.tasks = std::move(tasks);
    return shard.on_worker_heartbeat(r, at(t)) == HeartbeatResult::kApplied;
  }
  // The worker has seen this leader's term and sends a heartbeat.
  bool heartbeat(const char* name, double t) {
    auto& r = workers.at(name);
    r.token = std::max(r.token, FencingToken::first_of(shard.term()));
    r.sequence = Sequence(r.sequence.value() + 1);
    bool taken = shard.on_worker_heartbeat(r, at(t)) == HeartbeatResult::kApplied;
    if (taken) shard.heartbeat_response(r.machine, at(t));
    return taken;
  }
  void grant(std::uint32_t tasks, std::uint64_t term, double t, std::optional<Zone> zone = std::nullopt,
             std::optional<Zone> job_zone = std::nullopt) {
    auto spec = fixture::job_spec(kJob, tasks);
    spec.estimate_s = 20;
    spec.zone = job_zone;
    fixture::record_job(job, spec);
    auto g = Generation(job.grants.value.last.value() + 1);
    job.grants.value = {{{g, ShardId(0), Term(term), Ranges::span(0, tasks), zone, false, {}}}, g};
    job.grants.revision = Revision(++revision);
    shard.on_job(kJob, &job, std::nullopt, at(t));
  }
  void cancel(double t) { shard.on_job(kJob, &job, TerminalState::kCancelled, at(t)); }
  void tick(double t) { shard.tick(at(t), at(t), at(t)); }
  std::vector<ShardManager::Batch> batches(double t) { return shard.take_command_batches(at(t)); }
  // Of these batches, the commands of one kind, as "machine task".
  static std::vector<std::string> commands(const std::vector<ShardManager::Batch>& batches, Command::Op op) {
    std::vector<std::string> out;
    for (const auto& b : batches)
      for (const auto& c : b.commands)
        if (c.op == op) out.push_back(b.machine.value() + " " + std::to_string(c.task.index));
    return out;
  }
  // The worker carries a batch out; its answer is returned, not handed over.
  protocol::WorkerHeartbeat carry_out(const ShardManager::Batch& b) {
    auto& w = workers.at(b.machine.value());
    w.token = std::max(w.token, b.token);
    w.sequence = Sequence(w.sequence.value() + 1);
    for (const auto& c : b.commands) {
      auto it = std::find_if(w.tasks.begin(), w.tasks.end(),
                             [&](auto& x) { return x.task == c.task && x.attempt == c.attempt; });
      if (c.op == Command::Op::kStart && it == w.tasks.end())
        w.tasks.push_back({c.task, c.attempt, TaskState::kRunning, EndCause::kDone, false});
      if (c.op == Command::Op::kStop && it != w.tasks.end()) {
        it->state = TaskState::kEnded;
        it->cause = EndCause::kStopped;
      }
      if (c.op == Command::Op::kForget && it != w.tasks.end()) w.tasks.erase(it);
    }
    return w;
  }
  // As above, with the answer.
  void answer_all(double t) {
    for (auto& b : batches(t)) {
      auto answer = carry_out(b);
      shard.on_command_result(b, CommandResult::kExecuted, answer, at(t));
    }
  }
  // All machines are heard under this term.
  void settle_all(double t) {
    for (auto& [name, r] : workers) heartbeat(name.c_str(), t);
    answer_all(t);
    tick(t);
    answer_all(t);
  }

  std::map<std::string, protocol::WorkerHeartbeat> workers;
  ShardManager shard;
  state_store::Job job;
  std::uint64_t revision = 10;
};

// "An old report arrives after newer ones, also from an earlier session or attempt", here at a new owner, who
// can't know that it's old. Found by reading the code: the task of the old report was taken for placed there,
// and the sound one was stopped as a second copy of it.
TEST(StaleHeartbeatAfterFailover, NeverStopsATaskThatRunsElsewhere) {
  struct Case {
    const char* what;
    std::vector<const char*> registered;
    bool old_one_first;
  };
  const Case cases[] = {
      {"of a machine that is gone, before the true one", {"b"}, true},
      {"of a machine that is gone, after the true one", {"b"}, false},
      {"of a machine that is still there, before the true one", {"a", "b"}, true},
      {"of a machine that is still there, after the true one", {"a", "b"}, false},
  };
  for (const auto& c : cases) {
    ShardLeader o(c.registered);
    o.grant(1, kTerm - 1, 0);
    // It ran on a, was started anew on b since.
    o.workers["b"].tasks = {ShardLeader::task(0, 12)};
    auto old_one = [&] { o.late_copy("a", {ShardLeader::task(0, 11)}, 0.5); };
    if (c.old_one_first) old_one();
    o.heartbeat("b", 0.6);
    if (!c.old_one_first) old_one();
    std::vector<std::string> stops, starts;
    for (double t = 0.7; t < 4; t += 0.5) {
      o.tick(t);
      for (const auto& b : o.batches(t)) {
        for (const auto& s : ShardLeader::commands({b}, Command::Op::kStop)) stops.push_back(s);
        for (const auto& s : ShardLeader::commands({b}, Command::Op::kStart)) starts.push_back(s);
      }
      o.heartbeat("b", t);
      if (c.registered.size() > 1) o.heartbeat("a", t);
    }
    EXPECT_EQ(stops, std::vector<std::string>{}) << c.what;
    EXPECT_EQ(starts, std::vector<std::string>{}) << c.what;
    // The old machine's end frees nothing that b holds.
    o.shard.on_machine_terminated(MachineName("a"), at(5));
    o.tick(5.2);
    EXPECT_EQ(ShardLeader::commands(o.batches(5.2), Command::Op::kStart), std::vector<std::string>{})
        << c.what;
  }
}

// Two machines that both list it under this owner's term do run it twice: one is stopped.
TEST(StaleHeartbeatAfterFailover, DuplicateExecutionIsStillReducedToOne) {
  ShardLeader o(ShardLeader::Names{"a", "b"});
  o.grant(1, kTerm - 1, 0);
  o.workers["a"].tasks = {ShardLeader::task(0, 11)};
  o.workers["b"].tasks = {ShardLeader::task(0, 12)};
  o.heartbeat("a", 0.5);
  o.heartbeat("b", 0.6);
  o.tick(0.7);
  EXPECT_EQ(ShardLeader::commands(o.batches(0.7), Command::Op::kStop).size(), 1u);
}

// "Workers can't open connections to any controller, while direct commands still reach them": what is stopped
// there is stopped by command, and nothing new is started on a machine that isn't heard.
TEST(OutboundPartition, StopsAreSentAsCommandsAndNothingStarts) {
  ShardLeader o;
  o.settle_all(0.1);
  o.grant(2, kTerm, 0.2);
  o.tick(0.3);
  o.answer_all(0.3);
  std::string own_heartbeat_timeout;
  for (auto& [name, r] : o.workers)
    if (!r.tasks.empty()) own_heartbeat_timeout = name;
  ASSERT_FALSE(own_heartbeat_timeout.empty());
  // From 1 s on it can't report; the others do.
  for (double t = 1; t < 4.6; t += 0.5) {
    for (auto& [name, r] : o.workers)
      if (name != own_heartbeat_timeout) o.heartbeat(name.c_str(), t);
    o.tick(t);
    o.answer_all(t);
  }
  auto before = o.workers[own_heartbeat_timeout].tasks.size();
  o.cancel(4.6);
  o.tick(4.6);
  auto batches = o.batches(4.6);
  EXPECT_EQ(ShardLeader::commands(batches, Command::Op::kStop).size(), before);
  for (auto& b : batches) {
    auto answer = o.carry_out(b);
    o.shard.on_command_result(b, CommandResult::kExecuted, answer, at(4.6));
  }
  for (const auto& t : o.workers[own_heartbeat_timeout].tasks) EXPECT_EQ(t.state, TaskState::kEnded);
  EXPECT_EQ(o.shard.running(kJob), 0u);
}

TEST(OutboundPartition, GetsNoNewTasks) {
  ShardLeader o(ShardLeader::Names{"a"});
  o.heartbeat("a", 0.1);
  o.tick(4.5);
  o.grant(1, kTerm, 4.5);
  o.tick(4.6);
  EXPECT_EQ(ShardLeader::commands(o.batches(4.6), Command::Op::kStart), std::vector<std::string>{});
  o.heartbeat("a", 4.7);
  o.heartbeat("a", 4.8);
  o.tick(4.9);
  o.answer_all(4.9);  // its task was stopped by a command, and it responds
  o.tick(5.0);
  EXPECT_EQ(ShardLeader::commands(o.batches(5.0), Command::Op::kStart).size(), 1u);
}

// "New machines are up within two seconds and get work at once while writes lag, and the leader ends":
// nothing starts on a machine that a successor wouldn't wait for.
TEST(FastBoot, NothingStartsBeforeTheMachineIsRegistered) {
  ShardLeader o(ShardLeader::Names{});
  o.heartbeat("a", 0.5);  // up before anything was written of it
  o.grant(1, kTerm, 0.6);
  for (double t = 0.7; t < 1.5; t += 0.2) {
    o.heartbeat("a", t);
    o.tick(t);
    EXPECT_EQ(ShardLeader::commands(o.batches(t), Command::Op::kStart), std::vector<std::string>{}) << t;
    EXPECT_FALSE(o.shard.registry_buckets_to_write().empty()) << t;
  }
  o.registry({"a"}, 1.6);
  o.grant(1, kTerm, 1.6);
  o.tick(1.7);
  EXPECT_EQ(ShardLeader::commands(o.batches(1.7), Command::Op::kStart).size(), 1u);
}

// The successor waits for each machine that is registered, and for no other.
TEST(FastBoot, ANewLeaderWaitsForTheRegisteredMachines) {
  ShardLeader o(ShardLeader::Names{"a", "b"});
  o.grant(1, kTerm - 1, 0);
  o.heartbeat("a", 0.5);
  o.heartbeat("c", 0.5);  // not registered
  o.tick(0.6);
  EXPECT_FALSE(o.shard.is_reconciled());
  EXPECT_EQ(ShardLeader::commands(o.batches(0.6), Command::Op::kStart), std::vector<std::string>{});
  o.heartbeat("b", 0.7);
  o.tick(0.8);
  EXPECT_TRUE(o.shard.is_reconciled());
  EXPECT_EQ(ShardLeader::commands(o.batches(0.8), Command::Op::kStart).size(), 1u);
}

// "All controllers are away for longer than `lease_s`": every machine is in its next session; copies of
// reports of the one before may come first, last or in between. Everything is started anew, once.
TEST(AllControllersDown, EveryTaskIsRestartedOnceDespiteStaleHeartbeats) {
  for (int copy_at = 0; copy_at < 4; ++copy_at) {
    ShardLeader o(ShardLeader::Names{"a", "b"});
    o.grant(2, kTerm - 1, 0);
    for (const char* m : {"a", "b"}) o.workers[m].incarnation = Incarnation(2);
    int started = 0;
    for (int step = 0; step < 4; ++step) {
      double t = 0.5 + step;
      if (step == copy_at) {
        o.late_copy("a", {ShardLeader::task(0, 11)}, t);
        o.late_copy("b", {ShardLeader::task(1, 12)}, t);
      }
      // The first calls are made under a session that is over.
      if (step > 0)
        for (const char* m : {"a", "b"}) o.heartbeat(m, t + 0.1);
      o.tick(t + 0.2);
      for (auto& b : o.batches(t + 0.2)) {
        bool known = b.incarnation == o.workers.at(b.machine.value()).incarnation;
        started += known ? static_cast<int>(ShardLeader::commands({b}, Command::Op::kStart).size()) : 0;
        auto answer = known ? o.carry_out(b) : o.workers.at(b.machine.value());
        o.shard.on_command_result(b, known ? CommandResult::kExecuted : CommandResult::kRejected, answer,
                                  at(t + 0.2));
      }
    }
    EXPECT_EQ(started, 2) << copy_at;
    EXPECT_EQ(o.shard.running(kJob), 2u) << copy_at;
  }
}

// A start without an answer is settled by the worker's next session: it's placed anew at once.
TEST(AllControllersDown, ANewIncarnationResolvesAnIndeterminateStart) {
  ShardLeader o(ShardLeader::Names{"a", "b"});
  o.settle_all(0.1);
  o.grant(1, kTerm, 0.2);
  o.tick(0.3);
  auto sent = o.batches(0.3);
  ASSERT_EQ(sent.size(), 1u);
  o.shard.on_command_result(sent[0], CommandResult::kNoAnswer, std::nullopt, at(0.4));
  // Until then it may be there.
  for (const char* m : {"a", "b"}) o.heartbeat(m, 0.5);
  o.tick(0.6);
  EXPECT_EQ(ShardLeader::commands(o.batches(0.6), Command::Op::kStart), std::vector<std::string>{});
  o.workers[sent[0].machine.value()].incarnation = Incarnation(2);
  for (const char* m : {"a", "b"}) o.heartbeat(m, 0.7);
  o.tick(0.8);
  EXPECT_EQ(ShardLeader::commands(o.batches(0.8), Command::Op::kStart).size(), 1u);
}

// "Jobs are cancelled in the seconds in which one controller's work changes hands".
TEST(CancellationDuringFailover, InAnyOrderOfEvents) {
  enum class Event { kGrant, kCancel, kReport, kRegistry };
  const std::map<Event, const char*> names{{Event::kGrant, "grant"},
                                           {Event::kCancel, "cancel"},
                                           {Event::kReport, "report"},
                                           {Event::kRegistry, "registry"}};
  std::vector<Event> order{Event::kGrant, Event::kCancel, Event::kReport, Event::kRegistry};
  do {
    if (std::find(order.begin(), order.end(), Event::kCancel) <
        std::find(order.begin(), order.end(), Event::kGrant))
      continue;  // a view that has read the end has read the grant
    std::string what;
    ShardLeader o(std::nullopt);
    o.workers["a"].tasks = {ShardLeader::task(0, 11)};
    double t = 0.1;
    std::vector<std::string> starts;
    bool cancelled = false;
    for (auto e : order) {
      what += std::string(names.at(e)) + " ";
      if (e == Event::kGrant) o.grant(2, kTerm - 1, t);
      if (e == Event::kCancel) o.cancel(t);
      if (e == Event::kReport) o.heartbeat("a", t);
      if (e == Event::kRegistry) o.registry({"a"}, t);
      cancelled |= e == Event::kCancel;
      o.tick(t + 0.05);
      for (auto& b : o.batches(t + 0.05)) {
        if (cancelled)
          for (auto& s : ShardLeader::commands({b}, Command::Op::kStart)) starts.push_back(s);
        auto answer = o.carry_out(b);
        o.shard.on_command_result(b, CommandResult::kExecuted, answer, at(t + 0.05));
      }
      t += 0.6;
    }
    for (int i = 0; i < 8; ++i, t += 0.5) {
      o.heartbeat("a", t);
      o.tick(t + 0.1);
      for (auto& s : ShardLeader::commands(o.batches(t + 0.1), Command::Op::kStart)) starts.push_back(s);
      o.shard.take_command_batches(at(t + 0.2));
    }
    EXPECT_EQ(starts, std::vector<std::string>{}) << what;
    for (const auto& x : o.workers["a"].tasks) EXPECT_EQ(x.state, TaskState::kEnded) << what;
    EXPECT_TRUE(o.shard.holds_no_tasks_of(kJob)) << what;
  } while (std::next_permutation(order.begin(), order.end()));
}

// A cancellation that falls between placing a task and sending its command: it never leaves the controller.
TEST(CancellationDuringFailover, APlacedTaskThatWasNotSentIsNotStarted) {
  ShardLeader o;
  o.settle_all(0.1);
  o.grant(2, kTerm, 0.2);
  o.tick(0.3);
  o.cancel(0.3);
  EXPECT_EQ(ShardLeader::commands(o.batches(0.3), Command::Op::kStart), std::vector<std::string>{});
  o.tick(0.5);
  EXPECT_TRUE(o.shard.holds_no_tasks_of(kJob));
}

// "Controllers hand over and back": commands of the owner before this one, held up on their way, are refused
// by a worker that has seen this owner's token, and what they started before is listed.
TEST(RepeatedFailover, ALateCommandOfThePreviousLeaderIsObservedOrRejected) {
  for (bool before : {true, false}) {
    ShardLeader o(ShardLeader::Names{"a"});
    o.grant(1, kTerm - 1, 0);
    auto late = [&] {
      auto& w = o.workers["a"];
      auto token = FencingToken::first_of(Term(kTerm - 1)).raised();
      if (token < w.token) return false;
      w.token = token;
      w.tasks.push_back(ShardLeader::task(0, 11));
      return true;
    };
    if (before) {
      EXPECT_TRUE(late());
    }
    o.heartbeat("a", 0.5);
    if (!before) {
      EXPECT_FALSE(late());
    }
    o.tick(0.6);
    EXPECT_EQ(ShardLeader::commands(o.batches(0.6), Command::Op::kStart).size(), before ? 0u : 1u);
  }
}

}  // namespace
}  // namespace beaconsill::shard
