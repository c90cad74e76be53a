// What the operators met (docs/operations-troubles.md): jobs submitted with a mistake, faulty machines,
// questions many times as often, new machines that come late, controllers that are silent for a minute.
// Scripted, and drawn together with all other troubles.
#include <gtest/gtest.h>

#include "sim/world.h"

namespace beaconsill::sim {
namespace {

// Three arrays with a mistake beside three sound jobs, for 50 s.
Outcome play_mistaken_jobs(Mistake mistake) {
  auto o = Options::scripted();
  o.mistake = mistake;
  World w(o);
  w.trouble({5, TroubleKind::kMistakenJobs, 50, {}, {}, {}, 1, 3});
  for (int i = 0; i < 3; ++i) w.submit(6 + 5 * i, array_job("run-" + std::to_string(i), 20, "blue"), 0);
  w.submit(8, service_job("run-9", 2, "green"), 0);
  return w.run();
}

TEST(MistakenJobs, CostNoMachineAndAFewStarts) {
  auto r = play_mistaken_jobs(Mistake::kNone);
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_EQ(r.removed, 0);
  EXPECT_GT(r.started_mistaken, 0);
  constexpr int kMostStarts = 120, kMostGrants = 30;
  EXPECT_LE(r.started_mistaken, kMostStarts);
  EXPECT_LE(r.granted_mistaken, kMostGrants);
  // Without word of the failures the leader grants such a job as a whole again and again.
  EXPECT_GT(play_mistaken_jobs(Mistake::kFailuresUntold).granted_mistaken, 2 * r.granted_mistaken);
}

TEST(MistakenJobs, OverAChangeOfLeader) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto o = Options::scripted(seed);
    World w(o);
    w.trouble({5, TroubleKind::kMistakenJobs, 60, {}, {}, {}, 1, 3});
    w.trouble({15, TroubleKind::kNodeEnds, 3, Who::leader()});
    w.trouble({30, TroubleKind::kNodeStandsStill, 8, Who::leader()});
    w.submit(6, array_job("run-1", 20, "blue"), 0);
    auto r = w.run();
    EXPECT_TRUE(r.broken.empty()) << seed << ": " << r.first;
    EXPECT_EQ(r.removed, 0) << seed;
  }
}

TEST(FaultyMachine, GoesAlsoBesideMistakenJobs) {
  auto o = Options::scripted();
  o.jobs = 20;
  World w(o);
  w.trouble({5, TroubleKind::kMistakenJobs, 50, {}, {}, {}, 1, 3});
  w.trouble({10, TroubleKind::kMachineFaulty, 200, {}, Which::machine(MachineName("host-3"))});
  auto r = w.run();
  EXPECT_TRUE(r.broken.empty()) << r.first;
  EXPECT_EQ(r.removed, 1);
}

TEST(Operations, TheRulesHoldInDrawnSchedules) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Options o;
    o.seed = seed;
    o.operations = true;
    o.pipelines = seed % 2 ? 0 : 4;
    auto r = World(o).run();
    EXPECT_TRUE(r.broken.empty()) << "seed " << seed << ": " << r.first;
    EXPECT_GT(r.started, 50) << "seed " << seed;
  }
}

}  // namespace
}  // namespace beaconsill::sim
