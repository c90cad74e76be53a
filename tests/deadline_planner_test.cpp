// Tests the due times derived from deadlines and objectives, the wait ratio and the planned start times.
#include "scheduler/deadline_planner.h"

#include <gtest/gtest.h>

namespace beaconsill::scheduler {
namespace {

using WallTimesMs = std::vector<std::int64_t>;

state_store::JobRecord record(const char* job_class, std::optional<double> deadline_s) {
  protocol::JobSpec spec;
  spec.id = JobId("run-1");
  spec.job_class = job_class;
  spec.deadline_s = deadline_s;
  spec.estimate_s = 10;
  spec.tasks = 4;
  spec.each = {1, 0, 1};
  return {std::make_shared<const protocol::JobSpec>(spec), WallMs(1000)};
}

DeadlinePlanner planner() {
  return DeadlinePlanner({{"deadline", "day", 0.9, 0, 1},
                          {"deadline", "day", 0.9, 0, 1.5},
                          {"finished", "night", 0.9, 60, 1},
                          {"wait", "step", 0.9, 40, 1}},
                         std::chrono::seconds(100));
}

TEST(DeadlinePlanner, DerivesDueTimesFromObjectivesAndDeadline) {
  struct Case {
    const char* description;
    const char* job_class;
    std::optional<double> deadline_s;
    std::optional<WallMs> eligible_since;
    WallTimesMs expected_due_ms;
  };
  const Case cases[] = {
      {"deadlines are relative to the submission", "day", 100, WallMs(5000), {101000, 151000}},
      {"deadlines are known before the dependencies are done", "day", 100, std::nullopt, {101000, 151000}},
      {"deadline objectives don't apply without a deadline", "day", std::nullopt, WallMs(5000), {}},
      {"an objective of kind finished is relative to eligible_since",
       "night",
       std::nullopt,
       WallMs(5000),
       {65000}},
      {"an objective of kind finished is unknown before the dependencies are done",
       "night",
       std::nullopt,
       std::nullopt,
       {}},
      {"an objective of kind wait allows for one run time after the start",
       "step",
       std::nullopt,
       WallMs(5000),
       {55000}},
      {"the deadline applies if there is no objective", "other", 100, WallMs(5000), {101000}},
      {"the objective replaces the deadline", "night", 100, WallMs(5000), {65000}},
  };
  for (const auto& test_case : cases)
    EXPECT_EQ(
        planner().due_times(record(test_case.job_class, test_case.deadline_s), test_case.eligible_since),
        test_case.expected_due_ms)
        << test_case.description;
}

TEST(DeadlinePlanner, WaitRatioIsZeroForJobsWithOutstandingOrDoneTasks) {
  JobEntry entry;
  entry.record = record("night", std::nullopt);
  entry.eligible_since = WallMs(1000);
  EXPECT_DOUBLE_EQ(planner().wait_ratio(entry, WallMs(51000)), 0.5);
  EXPECT_DOUBLE_EQ(planner().wait_ratio(entry, WallMs(151000)), 1.5);
  EXPECT_EQ(DeadlinePlanner({}, Duration(0)).wait_ratio(entry, WallMs(151000)), 0);
  entry.outstanding_tasks = 1;
  EXPECT_EQ(planner().wait_ratio(entry, WallMs(151000)), 0);
  entry.outstanding_tasks = 0;
  entry.done = Ranges::span(0, 1);
  EXPECT_EQ(planner().wait_ratio(entry, WallMs(151000)), 0);
}

TEST(DeadlinePlanner, StartTimesOmitCrashLoopingJobsAndJobsThatCannotMeetAnyDueTime) {
  JobTable jobs;
  for (const auto* id : {"on_time", "late", "failing"}) {
    auto& entry = jobs.find_or_insert(JobId(id));
    entry.record = record("night", std::nullopt);
    entry.pending = Ranges::span(0, 4);
    entry.requirement.due_ms = {id == std::string("late") ? 500 : 201000};
    jobs.index(JobId(id), entry);
  }
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(JobId("failing"), protocol::JobHealth::kFailing, std::nullopt, Instant{});
  auto starts = planner().plan_start_times(jobs, crash_loops, WallMs(1000));
  // The job is due in 200 s; half its run time of 10 s is subtracted.
  EXPECT_EQ(starts, (StartTimes{{JobId("on_time"), 195}}));
}

}  // namespace
}  // namespace beaconsill::scheduler
