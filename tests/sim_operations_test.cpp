// Tests of faults that operators reported (docs/fault-scenarios.md): jobs that fail on every machine, faulty
// machines, bursts of queries, machines that boot slowly, and controllers that are paused for a minute. The
// faults are scripted, or drawn at random together with all other faults.
#include <gtest/gtest.h>

#include "sim/world.h"

namespace beaconsill::sim {
namespace {

// Runs three arrays that fail on every machine, for up to 50 s, together with four jobs that do not fail.
Outcome run_with_failing_jobs(SeededBug seeded_bug) {
  auto options = Options::scripted();
  options.seeded_bug = seeded_bug;
  World world(options);
  world.inject({5, FaultKind::kFailingJobs, 50, {}, {}, {}, 1, 3});
  for (int i = 0; i < 3; ++i) world.submit(6 + 5 * i, array_job("run-" + std::to_string(i), 20, "blue"), 0);
  world.submit(8, service_job("run-9", 2, "green"), 0);
  return world.run();
}

TEST(FailingJobs, DeleteNoMachineAndCauseFewStarts) {
  auto outcome = run_with_failing_jobs(SeededBug::kNone);
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(outcome.deleted_machines, 0);
  EXPECT_GT(outcome.failing_starts, 0);
  constexpr int kMaxStarts = 120, kMaxGrants = 30;
  EXPECT_LE(outcome.failing_starts, kMaxStarts);
  EXPECT_LE(outcome.failing_grants, kMaxGrants);
  // If the shards do not report the failures, the leader repeatedly grants all tasks of such a job.
  EXPECT_GT(run_with_failing_jobs(SeededBug::kFailuresNotReported).failing_grants,
            2 * outcome.failing_grants);
}

TEST(FailingJobs, DeleteNoMachineAcrossAFailover) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto options = Options::scripted(seed);
    World world(options);
    world.inject({5, FaultKind::kFailingJobs, 60, {}, {}, {}, 1, 3});
    world.inject({15, FaultKind::kControllerCrash, 3, ControllerSelector::leader()});
    world.inject({30, FaultKind::kControllerPause, 8, ControllerSelector::leader()});
    world.submit(6, array_job("run-1", 20, "blue"), 0);
    auto outcome = world.run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << outcome.first_violation;
    EXPECT_EQ(outcome.deleted_machines, 0) << "seed " << seed;
  }
}

TEST(FaultyMachine, IsDeletedWhileFailingJobsRun) {
  auto options = Options::scripted();
  options.jobs = 20;
  World world(options);
  world.inject({5, FaultKind::kFailingJobs, 50, {}, {}, {}, 1, 3});
  world.inject({10, FaultKind::kMachineFaulty, 200, {}, MachineSelector::machine(MachineName("host-3"))});
  auto outcome = world.run();
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(outcome.deleted_machines, 1);
}

TEST(Operations, InvariantsHoldInRandomSchedulesWithReportedFaults) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Options options;
    options.seed = seed;
    options.operations = true;
    options.pipelines = seed % 2 ? 0 : 4;
    auto outcome = World(options).run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << outcome.first_violation;
    EXPECT_GT(outcome.started, 50) << "seed " << seed;
  }
}

}  // namespace
}  // namespace beaconsill::sim
