// What operators reported (docs/operations-faults.md): jobs that fail on every machine, faulty machines,
// many times as many queries, machines that boot slowly, controllers that are paused for a minute.
// Scripted, and drawn together with all other faults.
#include <gtest/gtest.h>

#include "sim/world.h"

namespace beaconsill::sim {
namespace {

// Three arrays that fail everywhere beside three sound jobs, for 50 s.
Outcome run_failing_jobs(SeededBug seeded_bug) {
  auto o = Options::scripted();
  o.seeded_bug = seeded_bug;
  World w(o);
  w.inject({5, FaultKind::kFailingJobs, 50, {}, {}, {}, 1, 3});
  for (int i = 0; i < 3; ++i) w.submit(6 + 5 * i, array_job("run-" + std::to_string(i), 20, "blue"), 0);
  w.submit(8, service_job("run-9", 2, "green"), 0);
  return w.run();
}

TEST(FailingJobs, CostNoMachineAndAFewStarts) {
  auto r = run_failing_jobs(SeededBug::kNone);
  EXPECT_TRUE(r.violations.empty()) << r.first_violation;
  EXPECT_EQ(r.deleted_machines, 0);
  EXPECT_GT(r.failing_starts, 0);
  constexpr int kMostStarts = 120, kMostGrants = 30;
  EXPECT_LE(r.failing_starts, kMostStarts);
  EXPECT_LE(r.failing_grants, kMostGrants);
  // Without reports of the failures the leader grants such a job as a whole again and again.
  EXPECT_GT(run_failing_jobs(SeededBug::kFailuresNotReported).failing_grants, 2 * r.failing_grants);
}

TEST(FailingJobs, AcrossAFailover) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto o = Options::scripted(seed);
    World w(o);
    w.inject({5, FaultKind::kFailingJobs, 60, {}, {}, {}, 1, 3});
    w.inject({15, FaultKind::kControllerCrash, 3, ControllerSelector::leader()});
    w.inject({30, FaultKind::kControllerPause, 8, ControllerSelector::leader()});
    w.submit(6, array_job("run-1", 20, "blue"), 0);
    auto r = w.run();
    EXPECT_TRUE(r.violations.empty()) << seed << ": " << r.first_violation;
    EXPECT_EQ(r.deleted_machines, 0) << seed;
  }
}

TEST(FaultyMachine, IsDeletedBesideFailingJobs) {
  auto o = Options::scripted();
  o.jobs = 20;
  World w(o);
  w.inject({5, FaultKind::kFailingJobs, 50, {}, {}, {}, 1, 3});
  w.inject({10, FaultKind::kMachineFaulty, 200, {}, MachineSelector::machine(MachineName("host-3"))});
  auto r = w.run();
  EXPECT_TRUE(r.violations.empty()) << r.first_violation;
  EXPECT_EQ(r.deleted_machines, 1);
}

TEST(Operations, InvariantsHoldInRandomSchedules) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Options o;
    o.seed = seed;
    o.operations = true;
    o.pipelines = seed % 2 ? 0 : 4;
    auto r = World(o).run();
    EXPECT_TRUE(r.violations.empty()) << "seed " << seed << ": " << r.first_violation;
    EXPECT_GT(r.started, 50) << "seed " << seed;
  }
}

}  // namespace
}  // namespace beaconsill::sim
