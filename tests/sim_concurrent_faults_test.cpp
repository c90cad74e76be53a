// Scenarios of concurrent faults: the invariants are checked all the time, and in the end every job is
// served. docs/fault-scenarios.md lists them.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 10;
constexpr double kLongRunSeconds = 45;  // run time of tasks that run when the faults begin

protocol::JobSpec zone_array(const char* id, std::uint32_t tasks, const char* zone) {
  auto spec = array_job(id, tasks);
  spec.zone = Zone(zone);
  return spec;
}
// As users do, who repeat what wasn't answered: a scripted request is sent once.
void submit(World& world, double at_s, const protocol::JobSpec& job, int controller,
            std::optional<double> run_s = {}) {
  for (double delay : {0.0, 1.0, 2.5, 4.0})
    world.submit(at_s + delay, job, controller++ % kControllers, run_s);
}
// Controllers crash and restart; 0.4 s is within the lease of their liveness key.
void crash(World& world, double at_s, ControllerSelector controllers, double duration_s) {
  world.inject({.at_s = at_s,
                .kind = FaultKind::kControllerCrash,
                .duration_s = duration_s,
                .controllers = controllers});
}
void query_burst(World& world, double at_s, const JobId& id) {
  for (double delay : {0.002, 0.01, 0.05, 0.2, 1.0}) world.poll_all(at_s + delay, id);
}

const FaultScenario kScenarios[] = {
    {"jobs bound to one zone lose machines",
     [](World& world) {
       auto bound = array_job("run-1", 6);
       bound.one_zone = true;
       submit(world, 2, bound, 0, kLongRunSeconds);
       submit(world, 2, zone_array("run-2", 6, "east"), 1, kLongRunSeconds);
       world.inject({.at_s = 12,
                     .kind = FaultKind::kMachineCrash,
                     .machines = MachineSelector::of_job(JobId("run-1"), 2)});
       world.inject({.at_s = 13,
                     .kind = FaultKind::kMachineHangs,
                     .duration_s = 15,
                     .machines = MachineSelector::of_job(JobId("run-2"), 2)});
       crash(world, 14, ControllerSelector::leader(), 5);
     }},
    {"users query, repeat and cancel at all controllers right after each answer",
     [](World& world) {
       for (int i = 0; i < 6; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 2);
         double at_s = 3 + i;
         submit(world, at_s, job, i % kControllers, 4);
         query_burst(world, at_s, job.id);
         submit(world, at_s + 0.03, job, (i + 1) % kControllers, 4);
         if (i % 2 == 0) world.cancel(at_s + 0.06, job.id, (i + 2) % kControllers);
         query_burst(world, at_s + 0.06, job.id);
         submit(world, at_s + 0.5, job, (i + 1) % kControllers, 4);
       }
     }},
    {"one-task jobs four a second, a quarter cancelled",
     [](World& world) {
       for (int i = 0; i < 120; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 1, i % 2 ? "blue" : "green");
         double at_s = 3 + i * 0.25;
         submit(world, at_s, job, i % kControllers, 3);
         if (i % 4 == 0) world.cancel(at_s + (i % 8 ? 0.4 : 2.5), job.id, (i + 1) % kControllers);
       }
       crash(world, 15, ControllerSelector::leader(), 3);
     }},
    {"the team at its limit, the leader crashes, messages to machines are lost, jobs are cancelled",
     [](World& world) {
       submit(world, 2, array_job("run-1", 30), 0, kLongRunSeconds);
       submit(world, 3, array_job("run-2", 30), 1, 5);
       world.inject({.at_s = 12,
                     .kind = FaultKind::kMachineInboundCut,
                     .duration_s = 12,
                     .machines = MachineSelector::of_job(JobId("run-1"), 3)});
       crash(world, 12.2, ControllerSelector::leader(), 4);
       world.cancel(12.6, JobId("run-1"), 1);
       world.cancel(12.7, JobId("run-1"), 2);
       world.cancel(14, JobId("run-1"), 0);
     }},
    {"all controllers are down for longer than a lease",
     [](World& world) {
       submit(world, 2, array_job("run-1", 10), 0, kLongRunSeconds);
       submit(world, 2, service_job("run-2", 4), 1);
       world.cancel(11.9, JobId("run-1"), 2);
       crash(world, 12, ControllerSelector::all(), kLease + 4);
       query_burst(world, 27, JobId("run-1"));
       query_burst(world, 27, JobId("run-2"));
     }},
    {"the state store refuses the leader, then everybody for longer than a cancellation has",
     [](World& world) {
       submit(world, 2, array_job("run-1", 10), 0, 80);
       submit(world, 2, service_job("run-2", 4), 1);
       world.inject({.at_s = 12,
                     .kind = FaultKind::kStateRefusesController,
                     .duration_s = 14,
                     .controllers = ControllerSelector::leader()});
       for (int controller = 0; controller < kControllers; ++controller)
         world.cancel(13, JobId("run-1"), controller);
       world.inject({.at_s = 14, .kind = FaultKind::kStateOutage, .duration_s = kCancelLimit + 8});
       query_burst(world, 14, JobId("run-1"));
       query_burst(world, 30, JobId("run-2"));
     }},
    {"controllers fail over and back, all crash, one restarts within a second",
     [](World& world) {
       submit(world, 2, array_job("run-1", 12), 0, kLongRunSeconds);
       submit(world, 2, service_job("run-2", 6, "green"), 1);
       for (int i = 0; i < 6; ++i)
         crash(world, 10 + 3.0 * i, ControllerSelector::controller(i % kControllers), i % 2 ? 0.4 : 4);
       crash(world, 32, ControllerSelector::controller(0), 0.5);
       crash(world, 32.2, ControllerSelector::controller(1), 12);
       crash(world, 32.4, ControllerSelector::controller(2), 14);
       world.cancel(33.5, JobId("run-1"), 0);
       query_burst(world, 33.5, JobId("run-1"));
     }},
    {"jobs are cancelled in the seconds of a failover",
     [](World& world) {
       for (int i = 0; i < 8; ++i)
         submit(world, 2, array_job("run-" + std::to_string(i + 1), 3), i % 3, kLongRunSeconds);
       crash(world, 12, ControllerSelector::leader(), 5);
       for (int i = 0; i < 8; ++i)
         for (int controller = 0; controller < kControllers; ++controller)
           world.cancel(12.1 + 0.9 * i, JobId("run-" + std::to_string(i + 1)), controller);
       world.inject({.at_s = 13,
                     .kind = FaultKind::kMachineHangs,
                     .duration_s = 6,
                     .machines = MachineSelector::of_job(JobId("run-4"), 2)});
     }},
};

TEST(ConcurrentFaults, ViolateNoInvariant) {
  expect_no_violations(kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/false);
}

// The same with messages that are lost, late or come twice, late copies of heartbeats and lost responses to
// transactions.
TEST(ConcurrentFaults, ViolateNoInvariantAmongLostMessages) {
  expect_no_violations(kScenarios, {.first = 101, .count = kSeeds}, /*noise=*/true);
}

TEST(ConcurrentFaults, FindSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kCancellationsIgnored, "ran_cancelled"},
      {SeededBug::kLimitIgnored, "quota"},
      {SeededBug::kCompletedTooEarly, "not_done"},
      {SeededBug::kReleasesNotReported, "starved"},
      {SeededBug::kZoneDropped, "wrong_place"},
      {SeededBug::kRegistryNotRead, "ran_twice"},
  };
  // The responses to users are what counts; the tasks of this job end one after the other.
  Workload workload;
  workload.after = [](World& world) {
    submit(world, 3, array_job("run-9", 20), 1);
    for (double at_s = 5; at_s < 60; at_s += 0.4) world.poll(at_s, JobId("run-9"), 0);
  };
  expect_bugs_found(cases, kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/true, workload);
}

}  // namespace
}  // namespace beaconsill::sim
