// Runs random schedules of the simulation with lost, delayed and repeated messages, crashes, pauses and
// partitions. `--seeds N` sets the number of schedules, `--first S` the first seed, `--pipelines N` adds jobs
// that depend on others, `--operations` adds the faults that operators reported, and `--checkpoints` lets
// preempted tasks save checkpoints on few machines. Equal seeds give equal schedules, so that a failure can
// be reproduced. `--digest` prints digests of the controllers' decisions instead of running the tests: two
// builds that print equal lines make the same decisions.
#include <gtest/gtest.h>

#include <CLI/CLI.hpp>
#include <cinttypes>
#include <cstdio>

#include "sim/expectations.h"

namespace beaconsill::sim {
namespace {

int seeds = 12;
std::uint64_t first = 1;
int pipelines = 0;
bool operations = false;
bool checkpoints = false;

TEST(Simulation, InvariantsHoldAndEveryJobIsServed) {
  int shard_acquisitions = 0;
  int answered = 0;
  for (int i = 0; i < seeds; ++i) {
    Options options;
    options.seed = first + static_cast<std::uint64_t>(i);
    options.pipelines = pipelines;
    options.operations = operations;
    if (checkpoints) options.enable_checkpoints();
    auto outcome = World(options).run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << options.seed << ": " << outcome.first_violation;
    EXPECT_GT(outcome.started, 50) << "seed " << options.seed;
    shard_acquisitions += outcome.shard_acquisitions;
    answered += outcome.answered;
  }
  EXPECT_GT(shard_acquisitions, 5 * seeds);  // the schedules cause failovers
  EXPECT_GT(answered, 100 * seeds);
}

// Regression test with seeds that violated an invariant before a bug was fixed. The comment after the seeds
// names the violated invariant and the unit test of the fix.
TEST(Simulation, InvariantsHoldForPreviouslyViolatingSeeds) {
  const std::uint64_t violating_seeds[] = {
      24,   107, 646, 763,  // quota: Quota.IndeterminateGrantIsSupersededByTheNextTransaction
      1366,                 // quota: Quota.ReleasedTasksBeyondTheLimitAreNotAllGrantedAgain
  };
  for (auto seed : violating_seeds) {
    Options options;
    options.seed = seed;
    auto outcome = World(options).run();
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << outcome.first_violation;
  }
}

TEST(Simulation, InvariantsHoldWithSeveralHundredMachines) {
  Options options;
  options.seed = first;
  options.machines = 300;
  options.jobs = 90;
  options.random_faults_until_s = 40;
  auto outcome = World(options).run();
  EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
}

// Checks that the invariant checker is able to detect violations.
TEST(Simulation, InvariantCheckerDetectsSeededBugs) {
  const SeededBugCase cases[] = {
      {SeededBug::kRegistryNotRead, "ran_twice", ""},
      {SeededBug::kCancellationsIgnored, "ran_cancelled", ""},
      {SeededBug::kNoFencing, "ran_twice", ""},
      {SeededBug::kReleasesNotReported, "starved", ""},
      {SeededBug::kTeamLimitIgnored, "quota", ""},
      {SeededBug::kCompletedTooEarly, "not_done", ""},
      {SeededBug::kStaleHeartbeatsAccepted, "ran_twice", ""},
      {SeededBug::kZoneDropped, "wrong_place", ""},
      {SeededBug::kZoneConstraintsDropped, "wrong_place", "other tasks are in another zone"},
      {SeededBug::kZoneConstraintsDropped, "wrong_place", "too many tasks of the job"},
      {SeededBug::kNoReadBarrierForKnownJobs, "went_back", "no longer reported as completed or cancelled"},
      {SeededBug::kNoReadBarrier, "forgotten", "status 404"},
      {SeededBug::kOutageReadsAsEmpty, "forgotten", "status 404"},
      {SeededBug::kRepeatedSubmissionRejected, "forgotten", "to a repeated submission"},
      {SeededBug::kUnknownJobsReported, "invented", ""},
      {SeededBug::kCompletedRecordedAsCancelled, "went_back",
       "reported as cancelled without a cancellation request"},
      {SeededBug::kNoSizeLimit, "accepted_bad", ""},
      {SeededBug::kCallbackLost, "forgotten", "no request about"},
      {SeededBug::kJobSkipped, "starved", "run-2 waits although it could run"},
  };
  expect_bugs_found(cases, 40, [](std::uint64_t seed) {
    Options options;
    options.seed = seed;
    return options;
  });
}

// ---- Digests

Options default_schedule(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  return options;
}

Options operations_schedule(std::uint64_t seed) {
  auto options = default_schedule(seed);
  options.operations = true;
  return options;
}

Options pipelines_schedule(std::uint64_t seed) {
  auto options = default_schedule(seed);
  options.jobs = 14;
  options.pipelines = 10;
  return options;
}

// Runs a schedule and prints its digest. Returns false if an invariant was violated, which ends the schedule
// early.
bool print_digest(const char* kind, const Options& options) {
  const auto outcome = World(options).run();
  std::printf("seed %" PRIu64 " digest 0x%016" PRIx64 " %s\n", options.seed, outcome.digest, kind);
  if (outcome.violations.empty()) return true;
  std::fprintf(stderr, "seed %" PRIu64 " %s: %s\n", options.seed, kind, outcome.first_violation.c_str());
  return false;
}

// Prints one line for each seed and kind of schedule. Returns false if an invariant was violated.
bool print_digests() {
  bool invariants_held = true;
  for (int i = 0; i < seeds; ++i) {
    const auto seed = first + static_cast<std::uint64_t>(i);
    invariants_held &= print_digest("default", default_schedule(seed));
    invariants_held &= print_digest("operations", operations_schedule(seed));
    invariants_held &= print_digest("pipelines", pipelines_schedule(seed));
  }
  return invariants_held;
}

}  // namespace
}  // namespace beaconsill::sim

// An uncaught exception is meant to terminate the program with an error.
int main(int argc, char** argv) {  // NOLINT(bugprone-exception-escape)
  testing::InitGoogleTest(&argc, argv);
  CLI::App app("Seeded schedules of faults");
  app.add_option("--seeds", beaconsill::sim::seeds, "number of schedules")->check(CLI::PositiveNumber);
  app.add_option("--first", beaconsill::sim::first, "the first seed");
  auto* pipelines =
      app.add_option("--pipelines", beaconsill::sim::pipelines, "number of pipelines in each schedule");
  auto* operations = app.add_flag("--operations", beaconsill::sim::operations,
                                  "also inject the faults that operators reported, see sim/fault.h");
  auto* checkpoints = app.add_flag("--checkpoints", beaconsill::sim::checkpoints,
                                   "few machines, on which preempted tasks save checkpoints");
  bool digest = false;
  app.add_flag("--digest", digest, "print the digests of schedules of all kinds, and run no test")
      ->excludes(pipelines)
      ->excludes(operations)
      ->excludes(checkpoints);
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  if (digest) return beaconsill::sim::print_digests() ? 0 : 1;
  return RUN_ALL_TESTS();
}
