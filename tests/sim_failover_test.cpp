// Runs scenarios of failovers combined with other faults in the simulation, which checks the invariants
// throughout and that all jobs are served at the end. docs/fault-scenarios.md lists the scenarios.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr double kLongRunSeconds = 60;

// Submits arrays of both teams and a service. One of the arrays is as large as its team's limit.
void submit_jobs(World& world) {
  world.submit(2, array_job("run-1", 30, "blue"), 0, kLongRunSeconds);
  world.submit(2.1, service_job("run-2", 4, "green"), 1);
  world.submit(2.2, array_job("run-3", 20, "green"), 2);
  world.submit(2.3, array_job("run-4", 10, "blue"), 0);
}

// Repeats the cancellation, like a user whose request is refused while the other controllers have not
// acknowledged it or the state store is unavailable, and polls the job meanwhile.
void cancel_and_poll(World& world, double at_s, const char* id, int controller) {
  for (double delay : {0.0, 1.5, 4.0, 15.0, 30.0, 50.0}) world.cancel(at_s + delay, JobId(id), controller);
  world.poll_all(at_s + 0.01, JobId(id));
  world.poll_all(at_s + 0.5, JobId(id));
  world.poll_all(at_s + 3, JobId(id));
}

const FaultScenario kScenarios[] = {
    {"the state store refuses the leader as jobs are cancelled, then is unavailable for longer than cancel_s",
     [](World& world) {
       world.inject({.at_s = 15,
                     .kind = FaultKind::kStateRefusesController,
                     .duration_s = 20,
                     .controllers = ControllerSelector::leader()});
       cancel_and_poll(world, 15, "run-1", 1);
       cancel_and_poll(world, 15, "run-1", 2);
       world.inject({.at_s = 16, .kind = FaultKind::kStateOutage, .duration_s = kCancelLimit + 5});
     }},
    {"tasks end at widely different times across failovers",
     [](World& world) {
       world.submit(3, array_job("run-5", 2, "green"), 0, 8);
       world.submit(3, array_job("run-6", 3, "green"), 1, 45);
       for (double at_s : {12.0, 25.0, 40.0})
         world.inject({.at_s = at_s,
                       .kind = FaultKind::kControllerCrash,
                       .duration_s = 4,
                       .controllers = ControllerSelector::leader()});
     }},
    {"the leader crashes while machines with long tasks receive nothing from its successor",
     [](World& world) {
       world.inject({.at_s = 15,
                     .kind = FaultKind::kMachineInboundCut,
                     .duration_s = 25,
                     .machines = MachineSelector::of_job(JobId("run-1"), 2)});
       world.inject({.at_s = 15,
                     .kind = FaultKind::kMachineHangs,
                     .duration_s = 8,
                     .machines = MachineSelector::random(2)});
       world.inject({.at_s = 15.5,
                     .kind = FaultKind::kControllerCrash,
                     .duration_s = 6,
                     .controllers = ControllerSelector::leader()});
     }},
    {"the leader reaches only its workers and users, jobs are cancelled through the new leader",
     [](World& world) {
       world.inject({.at_s = 15,
                     .kind = FaultKind::kControllerCutFromStateAndPeers,
                     .duration_s = 30,
                     .controllers = ControllerSelector::leader()});
       for (int controller = 0; controller < kControllers; ++controller)
         cancel_and_poll(world, 21, "run-1", controller);
     }},
    {"the leader changes ten times, also during a state store outage",
     [](World& world) {
       for (int i = 0; i < 10; ++i)
         world.inject({.at_s = 12.0 + 11 * i,
                       .kind = FaultKind::kControllerCrash,
                       .duration_s = 1,
                       .controllers = ControllerSelector::leader()});
       world.inject({.at_s = 50, .kind = FaultKind::kStateOutage, .duration_s = 18});
       cancel_and_poll(world, 57, "run-2", 0);
     }},
    {"teams at their limit, cancelled jobs on machines that hang, the leader changes",
     [](World& world) {
       world.submit(10, array_job("run-5", 30, "blue"), 0, 10);
       world.inject({.at_s = 15,
                     .kind = FaultKind::kMachineHangs,
                     .duration_s = 25,
                     .machines = MachineSelector::of_job(JobId("run-1"), 3)});
       world.inject({.at_s = 15,
                     .kind = FaultKind::kMachineInboundCut,
                     .duration_s = 20,
                     .machines = MachineSelector::of_job(JobId("run-1"), 2)});
       cancel_and_poll(world, 15.2, "run-1", 1);
       world.inject({.at_s = 15.4,
                     .kind = FaultKind::kControllerCrash,
                     .duration_s = 3,
                     .controllers = ControllerSelector::leader()});
     }},
    {"a cancellation, queries and a repeated submission at the completion of the last task",
     [](World& world) {
       auto job = array_job("run-5", 1, "green");
       world.submit(3, job, 0, 10);
       for (double at_s = 12; at_s < 18; at_s += 0.15) {
         world.poll_all(at_s, job.id);
         world.submit(at_s + 0.05, job, static_cast<int>(at_s) % kControllers);
       }
       world.cancel(14.5, job.id, 1);
       world.cancel(15.1, job.id, 2);
     }},
};

TEST(FailoverScenarios, InvariantsHoldInEveryScenario) {
  expect_no_violations(kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/false, {.before = submit_jobs});
}

TEST(FailoverScenarios, DetectSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kCancellationsIgnored, "ran_cancelled"},
      {SeededBug::kTeamLimitIgnored, "quota"},
      {SeededBug::kCompletedTooEarly, "not_done"},
      {SeededBug::kReleasesNotReported, "starved"},
  };
  expect_bugs_found(cases, kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/false,
                    {.before = submit_jobs});
}

}  // namespace
}  // namespace beaconsill::sim
