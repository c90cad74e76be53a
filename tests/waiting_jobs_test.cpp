// Tests which waiting jobs may be granted tasks, how many, in which order, and the demand derived from them.
#include "scheduler/waiting_jobs.h"

#include <gtest/gtest.h>

#include "job_table_fixture.h"

namespace beaconsill::scheduler {
namespace {

using Ids = std::vector<std::string>;

Instant at(double seconds) {
  return JobTableFixture::at(seconds);
}

// Settings of team "blue" with a limit of `cpus` CPUs; 0 means no limit.
std::vector<config::TeamSettings> team_settings_with_limit(double cpus) {
  return {{Team("blue"), 0, cpus, 0, 0}};
}

void set_oversized_grants(JobEntry& entry) {
  entry.oversized_grants_size = 1;
}

Ids ids_of(const std::vector<QueuedJob>& jobs) {
  Ids result;
  for (const auto& job : jobs) result.push_back(job.id.value());
  return result;
}

TEST(WaitingJobs, GrantableTasksArePendingTasksWithinTeamLimit) {
  struct Case {
    const char* description;
    double cpu_limit;
    double used_cpus;
    std::uint32_t grantable;  // of 10 pending tasks
  };
  const Case cases[] = {{"no limit", 0, 50, 10},
                        {"limit above the pending tasks", 20, 0, 10},
                        {"limit below the pending tasks", 8, 3, 5},
                        {"limit used up", 8, 8, 0}};
  for (const auto& test_case : cases) {
    JobTableFixture fixture(team_settings_with_limit(test_case.cpu_limit));
    const auto& entry = fixture.add("run-1", 10);
    const TeamUsage usage({{Team("blue"), {test_case.used_cpus, 0, 0}}});
    EXPECT_EQ(fixture.waiting().grantable_tasks(JobId("run-1"), entry, usage, at(1)), test_case.grantable)
        << test_case.description;
  }
}

TEST(WaitingJobs, OneTaskAtATimeIsGrantableInCrashLoopBackOff) {
  struct Case {
    const char* description;
    void (*change_spec)(protocol::JobSpec&);
    std::uint32_t outstanding;
    double time_s;            // The job failed at 0 s; its retry is due after 2 s.
    std::uint32_t grantable;  // of 10 pending tasks
  };
  const Case cases[] = {
      {"retry not yet due", nullptr, 0, 1, 0},
      {"retry due", nullptr, 0, 2, 1},
      {"retry due, but a task is outstanding", nullptr, 1, 2, 0},
      {"a gang is retried as a whole", make_gang, 0, 2, 10},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture;
    auto& entry = fixture.add("run-1", 10, test_case.change_spec);
    entry.outstanding_tasks = test_case.outstanding;
    fixture.report_failure("run-1", at(0));
    EXPECT_EQ(fixture.waiting().grantable_tasks(JobId("run-1"), entry, {}, at(test_case.time_s)),
              test_case.grantable)
        << test_case.description;
  }
}

TEST(WaitingJobs, QueueOmitsJobsThatCannotBeGrantedTasks) {
  struct Case {
    const char* description;
    double cpu_limit;
    void (*change_spec)(protocol::JobSpec&);
    void (*change_entry)(JobEntry&);
    bool queued;  // whether a job of 10 tasks is in the queue
  };
  const Case cases[] = {
      {"an array", 0, nullptr, nullptr, true},
      {"an array that exceeds its team's limit in part", 8, nullptr, nullptr, true},
      {"a gang", 0, make_gang, nullptr, true},
      {"a gang that exceeds its team's limit in part", 8, make_gang, nullptr, false},
      {"grants too large for one value in the state store", 0, nullptr, set_oversized_grants, false},
      {"no pending tasks", 0, nullptr, [](JobEntry& entry) { entry.pending = {}; }, false},
      {"terminal state", 0, nullptr,
       [](JobEntry& entry) { entry.terminal_state = state_store::TerminalState::kDone; }, false},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture(team_settings_with_limit(test_case.cpu_limit));
    fixture.add("run-1", 10, test_case.change_spec, test_case.change_entry);
    auto queue = fixture.waiting().build_queue(at(1), WallMs(0), false);
    EXPECT_EQ(!queue.empty(), test_case.queued) << test_case.description;
  }
}

TEST(WaitingJobs, ServicesOnlyQueueOmitsArraysAndGangs) {
  JobTableFixture fixture;
  fixture.add("array", 1);
  fixture.add("gang", 1, make_gang);
  fixture.add("service", 1, make_service);
  EXPECT_EQ(ids_of(fixture.waiting().build_queue(at(1), WallMs(0), true)), Ids{"service"});
  EXPECT_EQ(fixture.waiting().build_queue(at(1), WallMs(0), false).size(), 3u);
}

TEST(WaitingJobs, HasGrantableServiceOnlyIfAServiceMayBeGrantedTasks) {
  struct Case {
    const char* description;
    double cpu_limit;
    void (*change_spec)(protocol::JobSpec&);
    void (*change_entry)(JobEntry&);
    bool expected;
  };
  const Case cases[] = {
      {"a service", 0, make_service, nullptr, true},
      {"an array", 0, nullptr, nullptr, false},
      {"a service whose tasks are too large for the limit", 0.5, make_service, nullptr, false},
      {"a service whose grants are too large for one value in the state store", 0, make_service,
       set_oversized_grants, false},
  };
  for (const auto& test_case : cases) {
    JobTableFixture fixture(team_settings_with_limit(test_case.cpu_limit));
    fixture.add("run-1", 2, test_case.change_spec, test_case.change_entry);
    EXPECT_EQ(fixture.waiting().has_grantable_service(at(1)), test_case.expected) << test_case.description;
  }
}

TEST(WaitingJobs, StarvationBoostIncreasesWithWaitTime) {
  struct Case {
    std::int64_t wall_ms;  // The job was submitted at 0; the longest wait is 100 s.
    StarvationBoost expected;
  };
  const Case cases[] = {{99'999, StarvationBoost::kNone},
                        {100'000, StarvationBoost::kAheadOfEqualPriority},
                        {129'999, StarvationBoost::kAheadOfEqualPriority},
                        {130'000, StarvationBoost::kAheadOfAllPriorities}};
  for (const auto& test_case : cases) {
    JobTableFixture fixture;
    fixture.add("run-1", 1);
    auto queue = fixture.waiting().build_queue(at(1), WallMs(test_case.wall_ms), false);
    ASSERT_EQ(queue.size(), 1u);
    EXPECT_EQ(queue[0].starvation_boost, test_case.expected) << test_case.wall_ms;
  }
}

TEST(WaitingJobs, JobsInCrashLoopBackOffDoNotStarve) {
  JobTableFixture fixture;
  const auto& entry = fixture.add("run-1", 1);
  EXPECT_DOUBLE_EQ(fixture.waiting().wait_ratio(JobId("run-1"), entry, WallMs(150'000)), 1.5);
  fixture.report_failure("run-1", at(0));
  EXPECT_EQ(fixture.waiting().wait_ratio(JobId("run-1"), entry, WallMs(150'000)), 0);
}

// Jobs of one team share its limit: the demand of one job reduces what the next one may demand.
TEST(WaitingJobs, DemandOfAllJobsStaysWithinTeamLimit) {
  JobTableFixture fixture(team_settings_with_limit(8));
  fixture.add("run-1", 6);
  fixture.add("run-2", 6);
  fixture.add("run-3", 6);
  auto demand = fixture.waiting().demand(at(3));
  ASSERT_EQ(demand.size(), 2u);
  EXPECT_EQ(demand[0].resource_request.wanted, 6u);
  EXPECT_EQ(demand[1].resource_request.wanted, 2u);
  EXPECT_EQ(demand[0].waited, std::chrono::seconds(3));
}

TEST(WaitingJobs, DemandDoesNotChargeReleasedTasksTwice) {
  JobTableFixture fixture(team_settings_with_limit(8));
  // All 6 tasks are charged; the release of 4 of them was reported by message.
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
