// Tests of tasks that save a checkpoint when they are stopped. The scripted schedules cancel a job while its
// tasks save for longer than the cancellation limit, together with faults; the random schedules have many
// preemptions, because there is more work than the machines hold.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

constexpr double kCancelledAt = 14;  // the preempted tasks save since 10 s at the latest

class Checkpoints : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

// Two arrays fill the machines, and a service preempts some of their tasks. These save for longer than the
// cancellation limit; meanwhile both arrays are cancelled.
void submit_and_cancel(World& world) {
  for (const auto& [id, team] : {std::pair{"run-2", "blue"}, {"run-3", "green"}}) {
    auto array = array_job(id, 20, team);
    array.checkpoint_s = 1;
    array.save_s = kCancelLimit + 20;
    world.submit(2, array, 0, 200);
    for (double delay : {0.0, 1.5, 5.0, 20.0}) world.cancel(kCancelledAt + delay, array.id, 1);
  }
  world.submit(8, service_job("run-1", 4, "blue"), 2);
}

const FaultScenario kScenarios[] = {
    {"no fault", [](World&) {}},
    {"the leader ends at the cancellation",
     [](World& world) {
       world.inject({kCancelledAt, FaultKind::kControllerCrash, 3, ControllerSelector::leader()});
     }},
    {"the leader is paused at the cancellation",
     [](World& world) {
       world.inject({kCancelledAt, FaultKind::kControllerPause, 6, ControllerSelector::leader()});
     }},
    {"the state store refuses the leader",
     [](World& world) {
       world.inject({kCancelledAt - 1, FaultKind::kStateRefusesController, 14, ControllerSelector::leader()});
     }},
};

// Each scenario has 5 machines of 8 CPUs, so that the arrays leave no room for the service.
Options scripted_options(std::uint64_t seed, bool noise) {
  auto options = Options::scripted(seed);
  options.machines = 5;
  options.noise = noise;
  return options;
}

TEST_F(Checkpoints, CancelledTasksThatSaveEndInTimeInEveryScenario) {
  for (const auto& scenario : kScenarios)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      auto outcome = run_scenario(scenario, scripted_options(seed, seed % 2 == 0), {submit_and_cancel});
      EXPECT_TRUE(outcome.violations.empty())
          << scenario.name << ", seed " << seed << ": " << outcome.first_violation;
      EXPECT_GT(outcome.saves, 0) << scenario.name << ", seed " << seed;
    }
}

Options random_checkpoints(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  options.enable_checkpoints();
  return options;
}

TEST_F(Checkpoints, InvariantsHoldAndEveryJobIsServed) {
  int saves = 0;
  // Seed 34 violated ran_cancelled before a second stop was sent to tasks that save.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto outcome = World(random_checkpoints(seed)).run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << outcome.first_violation;
    EXPECT_GT(outcome.started, 50) << "seed " << seed;
    saves += outcome.saves;
  }
  EXPECT_GT(saves, 40);
}

// Checks that the invariant checker is able to detect violations.
TEST_F(Checkpoints, InvariantCheckerDetectsSeededBugs) {
  const SeededBugCase cases[] = {{SeededBug::kSavingTasksNotStopped, "ran_cancelled", ""}};
  expect_bugs_found(cases, 40, random_checkpoints);
}

}  // namespace
}  // namespace beaconsill::sim
