// Tests of pipelines in the simulation: chains, fan-outs and diamonds of dependent jobs, together with random
// faults.
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

// Checks that the invariant checker is able to detect violations.
TEST_F(Pipelines, InvariantCheckerDetectsSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kDependenciesDropped, "too_early", "before"},
      {SeededBug::kDependenciesIgnored, "too_early", "before"},
      {SeededBug::kDependenciesRejected, "forgotten", "rejected although its dependencies were accepted"},
  };
  expect_bugs_found(cases, 20, [](std::uint64_t seed) { return random_pipelines(seed); });
}

// Cancels the first job of a chain while another job uses the team's whole limit, so that the last job of the
// chain cannot start in any case. The last job is not cancelled itself, but must be reported as cancelled
// within the cancellation limit. Stores the last reported state of that job in `last_state`.
Outcome cancel_first_job_of_chain(SeededBug seeded_bug,
                                  std::optional<protocol::JobState>* last_state = nullptr) {
  auto options = Options::scripted();
  options.seeded_bug = seeded_bug;
  World world(options);
  auto first_job = array_job("run-1", 2);
  auto middle_job = array_job("run-2", 1);
  auto last_job = array_job("run-3", 1);
  middle_job.depends_on = {first_job.id};
  last_job.depends_on = {middle_job.id};
  world.submit(2, first_job, 0, 200);
  world.submit(4, array_job("run-9", static_cast<std::uint32_t>(kTeamCpus)), 0, 100);
  world.submit(10, middle_job, 1);
  world.submit(11, last_job, 2);
  for (double delay : {12.0, 13.5}) world.cancel(delay, first_job.id, 0);
  for (double at_s = 14; at_s < 60; at_s += 2) world.poll_all(at_s, last_job.id);
  auto outcome = world.run();
  if (auto response = world.last_response(last_job.id, UserRequest::kStatus); response && last_state)
    *last_state = response->state;
  return outcome;
}

TEST_F(Pipelines, CancellingTheFirstJobOfAChainCancelsTheLastInTime) {
  std::optional<protocol::JobState> last_state;
  auto outcome = cancel_first_job_of_chain(SeededBug::kNone, &last_state);
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
  EXPECT_EQ(last_state, protocol::JobState::kCancelled);
  outcome = cancel_first_job_of_chain(SeededBug::kDependenciesDropped);
  EXPECT_TRUE(outcome.violations.contains("orphaned")) << outcome.first_violation;
}

}  // namespace
}  // namespace beaconsill::sim
