// Scenarios of concurrent faults: the invariants are checked all the time, and in the end every job is
// served. docs/concurrent-faults.md lists them.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

constexpr std::uint64_t kSeeds = 10;
constexpr double kLongRun_s = 45;  // run time of tasks that run when the faults begin

protocol::JobSpec zone_array(const char* id, std::uint32_t tasks, const char* zone) {
  auto s = array_job(id, tasks);
  s.zone = Zone(zone);
  return s;
}
// As users do, who repeat what wasn't answered: a scripted request is sent once.
void submit(World& w, double at_s, const protocol::JobSpec& job, int controller,
            std::optional<double> run_s = {}) {
  for (double d : {0.0, 1.0, 2.5, 4.0}) w.submit(at_s + d, job, controller++ % kControllers, run_s);
}
// Controllers crash and restart; 0.4 s is within the lease of their liveness key.
void crash(World& w, double at_s, ControllerSelector controllers, double duration_s) {
  w.inject({.at_s = at_s,
            .kind = FaultKind::kControllerCrash,
            .duration_s = duration_s,
            .controllers = controllers});
}
void query_burst(World& w, double at_s, const JobId& id) {
  for (double d : {0.002, 0.01, 0.05, 0.2, 1.0}) w.poll_all(at_s + d, id);
}

const FaultScenario kScenarios[] = {
    {"jobs bound to one zone lose machines",
     [](World& w) {
       auto bound = array_job("run-1", 6);
       bound.one_zone = true;
       submit(w, 2, bound, 0, kLongRun_s);
       submit(w, 2, zone_array("run-2", 6, "east"), 1, kLongRun_s);
       w.inject({.at_s = 12,
                 .kind = FaultKind::kMachineCrash,
                 .machines = MachineSelector::of_job(JobId("run-1"), 2)});
       w.inject({.at_s = 13,
                 .kind = FaultKind::kMachineHangs,
                 .duration_s = 15,
                 .machines = MachineSelector::of_job(JobId("run-2"), 2)});
       crash(w, 14, ControllerSelector::leader(), 5);
     }},
    {"users query, repeat and cancel at all controllers right after each answer",
     [](World& w) {
       for (int i = 0; i < 6; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 2);
         double t = 3 + i;
         submit(w, t, job, i % kControllers, 4);
         query_burst(w, t, job.id);
         submit(w, t + 0.03, job, (i + 1) % kControllers, 4);
         if (i % 2 == 0) w.cancel(t + 0.06, job.id, (i + 2) % kControllers);
         query_burst(w, t + 0.06, job.id);
         submit(w, t + 0.5, job, (i + 1) % kControllers, 4);
       }
     }},
    {"one-task jobs four a second, a quarter cancelled",
     [](World& w) {
       for (int i = 0; i < 120; ++i) {
         auto job = array_job("run-" + std::to_string(i + 1), 1, i % 2 ? "blue" : "green");
         double t = 3 + i * 0.25;
         submit(w, t, job, i % kControllers, 3);
         if (i % 4 == 0) w.cancel(t + (i % 8 ? 0.4 : 2.5), job.id, (i + 1) % kControllers);
       }
       crash(w, 15, ControllerSelector::leader(), 3);
     }},
    {"the team at its limit, the leader crashes, messages to machines are lost, jobs are cancelled",
     [](World& w) {
       submit(w, 2, array_job("run-1", 30), 0, kLongRun_s);
       submit(w, 3, array_job("run-2", 30), 1, 5);
       w.inject({.at_s = 12,
                 .kind = FaultKind::kMachineInboundCut,
                 .duration_s = 12,
                 .machines = MachineSelector::of_job(JobId("run-1"), 3)});
       crash(w, 12.2, ControllerSelector::leader(), 4);
       w.cancel(12.6, JobId("run-1"), 1);
       w.cancel(12.7, JobId("run-1"), 2);
       w.cancel(14, JobId("run-1"), 0);
     }},
    {"all controllers are down for longer than a lease",
     [](World& w) {
       submit(w, 2, array_job("run-1", 10), 0, kLongRun_s);
       submit(w, 2, service_job("run-2", 4), 1);
       w.cancel(11.9, JobId("run-1"), 2);
       crash(w, 12, ControllerSelector::all(), kLease + 4);
       query_burst(w, 27, JobId("run-1"));
       query_burst(w, 27, JobId("run-2"));
     }},
    {"the state store refuses the leader, then everybody for longer than a cancellation has",
     [](World& w) {
       submit(w, 2, array_job("run-1", 10), 0, 80);
       submit(w, 2, service_job("run-2", 4), 1);
       w.inject({.at_s = 12,
                 .kind = FaultKind::kStateRefusesController,
                 .duration_s = 14,
                 .controllers = ControllerSelector::leader()});
       for (int n = 0; n < kControllers; ++n) w.cancel(13, JobId("run-1"), n);
       w.inject({.at_s = 14, .kind = FaultKind::kStateOutage, .duration_s = kCancelLimit + 8});
       query_burst(w, 14, JobId("run-1"));
       query_burst(w, 30, JobId("run-2"));
     }},
    {"controllers fail over and back, all crash, one restarts within a second",
     [](World& w) {
       submit(w, 2, array_job("run-1", 12), 0, kLongRun_s);
       submit(w, 2, service_job("run-2", 6, "green"), 1);
       for (int i = 0; i < 6; ++i)
         crash(w, 10 + 3.0 * i, ControllerSelector::controller(i % kControllers), i % 2 ? 0.4 : 4);
       crash(w, 32, ControllerSelector::controller(0), 0.5);
       crash(w, 32.2, ControllerSelector::controller(1), 12);
       crash(w, 32.4, ControllerSelector::controller(2), 14);
       w.cancel(33.5, JobId("run-1"), 0);
       query_burst(w, 33.5, JobId("run-1"));
     }},
    {"jobs are cancelled in the seconds of a failover",
     [](World& w) {
       for (int i = 0; i < 8; ++i)
         submit(w, 2, array_job("run-" + std::to_string(i + 1), 3), i % 3, kLongRun_s);
       crash(w, 12, ControllerSelector::leader(), 5);
       for (int i = 0; i < 8; ++i)
         for (int n = 0; n < kControllers; ++n)
           w.cancel(12.1 + 0.9 * i, JobId("run-" + std::to_string(i + 1)), n);
       w.inject({.at_s = 13,
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
  workload.after = [](World& w) {
    submit(w, 3, array_job("run-9", 20), 1);
    for (double t = 5; t < 60; t += 0.4) w.poll(t, JobId("run-9"), 0);
  };
  expect_bugs_found(cases, kScenarios, {.first = 1, .count = kSeeds}, /*noise=*/true, workload);
}

}  // namespace
}  // namespace beaconsill::sim
