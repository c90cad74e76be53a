// Tests the failure detector in a simulated shard over time: which machines are probed, and how soon a hung
// machine is deleted.
#include <gtest/gtest.h>

#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

using protocol::EndCause;
using protocol::TaskState;

// Times in seconds.
constexpr double kHeartbeatPeriod = 3, kLease = 17.5, kGrace = 12, kStep = 0.1, kTimeout = 2;
// A heartbeat is late after 1.6 periods, a late machine has 3.9 s to answer, and the probes need some steps.
constexpr double kHungDeletedBy = 1.6 * kHeartbeatPeriod + 3.9 + 0.6;

Instant at(double time_s) {
  return Instant{} + from_seconds(1000 + time_s);
}

enum class Fault {
  kNone,
  kHung,             // sends neither heartbeats nor answers
  kHeartbeatsLost,   // heartbeats don't arrive, commands reach the worker
  kReceivesNothing,  // heartbeats arrive, but neither answers nor commands reach the worker
  kCommandsLost      // late heartbeats arrive through other controllers, commands get no answer
};

struct Worker {
  protocol::WorkerHeartbeat heartbeat;
  double next_heartbeat_at = 0;
  double last_contact_at = 0;
  double lease_from = 0;
  Fault fault = Fault::kNone;
};

// A shard leader and the machines of one zone, run in steps of simulated time.
struct SimulatedShard {
  explicit SimulatedShard(int machines) : shard(ShardId(0), Term(5), params(), at(0)) {
    auto catalogue = std::make_shared<protocol::Catalogue>();
    (*catalogue)[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
    shard.set_catalogue(catalogue);
    std::vector<state_store::MachineRecord> records;
    for (int i = 0; i < machines; ++i) {
      Worker worker;
      worker.heartbeat.machine = MachineName("m" + std::to_string(i));
      worker.heartbeat.address = "127.0.0.1:1";
      worker.heartbeat.type = MachineType("t4");
      worker.heartbeat.zone = Zone("a");
      worker.heartbeat.incarnation = Incarnation(1);
      worker.heartbeat.token = FencingToken::first_of(Term(5));
      worker.next_heartbeat_at = kHeartbeatPeriod * i / machines;
      records.push_back({worker.heartbeat.machine, worker.heartbeat.type, worker.heartbeat.zone, false,
                         worker.heartbeat.address, false});
      workers[worker.heartbeat.machine] = worker;
    }
    shard.on_registry_read(records, at(0));
  }

  static ShardParams params() {
    ShardParams out;
    out.heartbeat_period = from_seconds(kHeartbeatPeriod);
    out.lease = from_seconds(kLease);
    out.cancel_limit = from_seconds(47.5);
    out.grace = from_seconds(kGrace);
    return out;
  }

  protocol::WorkerHeartbeat next_heartbeat(Worker& worker) {
    worker.heartbeat.sequence = Sequence(worker.heartbeat.sequence.value() + 1);
    return worker.heartbeat;
  }

  void step() {
    now += kStep;
    for (auto& [name, worker] : workers) {
      expire_lease(worker);
      send_heartbeat_if_due(worker);
    }
    shard.tick(at(now), at(now), at(now));
    for (auto& batch : shard.take_command_batches(at(now))) deliver(batch);
    time_out_unanswered();
    delete_machines();
  }
  void expire_lease(Worker& worker) const {
    if (now - worker.lease_from <= kLease || worker.fault == Fault::kHung) return;
    worker.heartbeat.incarnation = Incarnation(worker.heartbeat.incarnation.value() + 1);
    worker.heartbeat.tasks.clear();
    worker.lease_from = now;
  }
  void send_heartbeat_if_due(Worker& worker) {
    if (now < worker.next_heartbeat_at || worker.fault == Fault::kHung ||
        worker.fault == Fault::kHeartbeatsLost)
      return;
    shard.on_worker_heartbeat(next_heartbeat(worker), at(now));
    worker.last_contact_at = now;
    if (!shard.find_machine(worker.heartbeat.machine)) return;
    shard.heartbeat_response(worker.heartbeat.machine, at(now));
    if (worker.fault != Fault::kReceivesNothing) worker.lease_from = now;
    worker.next_heartbeat_at = now + heartbeat_period(worker.fault);
  }
  static double heartbeat_period(Fault fault) {
    if (fault == Fault::kReceivesNothing) return 5;
    if (fault == Fault::kCommandsLost) return 10;
    return kHeartbeatPeriod;
  }
  void deliver(const ShardManager::Batch& batch) {
    auto& worker = workers.at(batch.machine);
    if (batch.commands.empty()) ++probes[batch.machine];
    if (worker.fault != Fault::kNone && worker.fault != Fault::kHeartbeatsLost) {
      timeouts.emplace(now + kTimeout, batch);
      return;
    }
    worker.heartbeat.token = std::max(worker.heartbeat.token, batch.token);
    for (const auto& command : batch.commands)
      if (command.op == protocol::Command::Op::kStart)
        worker.heartbeat.tasks.push_back(
            {command.task, command.attempt, TaskState::kRunning, EndCause::kDone, false});
    shard.on_command_result(batch, ShardManager::CommandResult::kExecuted, next_heartbeat(worker), at(now));
  }
  void time_out_unanswered() {
    while (!timeouts.empty() && timeouts.begin()->first <= now) {
      auto batch = timeouts.extract(timeouts.begin()).mapped();
      shard.on_command_result(batch, ShardManager::CommandResult::kNoAnswer, std::nullopt, at(now));
    }
  }
  void delete_machines() {
    for (auto& name : shard.take_machines_to_delete(at(now))) {
      deleted[name] = now - workers.at(name).last_contact_at;
      shard.on_machine_terminated(name, at(now));
    }
  }
  // Grants four tasks per machine, so that every machine gets some.
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
  void run_until(double time_s) {
    while (now < time_s) step();
  }
  // Sets the fault of the machines from m`first` up to, but not including, m`last`.
  void set_fault(int first, int last, Fault kind) {
    for (int i = first; i < last; ++i) workers.at(MachineName("m" + std::to_string(i))).fault = kind;
  }

  ShardManager shard;
  state_store::Job job;
  double now = 0;
  std::map<MachineName, Worker> workers;
  std::map<MachineName, int> probes;
  std::multimap<double, ShardManager::Batch> timeouts;
  std::map<MachineName, double> deleted;  // seconds from the last heartbeat to the deletion
};

// Each fault begins at 30 s. Faulty machines are deleted within the given bounds, healthy machines never.
TEST(FailureDetection, FaultyMachinesAreDeletedWithinTheExpectedTimeAndHealthyMachinesAreKept) {
  struct Case {
    const char* what;
    int machines, faulty;
    Fault fault;
    double duration_s;
    // Bounds of the deletion in seconds since the last heartbeat; std::nullopt if no machine is deleted.
    std::optional<double> earliest, latest;
    bool grant_at_start = false;  // tasks are granted, and so sent, when the fault begins
  };
  const Case cases[] = {
      {"one machine hangs", 12, 1, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9, kHungDeletedBy},
      {"one machine hangs when tasks are sent", 12, 1, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9,
       kHungDeletedBy, true},
      {"several machines hang at the same time", 40, 9, Fault::kHung, 60, 1.6 * kHeartbeatPeriod + 3.9,
       kHungDeletedBy},
      {"the machine recovers after 5 s", 12, 1, Fault::kHung, 5, {}, {}},
      {"so many machines that the network is the likelier cause", 12, 4, Fault::kHung, 60, kGrace,
       kGrace + 1},
      {"all machines of the zone", 12, 12, Fault::kHung, 60, {}, {}},
      {"the only machine of its zone", 1, 1, Fault::kHung, 60, kGrace, kGrace + 1},
      {"heartbeats lost for less than a lease", 12, 1, Fault::kHeartbeatsLost, 14, {}, {}},
      {"heartbeats lost for longer than a lease", 12, 1, Fault::kHeartbeatsLost, 60, kLease, kLease + 1},
      {"the machine receives nothing", 12, 1, Fault::kReceivesNothing, 60, 0, 5},
      {"commands reach no machine, and one hangs", 12, 12, Fault::kCommandsLost, 30, kGrace, kGrace + 1},
  };
  for (const auto& entry : cases) {
    SimulatedShard simulation(entry.machines);
    simulation.run_until(30);
    simulation.set_fault(0, entry.faulty, entry.fault);
    if (entry.grant_at_start) simulation.grant_tasks();
    if (entry.fault == Fault::kCommandsLost) simulation.set_fault(0, 1, Fault::kHung);
    simulation.run_until(30 + entry.duration_s);
    simulation.set_fault(0, entry.faulty, Fault::kNone);
    simulation.run_until(100);
    for (const auto& [name, seconds] : simulation.deleted) {
      int index = std::stoi(name.value().substr(1));
      EXPECT_LT(index, entry.fault == Fault::kCommandsLost ? 1 : entry.faulty) << entry.what;
    }
    EXPECT_EQ(!simulation.deleted.empty(), entry.earliest.has_value()) << entry.what;
    if (simulation.deleted.empty() || !entry.earliest) continue;
    for (const auto& [name, seconds] : simulation.deleted) {
      EXPECT_GE(seconds, *entry.earliest) << entry.what;
      EXPECT_LE(seconds, *entry.latest) << entry.what;
    }
  }
}

// A machine whose heartbeats arrive in time is not probed. A late machine is probed, and one healthy machine
// of its zone as well, whose answer shows that the network path to the zone works.
TEST(FailureDetection, OnlyLateMachinesAndOneHealthyMachineAreProbed) {
  SimulatedShard simulation(12);
  simulation.run_until(30);
  EXPECT_TRUE(simulation.probes.size() <= 12 &&
              simulation.probes[MachineName("m0")] <= 1);  // once, at the failover
  auto before = simulation.probes;
  simulation.set_fault(0, 1, Fault::kHung);
  simulation.run_until(35);
  EXPECT_GE(simulation.probes[MachineName("m0")] - before[MachineName("m0")], 1);
  int others = 0;
  for (const auto& [name, count] : simulation.probes)
    if (name != MachineName("m0")) others += count - before[name];
  EXPECT_GE(others, 1);
  EXPECT_LE(others, 5);
  EXPECT_FALSE(simulation.shard.machines().at(MachineName("m0")).usable(at(35)));
}

// Commands that were not answered while this controller was paused prove nothing: after the pause the machine
// gets the full time to answer again.
TEST(FailureDetection, NoMachineIsDeletedBecauseOfAPauseOfTheController) {
  SimulatedShard simulation(12);
  simulation.run_until(30);
  simulation.set_fault(0, 1, Fault::kHung);
  simulation.run_until(36);
  simulation.now = 44;  // only the controller was paused; the workers were waiting for it
  simulation.shard.on_process_pause(at(simulation.now));
  simulation.set_fault(0, 1, Fault::kNone);
  for (auto& [name, worker] : simulation.workers) {
    worker.next_heartbeat_at = worker.lease_from = simulation.now;
    worker.last_contact_at = simulation.now;
  }
  simulation.workers.at(MachineName("m0")).next_heartbeat_at = simulation.now + 3;
  simulation.run_until(80);
  EXPECT_TRUE(simulation.deleted.empty());
}

// A machine may recover between the request for its deletion and the cloud's answer, which can take seconds
// or report a failure. Cancelled tasks on it are stopped by the answer to its heartbeat, since a machine that
// is being deleted gets no batches.
TEST(FailureDetection, AMachineThatRecoversWhileBeingDeletedGetsStopsInHeartbeatAnswers) {
  SimulatedShard simulation(12);
  simulation.run_until(30);
  simulation.grant_tasks();
  simulation.run_until(31);
  auto& hung = simulation.workers.at(MachineName("m0"));
  ASSERT_FALSE(hung.heartbeat.tasks.empty());
  simulation.run_until(35);
  simulation.set_fault(0, 1, Fault::kHung);
  double time_s = 35;
  std::vector<MachineName> marked;
  for (; marked.empty() && time_s < 60; time_s += kStep) {
    for (auto& [name, worker] : simulation.workers)
      if (name != MachineName("m0"))
        simulation.shard.on_worker_heartbeat(simulation.next_heartbeat(worker), at(time_s));
    marked = simulation.shard.take_machines_to_delete(at(time_s));
  }
  ASSERT_EQ(marked, std::vector{MachineName("m0")});
  simulation.shard.on_job(JobId("run-1"), &simulation.job, state_store::TerminalState::kCancelled,
                          at(time_s));
  for (const auto& batch : simulation.shard.take_command_batches(at(time_s)))
    EXPECT_NE(batch.machine, MachineName("m0"));
  // The answer to a probe arrives first, so that the heartbeat doesn't count as the end of a long pause.
  ShardManager::Batch probe{
      MachineName("m0"), hung.heartbeat.address, Incarnation(1), hung.heartbeat.token, {}};
  simulation.shard.on_command_result(probe, ShardManager::CommandResult::kExecuted,
                                     simulation.next_heartbeat(hung), at(time_s));
  simulation.shard.on_worker_heartbeat(simulation.next_heartbeat(hung), at(time_s + 0.1));
  auto answer = simulation.shard.heartbeat_response(MachineName("m0"), at(time_s + 0.1));
  EXPECT_EQ(answer.commands.size(), hung.heartbeat.tasks.size());
  for (const auto& command : answer.commands) EXPECT_EQ(command.op, protocol::Command::Op::kStop);
}

// Tasks on a machine that is recorded as quarantined must survive a failover: before its first heartbeat to
// the new leader the machine is not known to be empty, so it must not be deleted.
TEST(FailureDetection, AQuarantinedMachineIsNotDeletedBeforeAHeartbeatShowsThatItIsEmpty) {
  for (bool has_task : {true, false}) {
    ShardManager shard(ShardId(0), Term(5), SimulatedShard::params(), at(0));
    shard.on_registry_read({{MachineName("m1"), MachineType("t4"), Zone("a"), false, "127.0.0.1:1", true}},
                           at(0));
    EXPECT_TRUE(shard.take_machines_to_delete(at(0.1)).empty());
    protocol::WorkerHeartbeat heartbeat;
    heartbeat.machine = MachineName("m1");
    heartbeat.type = MachineType("t4");
    heartbeat.zone = Zone("a");
    heartbeat.incarnation = Incarnation(1);
    heartbeat.sequence = Sequence(1);
    heartbeat.token = FencingToken::first_of(Term(5));
    if (has_task)
      heartbeat.tasks.push_back(
          {{JobId("run-1"), 0}, Attempt(1), TaskState::kRunning, EndCause::kDone, false});
    shard.on_worker_heartbeat(heartbeat, at(0.2));
    EXPECT_EQ(shard.take_machines_to_delete(at(0.3)).empty(), has_task);
  }
}

// A machine that is being deleted gets no commands, so no more machines are marked for deletion than fit into
// one request, even if the cloud doesn't answer requests for a while.
TEST(FailureDetection, NoMoreMachinesAreMarkedForDeletionWhileARequestIsUnanswered) {
  SimulatedShard simulation(250);
  simulation.run_until(kHeartbeatPeriod + 1);
  for (const auto& [name, worker] : simulation.workers) simulation.shard.release(name);
  auto first = simulation.shard.take_machines_to_delete(at(5));
  EXPECT_EQ(first.size(), protocol::kMaxDeletedPerRequest);
  EXPECT_TRUE(simulation.shard.take_machines_to_delete(at(5.1)).empty());
  for (std::size_t i = 0; i < 30; ++i) simulation.shard.on_machine_terminated(first[i], at(5.2));
  simulation.shard.on_delete_failed(first[30], at(5.2));
  EXPECT_EQ(simulation.shard.take_machines_to_delete(at(5.3)).size(), 31u);
}

}  // namespace
}  // namespace beaconsill::shard
