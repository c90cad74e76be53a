// What tests expect of simulated schedules: that no invariant is violated, and that a seeded bug is found.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <span>
#include <string>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {

// A scripted schedule in which several faults are concurrent.
struct FaultScenario {
  const char* name;
  std::function<void(World&)> script;
};

// The requests that all scenarios of a test share, added before and after a scenario's own.
struct Workload {
  std::function<void(World&)> before = [](World&) {};
  std::function<void(World&)> after = [](World&) {};
};

// A range of seeds.
struct Seeds {
  std::uint64_t first = 1;
  std::uint64_t count = 1;
};

// A bug, and the violation by which it has to be found.
struct SeededBugCase {
  SeededBug bug;
  const char* invariant;
  const char* detail = "";  // part of the description of the first violation
};

inline Outcome run_scenario(const FaultScenario& scenario, const Options& options, const Workload& workload) {
  spdlog::set_level(spdlog::level::off);
  World world(options);
  workload.before(world);
  scenario.script(world);
  workload.after(world);
  return world.run();
}

// Runs each scenario with each seed. `noise`: rare losses, delays and repetitions of single messages.
inline void expect_no_violations(std::span<const FaultScenario> scenarios, Seeds seeds, bool noise,
                                 const Workload& workload = {}) {
  for (const auto& scenario : scenarios)
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
      auto options = Options::scripted(seed);
      options.noise = noise;
      auto outcome = run_scenario(scenario, options, workload);
      EXPECT_TRUE(outcome.violations.empty())
          << scenario.name << ", seed " << seed << ": " << outcome.first_violation;
      EXPECT_GT(outcome.started, 0) << scenario.name;
    }
}

// A table of scenarios that can't fail shows nothing: some scenario has to find each bug.
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
    EXPECT_GT(found, 0) << bug_case.invariant;
  }
}

// The same for random schedules: one of the first `seeds` has to find each bug.
inline void expect_bugs_found(std::span<const SeededBugCase> cases, std::uint64_t seeds,
                              const std::function<Options(std::uint64_t)>& options_of_seed) {
  for (const auto& bug_case : cases) {
    bool found = false;
    std::string seen;
    for (std::uint64_t seed = 1; seed <= seeds && !found; ++seed) {
      auto options = options_of_seed(seed);
      options.seeded_bug = bug_case.bug;
      auto outcome = World(options).run();
      found = outcome.violations.contains(bug_case.invariant) &&
              outcome.first_violation.find(bug_case.detail) != std::string::npos;
      if (!outcome.first_violation.empty()) seen = outcome.first_violation;
    }
    EXPECT_TRUE(found) << "bug " << static_cast<int>(bug_case.bug) << ": no " << bug_case.invariant << ' '
                       << bug_case.detail << ", but " << seen;
  }
}

}  // namespace beaconsill::sim
