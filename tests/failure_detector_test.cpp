// The failure detector in a running shard: who is probed, and how soon a hung machine is deleted.
#include <gtest/gtest.h>

#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

using protocol::EndCause;
using protocol::TaskState;

constexpr double kHeartbeatPeriod = 3, kLease = 17.5, kGrace = 12, kStep = 0.1, kTimeout = 2;
// A heartbeat is late after 1.6 periods; a late machine has 3.9 s to answer, and the probes need some steps.
constexpr double kHungDeletedBy = 1.6 * kHeartbeatPeriod + 3.9 + 0.6;

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

enum class Fault {
  kNone,
  kHung,             // neither heartbeats nor answers
  kHeartbeatsLost,   // no heartbeat arrives, commands get through
  kReceivesNothing,  // sends heartbeats, but neither answers nor commands reach it
  kCommandsLost      // late heartbeats arrive by way of other controllers; commands get no answer
};

struct Worker {
  protocol::WorkerHeartbeat heartbeat;
  double next = 0;       // heartbeat
  double confirmed = 0;  // last time
  double lease_from = 0;
  Fault fault = Fault::kNone;
};

// A shard leader with some machines of a zone, in steps of simulated time.
struct Fleet {
  explicit Fleet(int machines) : shard(ShardId(0), Term(5), params(), at(0)) {
    auto catalogue = std::make_shared<protocol::Catalogue>();
    (*catalogue)[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    shard.set_catalogue(catalogue);
    std::vector<state_store::MachineRecord> records;
    for (int i = 0; i < machines; ++i) {
      Worker w;
      w.heartbeat.machine = MachineName("m" + std::to_string(i));
      w.heartbeat.address = "127.0.0.1:1";
      w.heartbeat.type = MachineType("t4");
      w.heartbeat.zone = Zone("a");
      w.heartbeat.incarnation = Incarnation(1);
      w.heartbeat.token = FencingToken::first_of(Term(5));
      w.next = kHeartbeatPeriod * i / machines;
      records.push_back(
          {w.heartbeat.machine, w.heartbeat.type, w.heartbeat.zone, false, w.heartbeat.address, false});
      workers[w.heartbeat.machine] = w;
    }
    shard.on_registry(records, at(0));
  }

  static ShardParams params() {
    ShardParams p;
    p.heartbeat_period = from_seconds(kHeartbeatPeriod);
    p.lease = from_seconds(kLease);
    p.cancel_limit = from_seconds(47.5);
    p.grace = from_seconds(kGrace);
    return p;
  }

  protocol::WorkerHeartbeat next_heartbeat(Worker& w) {
    w.heartbeat.sequence = Sequence(w.heartbeat.sequence.value() + 1);
    return w.heartbeat;
  }

  void step() {
    now += kStep;
    for (auto& [name, w] : workers) {
      if (now - w.lease_from > kLease && w.fault != Fault::kHung) {
        w.heartbeat.incarnation = Incarnation(w.heartbeat.incarnation.value() + 1);
        w.heartbeat.tasks.clear();
        w.lease_from = now;
      }
      if (now < w.next || w.fault == Fault::kHung || w.fault == Fault::kHeartbeatsLost) continue;
      shard.on_worker_heartbeat(next_heartbeat(w), at(now));
      w.confirmed = now;
      if (!shard.find_machine(name)) continue;
      shard.heartbeat_response(name, at(now));
      if (w.fault != Fault::kReceivesNothing) w.lease_from = now;
      w.next = now + (w.fault == Fault::kReceivesNothing ? 5
                      : w.fault == Fault::kCommandsLost  ? 10
                                                         : kHeartbeatPeriod);
    }
    shard.tick(at(now), at(now), at(now));
    for (auto& b : shard.take_command_batches(at(now))) {
      auto& w = workers.at(b.machine);
      if (b.commands.empty()) ++probes[b.machine];
      if (w.fault != Fault::kNone && w.fault != Fault::kHeartbeatsLost) {
        timeouts.emplace(now + kTimeout, b);
        continue;
      }
      w.heartbeat.token = std::max(w.heartbeat.token, b.token);
      for (const auto& c : b.commands)
        if (c.op == protocol::Command::Op::kStart)
          w.heartbeat.tasks.push_back({c.task, c.attempt, TaskState::kRunning, EndCause::kDone, false});
      shard.on_command_result(b, ShardManager::CommandResult::kExecuted, next_heartbeat(w), at(now));
    }
    while (!timeouts.empty() && timeouts.begin()->first <= now) {
      auto b = timeouts.extract(timeouts.begin()).mapped();
      shard.on_command_result(b, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(now));
    }
    for (auto& name : shard.take_machines_to_delete(at(now))) {
      deleted[name] = now - workers.at(name).confirmed;
      shard.on_machine_terminated(name, at(now));
    }
  }
  // So many tasks that every machine gets some.
  void grant_tasks() {
    protocol::JobSpec spec;
    spec.id = JobId("run-1");
    spec.tasks = static_cast<std::uint32_t>(4 * workers.size());
    spec.each = {1, 0, 1};
    spec.image = ImageName("image");
    job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    job.created = job.grants.revision = Revision(1);
    job.grants.value.last = Generation(1);
    job.grants.value.chunks = {
        {Generation(1), ShardId(0), Term(5), Ranges::span(0, spec.tasks), std::nullopt, false, {}}};
    shard.on_job(spec.id, &job, std::nullopt, at(now));
  }
  void run_until(double t) {
    while (now < t) step();
  }
  void fault(int first, int last, Fault t) {
    for (int i = first; i < last; ++i) workers.at(MachineName("m" + std::to_string(i))).fault = t;
  }

  ShardManager shard;
  state_store::Job job;
  double now = 0;
  std::map<MachineName, Worker> workers;
  std::map<MachineName, int> probes;
  std::multimap<double, ShardManager::Batch> timeouts;
  std::map<MachineName, double> deleted;  // how long after the last heartbeat
};

// When the first machine is deleted after a fault that begins with the heartbeat at 30 s. Healthy ones never
// are.
TEST(FailureDetection, AHungMachineIsDeletedBeforeTheGracePeriodEnds) {
  struct Case {
    const char* what;
    int machines, faulty;
    Fault fault;
    double lasts;
    std::optional<double> from, until;  // since its last heartbeat; none: nothing is deleted
    bool work = false;                  // it begins as work is sent
  };
  const Case cases[] = {
      {"one hangs", 12, 1, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9, kHungDeletedBy},
      {"one hangs as work is sent", 12, 1, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9, kHungDeletedBy,
       true},
      {"some hang at once", 40, 9, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9, kHungDeletedBy},
      {"it goes on after a while", 12, 1, Fault::kHung, 5, {}, {}},
      {"so many that it's rather the path to them", 12, 4, Fault::kHung, 60, kGrace, kGrace + 1},
      {"all of them", 12, 12, Fault::kHung, 60, {}, {}},
      {"it's the only one of its zone", 1, 1, Fault::kHung, 60, kGrace, kGrace + 1},
      {"heartbeats lost for less than a lease", 12, 1, Fault::kHeartbeatsLost, 14, {}, {}},
      {"heartbeats lost for longer", 12, 1, Fault::kHeartbeatsLost, 60, kLease, kLease + 1},
      {"receives nothing", 12, 1, Fault::kReceivesNothing, 60, 0, 5},
      {"no command gets through, one hangs", 12, 12, Fault::kCommandsLost, 30, kGrace, kGrace + 1},
  };
  for (const auto& c : cases) {
    Fleet fleet(c.machines);
    fleet.run_until(30);
    fleet.fault(0, c.faulty, c.fault);
    if (c.work) fleet.grant_tasks();
    if (c.fault == Fault::kCommandsLost) fleet.fault(0, 1, Fault::kHung);
    fleet.run_until(30 + c.lasts);
    fleet.fault(0, c.faulty, Fault::kNone);
    fleet.run_until(100);
    for (const auto& [name, seconds] : fleet.deleted) {
      int index = std::stoi(name.value().substr(1));
      EXPECT_LT(index, c.fault == Fault::kCommandsLost ? 1 : c.faulty) << c.what;
    }
    EXPECT_EQ(!fleet.deleted.empty(), c.from.has_value()) << c.what;
    if (fleet.deleted.empty() || !c.from) continue;
    for (const auto& [name, seconds] : fleet.deleted) {
      EXPECT_GE(seconds, *c.from) << c.what;
      EXPECT_LE(seconds, *c.until) << c.what;
    }
  }
}

// A machine whose heartbeats are in time is not probed; a late one is, and one healthy machine of its zone as
// well, which shows that the way there is open.
TEST(FailureDetection, OnlyLateMachinesAndOneWitnessAreProbed) {
  Fleet fleet(12);
  fleet.run_until(30);
  EXPECT_TRUE(fleet.probes.size() <= 12 && fleet.probes[MachineName("m0")] <= 1);  // once, at the failover
  auto before = fleet.probes;
  fleet.fault(0, 1, Fault::kHung);
  fleet.run_until(35);
  EXPECT_GE(fleet.probes[MachineName("m0")] - before[MachineName("m0")], 1);
  int others = 0;
  for (const auto& [name, n] : fleet.probes)
    if (name != MachineName("m0")) others += n - before[name];
  EXPECT_GE(others, 1);
  EXPECT_LE(others, 5);
  EXPECT_FALSE(fleet.shard.machines().at(MachineName("m0")).usable(at(35)));
}

// What had no answer while this controller was paused proves nothing: the machine has its time to answer
// anew.
TEST(FailureDetection, AProcessPauseIsNotHeldAgainstAMachine) {
  Fleet fleet(12);
  fleet.run_until(30);
  fleet.fault(0, 1, Fault::kHung);
  fleet.run_until(36);
  fleet.now = 44;  // the controller's, not the workers': they have waited meanwhile
  fleet.shard.on_process_pause(at(fleet.now));
  fleet.fault(0, 1, Fault::kNone);
  for (auto& [name, w] : fleet.workers) {
    w.next = w.lease_from = fleet.now;
    w.confirmed = fleet.now;
  }
  fleet.workers.at(MachineName("m0")).next = fleet.now + 3;
  fleet.run_until(80);
  EXPECT_TRUE(fleet.deleted.empty());
}

// A machine may go on between the request for its deletion and the answer to that, which can take seconds, or
// fail: what is cancelled there is stopped by the answer to its heartbeat, since it gets no batches.
TEST(FailureDetection, AMachineThatGoesOnWhileItIsBeingDeletedIsSentStops) {
  Fleet fleet(12);
  fleet.run_until(30);
  fleet.grant_tasks();
  fleet.run_until(31);
  auto& w = fleet.workers.at(MachineName("m0"));
  ASSERT_FALSE(w.heartbeat.tasks.empty());
  fleet.run_until(35);
  fleet.fault(0, 1, Fault::kHung);
  double t = 35;
  std::vector<MachineName> marked;
  for (; marked.empty() && t < 60; t += kStep) {
    for (auto& [name, x] : fleet.workers)
      if (name != MachineName("m0")) fleet.shard.on_worker_heartbeat(fleet.next_heartbeat(x), at(t));
    marked = fleet.shard.take_machines_to_delete(at(t));
  }
  ASSERT_EQ(marked, std::vector{MachineName("m0")});
  fleet.shard.on_job(JobId("run-1"), &fleet.job, state_store::TerminalState::kCancelled, at(t));
  for (const auto& b : fleet.shard.take_command_batches(at(t))) EXPECT_NE(b.machine, MachineName("m0"));
  // The answer to a probe comes first, so that its heartbeat is none that ends a long pause.
  ShardManager::Batch probe{MachineName("m0"), w.heartbeat.address, Incarnation(1), w.heartbeat.token, {}};
  fleet.shard.on_command_result(probe, ShardManager::CommandResult::kExecuted, fleet.next_heartbeat(w),
                                at(t));
  fleet.shard.on_worker_heartbeat(fleet.next_heartbeat(w), at(t + 0.1));
  auto answer = fleet.shard.heartbeat_response(MachineName("m0"), at(t + 0.1));
  EXPECT_EQ(answer.commands.size(), w.heartbeat.tasks.size());
  for (const auto& c : answer.commands) EXPECT_EQ(c.op, protocol::Command::Op::kStop);
}

// A machine recorded as quarantined keeps what runs there through a failover as well: before its first
// heartbeat to the new leader it is not known to be empty.
TEST(FailureDetection, AQuarantinedMachineIsNotTakenForEmptyBeforeItsFirstHeartbeat) {
  for (bool runs : {true, false}) {
    ShardManager shard(ShardId(0), Term(5), Fleet::params(), at(0));
    shard.on_registry({{MachineName("m1"), MachineType("t4"), Zone("a"), false, "127.0.0.1:1", true}}, at(0));
    EXPECT_TRUE(shard.take_machines_to_delete(at(0.1)).empty());
    protocol::WorkerHeartbeat r;
    r.machine = MachineName("m1");
    r.type = MachineType("t4");
    r.zone = Zone("a");
    r.incarnation = Incarnation(1);
    r.sequence = Sequence(1);
    r.token = FencingToken::first_of(Term(5));
    if (runs)
      r.tasks.push_back({{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
    shard.on_worker_heartbeat(r, at(0.2));
    EXPECT_EQ(shard.take_machines_to_delete(at(0.3)).empty(), runs);
  }
}

// What is being deleted gets no commands: no more machines are so marked than one request holds, however many
// requests the cloud leaves unanswered for a while.
TEST(FailureDetection, NoMoreAreMarkedForDeletionWhileARequestIsUnanswered) {
  Fleet fleet(250);
  fleet.run_until(kHeartbeatPeriod + 1);
  for (const auto& [name, w] : fleet.workers) fleet.shard.release(name);
  auto first = fleet.shard.take_machines_to_delete(at(5));
  EXPECT_EQ(first.size(), protocol::kMaxDelete);
  EXPECT_TRUE(fleet.shard.take_machines_to_delete(at(5.1)).empty());
  for (std::size_t i = 0; i < 30; ++i) fleet.shard.on_machine_terminated(first[i], at(5.2));
  fleet.shard.on_delete_failed(first[30], at(5.2));
  EXPECT_EQ(fleet.shard.take_machines_to_delete(at(5.3)).size(), 31u);
}

}  // namespace
}  // namespace beaconsill::shard
