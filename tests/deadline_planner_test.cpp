// Due times by deadlines and objectives, and how long a job of which nothing has begun waits.
#include "scheduler/deadline_planner.h"

#include <gtest/gtest.h>

namespace beaconsill::scheduler {
namespace {

using Times = std::vector<std::int64_t>;

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

TEST(DeadlinePlanner, DueTimesByObjectiveAndDeadline) {
  struct Case {
    const char* what;
    const char* job_class;
    std::optional<double> deadline_s;
    std::optional<WallMs> counts_from;
    Times due_ms;
  };
  const Case cases[] = {
      {"deadlines count from the submission", "day", 100, WallMs(5000), {101000, 151000}},
      {"also before its dependencies are done", "day", 100, std::nullopt, {101000, 151000}},
      {"no deadline", "day", std::nullopt, WallMs(5000), {}},
      {"finished, from when it could begin", "night", std::nullopt, WallMs(5000), {65000}},
      {"not known yet", "night", std::nullopt, std::nullopt, {}},
      {"started, and a run time later complete", "step", std::nullopt, WallMs(5000), {55000}},
      {"a deadline without an objective", "other", 100, WallMs(5000), {101000}},
      {"the objective replaces the deadline", "night", 100, WallMs(5000), {65000}},
  };
  for (const auto& test_case : cases)
    EXPECT_EQ(planner().due_times(record(test_case.job_class, test_case.deadline_s), test_case.counts_from),
              test_case.due_ms)
        << test_case.what;
}

TEST(DeadlinePlanner, OnlyJobsThatGotNothingStarve) {
  JobEntry entry;
  entry.record = record("night", std::nullopt);
  entry.counts_from = WallMs(1000);
  EXPECT_DOUBLE_EQ(planner().waits_in_limits(entry, WallMs(51000)), 0.5);
  EXPECT_DOUBLE_EQ(planner().waits_in_limits(entry, WallMs(151000)), 1.5);
  EXPECT_EQ(DeadlinePlanner({}, Duration(0)).waits_in_limits(entry, WallMs(151000)), 0);
  entry.outstanding_tasks = 1;
  EXPECT_EQ(planner().waits_in_limits(entry, WallMs(151000)), 0);
  entry.outstanding_tasks = 0;
  entry.done = Ranges::span(0, 1);
  EXPECT_EQ(planner().waits_in_limits(entry, WallMs(151000)), 0);
}

TEST(DeadlinePlanner, StartTimesLeaveOutCrashLoopsAndWhatCanMeetNoDueTime) {
  JobTable jobs;
  for (const auto* id : {"fits", "late", "failing"}) {
    auto& entry = jobs.find_or_insert(JobId(id));
    entry.record = record("night", std::nullopt);
    entry.pending = Ranges::span(0, 4);
    entry.requirement.due_ms = {id == std::string("late") ? 500 : 201000};
    jobs.index(JobId(id), entry);
  }
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(JobId("failing"), protocol::JobHealth::kFailing, std::nullopt, Instant{});
  auto starts = planner().plan_start_times(jobs, crash_loops, WallMs(1000));
  // Due in 200 s, less half its run time of 10 s.
  EXPECT_EQ(starts, (StartTimes{{JobId("fits"), 195}}));
}

}  // namespace
}  // namespace beaconsill::scheduler
