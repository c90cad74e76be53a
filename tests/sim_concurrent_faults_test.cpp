// Runs scenarios of concurrent faults in the simulation, which checks the invariants throughout and that
// every job is served at the end. docs/fault-scenarios.md lists the scenarios.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 10;
constexpr double kLongRunSeconds = 45;  // run time of tasks that still have to run when the faults begin

protocol::JobSpec zone_array(const char* id, std::uint32_t tasks, const char* zone) {
  auto spec = array_job(id, tasks);
  spec.zone = Zone(zone);
  return spec;
}
// Submits the job four times to successive controllers, like a user that repeats unanswered requests. A
// scripted request is sent only once.
void submit(World& world, double at_s, const protocol::JobSpec& job, int controller,
            std::optional<double> run_s = {}) {
  for (double delay : {0.0, 1.0, 2.5, 4.0})
    world.submit(at_s + delay, job, controller++ % kControllers, run_s);
}
// Crashes controllers, which restart after `duration_s`. With a duration of 0.4 s, they restart before the
// lease of their liveness key expires.
void crash(World& world, double at_s, ControllerSelector controllers, double duration_s) {
  world.inject({.at_s = at_s,
                .kind = FaultKind::kControllerCrash,
                .duration_s = duration_s,
                .controllers = controllers});
}
void send_query_burst(World& world, double at_s, const JobId& id) {
  for (double delay : {0.002, 0.01, 0.05, 0.2, 1.0}) world.poll_all(at_s + delay, id);
}

const FaultScenario kScenarios[] = {
    {"jobs bound to one zone lose machines",
     [](World& world) {
       auto one_zone_job = array_job("run-1", 6);
       one_zone_job.one_zone = true;
       submit(world, 2, one_zone_job, 0, kLongRunSeconds);
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
         send_query_burst(world, at_s, job.id);
         submit(world, at_s + 0.03, job, (i + 1) % kControllers, 4);
         if (i % 2 == 0) world.cancel(at_s + 0.06, job.id, (i + 2) % kControllers);
         send_query_burst(world, at_s + 0.06, job.id);
         submit(world, at_s + 0.5, job, (i + 1) % kControllers, 4);
       }
     }},
    {"four one-task jobs per second, a quarter of them cancelled",
     [](World& world) {
       for (int i = 0; i < 120; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 1, i % 2 ? "blue" : "green");
         double at_s = 3 + i * 0.25;
         submit(world, at_s, job, i % kControllers, 3);
         if (i % 4 == 0) world.cancel(at_s + (i % 8 ? 0.4 : 2.5), job.id, (i + 1) % kControllers);
       }
       crash(world, 15, ControllerSelector::leader(), 3);
     }},
    {"a team at its limit while the leader crashes, messages to machines are lost, and jobs are cancelled",
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
       send_query_burst(world, 27, JobId("run-1"));
       send_query_burst(world, 27, JobId("run-2"));
     }},
    {"the state store refuses the leader, then all controllers for longer than the cancellation limit",
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
       send_query_burst(world, 14, JobId("run-1"));
       send_query_burst(world, 30, JobId("run-2"));
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
       send_query_burst(world, 33.5, JobId("run-1"));
     }},
    {"jobs are cancelled during a failover",
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

TEST(ConcurrentFaults, InvariantsHoldInEveryScenario) {
  expect_no_violations(kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/false);
}

// The same with messages that are lost, delayed or delivered twice, delayed copies of heartbeats, and lost
// responses to transactions.
TEST(ConcurrentFaults, InvariantsHoldInEveryScenarioWithUnreliableMessages) {
  expect_no_violations(kScenarios, {.first = 101, .count = kSeeds}, /*noise=*/true);
}

TEST(ConcurrentFaults, ScenariosDetectSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kCancellationsIgnored, "ran_cancelled"},
      {SeededBug::kTeamLimitIgnored, "quota"},
      {SeededBug::kCompletedTooEarly, "not_done"},
      {SeededBug::kReleasesNotReported, "starved"},
      {SeededBug::kZoneDropped, "wrong_place"},
      {SeededBug::kRegistryNotRead, "ran_twice"},
  };
  // Premature completion is detected from responses to users. Therefore this job, whose tasks end at
  // different times, is polled frequently.
  Workload workload;
  workload.after = [](World& world) {
    submit(world, 3, array_job("run-9", 20), 1);
    for (double at_s = 5; at_s < 60; at_s += 0.4) world.poll(at_s, JobId("run-9"), 0);
  };
  expect_bugs_found(cases, kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/true, workload);
}

}  // namespace
}  // namespace beaconsill::sim
