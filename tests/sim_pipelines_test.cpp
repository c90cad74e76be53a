// Pipelines in the simulation: chains, fans and diamonds, together with faults of all kinds.
#include <gtest/gtest.h>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

class Pipelines : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

Options random_pipelines(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  options.jobs = 14;
  options.pipelines = 10;
  return options;
}

TEST_F(Pipelines, InvariantsHoldAndEveryJobIsServed) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    auto outcome = World(random_pipelines(seed)).run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << outcome.first_violation;
    EXPECT_GT(outcome.started, 30) << "seed " << seed;
  }
}

// A checker that can't fail shows nothing.
TEST_F(Pipelines, TheCheckersFindSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kDependenciesDropped, "too_early", "before"},
      {SeededBug::kDependenciesIgnored, "too_early", "before"},
      {SeededBug::kDependenciesRejected, "forgotten", "a job that it awaits"},
  };
  expect_bugs_found(cases, 20, [](std::uint64_t seed) { return random_pipelines(seed); });
}

// The head of a chain is cancelled while its last job can't start anyway, since another has all of the team's
// limit. Nobody cancels the last one itself: it has to be called cancelled in time all the same.
Outcome cancelled_head(SeededBug seeded_bug, std::optional<protocol::JobState>* last = nullptr) {
  auto options = Options::scripted();
  options.seeded_bug = seeded_bug;
  World world(options);
  auto head = array_job("run-1", 2);
  auto middle = array_job("run-2", 1);
  auto end = array_job("run-3", 1);
  middle.depends_on = {head.id};
  end.depends_on = {middle.id};
  world.submit(2, head, 0, 200);
  world.submit(4, array_job("run-9", static_cast<std::uint32_t>(kTeamCpus)), 0, 100);
  world.submit(10, middle, 1);
  world.submit(11, end, 2);
  for (double delay : {12.0, 13.5}) world.cancel(delay, head.id, 0);
  for (double at_s = 14; at_s < 60; at_s += 2) world.poll_all(at_s, end.id);
  auto outcome = world.run();
  if (auto response = world.last_response(end.id, UserRequest::kStatus); response && last)
    *last = response->state;
  return outcome;
}

TEST_F(Pipelines, ACancellationReachesTheEndOfTheChainInTime) {
  std::optional<protocol::JobState> last;
  auto outcome = cancelled_head(SeededBug::kNone, &last);
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(last, protocol::JobState::kCancelled);
  outcome = cancelled_head(SeededBug::kDependenciesDropped);
  EXPECT_TRUE(outcome.violations.contains("orphaned")) << outcome.first_violation;
}

}  // namespace
}  // namespace beaconsill::sim
