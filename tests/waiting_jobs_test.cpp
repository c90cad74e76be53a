// Which jobs wait, how many of their tasks may be granted, and what is demanded for them.
#include "scheduler/waiting_jobs.h"

#include <gtest/gtest.h>

#include "job_table_fixture.h"

namespace beaconsill::scheduler {
namespace {

using Ids = std::vector<std::string>;

Instant at(double seconds) {
  return JobTableFixture::at(seconds);
}

// Team "blue", limited to so many CPUs.
std::vector<config::TeamSettings> limited_to(double cpus) {
  return {{Team("blue"), 0, cpus, 0, 0}};
}

void make_oversized(JobEntry& entry) {
  entry.oversized_at = 1;
}

Ids ids(const std::vector<QueuedJob>& jobs) {
  Ids result;
  for (const auto& job : jobs) result.push_back(job.id.value());
  return result;
}

TEST(WaitingJobs, GrantableTasksAreThePendingOnesWithinTheLimit) {
  struct Case {
    const char* what;
    double limit;
    double used;
    std::uint32_t grantable;  // of 10 pending tasks
  };
  const Case cases[] = {{"no limit", 0, 50, 10},
                        {"a limit beyond them", 20, 0, 10},
                        {"a limit", 8, 3, 5},
                        {"used up", 8, 8, 0}};
  for (const auto& test_case : cases) {
    JobTableFixture fixture(limited_to(test_case.limit));
    const auto& entry = fixture.add("run-1", 10);
    const TeamUsage usage({{Team("blue"), {test_case.used, 0, 0}}});
    EXPECT_EQ(fixture.waiting().grantable_tasks(JobId("run-1"), entry, usage, at(1)), test_case.grantable)
        << test_case.what;
  }
}

TEST(WaitingJobs, InCrashLoopBackOffOneTaskIsGrantableAtATime) {
  struct Case {
    const char* what;
    void (*change_spec)(protocol::JobSpec&);
    std::uint32_t outstanding;
    double time;              // it failed at 0, and is due after 2 s
    std::uint32_t grantable;  // of 10 pending tasks
  };
  const Case cases[] = {
      {"not yet due", nullptr, 0, 1, 0},
      {"due", nullptr, 0, 2, 1},
      {"due, with a task outstanding", nullptr, 1, 2, 0},
      {"a gang goes as a whole", make_gang, 0, 2, 10},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture;
    auto& entry = fixture.add("run-1", 10, test_case.change_spec);
    entry.outstanding_tasks = test_case.outstanding;
    fixture.fail("run-1", at(0));
    EXPECT_EQ(fixture.waiting().grantable_tasks(JobId("run-1"), entry, {}, at(test_case.time)),
              test_case.grantable)
        << test_case.what;
  }
}

TEST(WaitingJobs, ServingOrderLeavesOutWhatCannotBeGranted) {
  struct Case {
    const char* what;
    double limit;
    void (*change_spec)(protocol::JobSpec&);
    void (*change_entry)(JobEntry&);
    bool served;  // a job of 10 tasks
  };
  const Case cases[] = {
      {"an array", 0, nullptr, nullptr, true},
      {"an array beyond its team's limit in part", 8, nullptr, nullptr, true},
      {"a gang", 0, make_gang, nullptr, true},
      {"a gang beyond its team's limit in part", 8, make_gang, nullptr, false},
      {"grants that don't fit into a value", 0, nullptr, make_oversized, false},
      {"nothing pending", 0, nullptr, [](JobEntry& entry) { entry.pending = {}; }, false},
      {"over", 0, nullptr, [](JobEntry& entry) { entry.terminal_state = state_store::TerminalState::kDone; },
       false},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture(limited_to(test_case.limit));
    fixture.add("run-1", 10, test_case.change_spec, test_case.change_entry);
    auto served = fixture.waiting().in_serving_order(at(1), WallMs(0), false);
    EXPECT_EQ(!served.empty(), test_case.served) << test_case.what;
  }
}

TEST(WaitingJobs, ServicesOnlyLeavesOutArraysAndGangs) {
  JobTableFixture fixture;
  fixture.add("array", 1);
  fixture.add("gang", 1, make_gang);
  fixture.add("service", 1, make_service);
  EXPECT_EQ(ids(fixture.waiting().in_serving_order(at(1), WallMs(0), true)), Ids{"service"});
  EXPECT_EQ(fixture.waiting().in_serving_order(at(1), WallMs(0), false).size(), 3u);
}

TEST(WaitingJobs, AnyServiceIsOneThatMayBeGrantedTasks) {
  struct Case {
    const char* what;
    double limit;
    void (*change_spec)(protocol::JobSpec&);
    void (*change_entry)(JobEntry&);
    bool any;
  };
  const Case cases[] = {
      {"a service", 0, make_service, nullptr, true},
      {"an array", 0, nullptr, nullptr, false},
      {"a service whose tasks are too large for the limit", 0.5, make_service, nullptr, false},
      {"a service whose grants don't fit into a value", 0, make_service, make_oversized, false},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture(limited_to(test_case.limit));
    fixture.add("run-1", 2, test_case.change_spec, test_case.change_entry);
    EXPECT_EQ(fixture.waiting().any_service(at(1)), test_case.any) << test_case.what;
  }
}

TEST(WaitingJobs, StarvationGrowsWithTheWait) {
  struct Case {
    std::int64_t wall_ms;  // submitted at 0, the longest wait is 100 s
    Starvation starvation;
  };
  const Case cases[] = {{99'999, Starvation::kNone},
                        {100'000, Starvation::kBeforeEquals},
                        {129'999, Starvation::kBeforeEquals},
                        {130'000, Starvation::kBeforeAll}};
  for (const auto& test_case : cases) {
    JobTableFixture fixture;
    fixture.add("run-1", 1);
    auto served = fixture.waiting().in_serving_order(at(1), WallMs(test_case.wall_ms), false);
    ASSERT_EQ(served.size(), 1u);
    EXPECT_EQ(served[0].starvation, test_case.starvation) << test_case.wall_ms;
  }
}

TEST(WaitingJobs, JobsInCrashLoopBackOffDoNotStarve) {
  JobTableFixture fixture;
  const auto& entry = fixture.add("run-1", 1);
  EXPECT_DOUBLE_EQ(fixture.waiting().waits_in_limits(JobId("run-1"), entry, WallMs(150'000)), 1.5);
  fixture.fail("run-1", at(0));
  EXPECT_EQ(fixture.waiting().waits_in_limits(JobId("run-1"), entry, WallMs(150'000)), 0);
}

// Jobs of one team share its limit: what one demands the next can't.
TEST(WaitingJobs, DemandStaysWithinTheTeamsLimit) {
  JobTableFixture fixture(limited_to(8));
  fixture.add("run-1", 6);
  fixture.add("run-2", 6);
  fixture.add("run-3", 6);
  auto demand = fixture.waiting().demand(at(3));
  ASSERT_EQ(demand.size(), 2u);
  EXPECT_EQ(demand[0].resource_request.wanted, 6u);
  EXPECT_EQ(demand[1].resource_request.wanted, 2u);
  EXPECT_EQ(demand[0].waited, std::chrono::seconds(3));
}

TEST(WaitingJobs, DemandForReleasedTasksIsNotChargedTwice) {
  JobTableFixture fixture(limited_to(8));
  // Its 6 tasks are charged, and 4 of them were released by message.
  auto& entry = fixture.add("run-1", 6, {}, [](JobEntry& changed) {
    changed.pending = Ranges::span(0, 4);
    changed.charged_tasks = 6;
    changed.released_by_message_tasks = 4;
  });
  fixture.quota.charge(entry);
  fixture.add("run-2", 6);
  auto demand = fixture.waiting().demand(at(1));
  ASSERT_EQ(demand.size(), 2u);
  EXPECT_EQ(demand[0].resource_request.wanted, 4u);
  EXPECT_EQ(demand[1].resource_request.wanted, 2u);
}

}  // namespace
}  // namespace beaconsill::scheduler
