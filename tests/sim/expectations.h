// Test helpers that run simulated schedules and check that no invariant is violated, or that the invariant
// checker detects a bug seeded into the controllers.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <span>
#include <string>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {

// A scripted schedule with several concurrent faults.
struct FaultScenario {
  const char* name;
  std::function<void(World&)> script;
};

// Requests common to all scenarios of a test. `before` is called before the scenario's script, and `after`
// after it.
struct Workload {
  std::function<void(World&)> before = [](World&) {};
  std::function<void(World&)> after = [](World&) {};
};

// A range of `count` consecutive seeds.
struct Seeds {
  std::uint64_t first = 1;
  std::uint64_t count = 1;
};

// A seeded bug and the violation that must be reported for it.
struct SeededBugCase {
  SeededBug bug;
  const char* invariant;
  const char* detail = "";  // must occur in the description of the first violation
};

inline Outcome run_scenario(const FaultScenario& scenario, const Options& options, const Workload& workload) {
  spdlog::set_level(spdlog::level::off);
  World world(options);
  workload.before(world);
  scenario.script(world);
  workload.after(world);
  return world.run();
}

// Runs each scenario with each seed. With `noise`, single messages are occasionally lost, delayed or
// repeated.
inline void expect_no_violations(std::span<const FaultScenario> scenarios, Seeds seeds, bool noise,
                                 const Workload& workload = {}) {
  for (const auto& scenario : scenarios)
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
      auto options = Options::scripted(seed);
      options.noise = noise;
      auto outcome = run_scenario(scenario, options, workload);
      EXPECT_TRUE(outcome.violations.empty())
          << scenario.name << ", seed " << seed << ": " << outcome.first_violation;
      EXPECT_GT(outcome.started, 0) << scenario.name << ", seed " << seed << ": no task was started";
    }
}

// Checks that the scenarios are able to detect bugs: each seeded bug must cause the expected violation in at
// least one scenario with one of the seeds.
inline void expect_bugs_found(std::span<const SeededBugCase> cases, std::span<const FaultScenario> scenarios,
                              Seeds seeds, bool noise, const Workload& workload = {}) {
  for (const auto& bug_case : cases) {
    int found = 0;
    for (const auto& scenario : scenarios)
      for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count && found == 0; ++seed) {
        auto options = Options::scripted(seed);
        options.noise = noise;
        options.seeded_bug = bug_case.bug;
        found += run_scenario(scenario, options, workload).violations[bug_case.invariant];
      }
    EXPECT_GT(found, 0) << "seeded bug " << static_cast<int>(bug_case.bug) << ": no violation of "
                        << bug_case.invariant;
  }
}

// The same for random schedules: each seeded bug must cause the expected violation with one of the seeds from
// 1 to `seeds`.
inline void expect_bugs_found(std::span<const SeededBugCase> cases, std::uint64_t seeds,
                              const std::function<Options(std::uint64_t)>& options_of_seed) {
  for (const auto& bug_case : cases) {
    bool found = false;
    std::string last_violation;
    for (std::uint64_t seed = 1; seed <= seeds && !found; ++seed) {
      auto options = options_of_seed(seed);
      options.seeded_bug = bug_case.bug;
      auto outcome = World(options).run();
      found = outcome.violations.contains(bug_case.invariant) &&
              outcome.first_violation.find(bug_case.detail) != std::string::npos;
      if (!outcome.first_violation.empty()) last_violation = outcome.first_violation;
    }
    EXPECT_TRUE(found) << "seeded bug " << static_cast<int>(bug_case.bug) << ": expected violation "
                       << bug_case.invariant << ' ' << bug_case.detail
                       << ", last violation seen: " << last_violation;
  }
}

}  // namespace beaconsill::sim
