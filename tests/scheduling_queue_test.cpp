// Tests the apportionment of tasks to shards, the scheduling order of jobs and the planning of start times.
#include "scheduler/scheduling_queue.h"

#include "scheduler/apportionment.h"
#include "scheduler/start_plan.h"
#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

TEST(Apportionment, DividesTasksInProportionToCapacityAndNeverExceedsIt) {
  struct Case {
    std::uint32_t tasks;
    std::vector<std::uint32_t> capacities, expected;
  };
  const Case cases[] = {
      {10, {10, 10}, {5, 5}},
      {10, {30, 10}, {8, 2}},
      {100, {3, 4}, {3, 4}},
      {1, {5, 9, 9}, {0, 1, 0}},
      {0, {5}, {0}},
      {7, {0, 0}, {0, 0}},
      {3, {1, 1, 1, 1}, {1, 1, 1, 0}},
      {100000, {100000, 100000, 100000}, {33334, 33333, 33333}},
      {5, {0, 7, 0}, {0, 5, 0}},
  };
  for (const auto& test_case : cases) {
    std::vector<ShardCapacity> capacities;
    for (std::size_t i = 0; i < test_case.capacities.size(); ++i)
      capacities.push_back({ShardId(static_cast<std::uint32_t>(i)), std::nullopt, test_case.capacities[i]});
    std::vector<std::uint32_t> actual(test_case.capacities.size());
    for (const auto& allocation : apportion(test_case.tasks, capacities))
      actual[allocation.shard.value()] = allocation.tasks;
    EXPECT_EQ(actual, test_case.expected) << test_case.tasks;
  }
}

TEST(SchedulingQueue, OrdersByPriorityThenGuaranteeThenShareThenStartTime) {
  struct Case {
    const char* description;
    std::vector<QueuedJob> jobs;
    TeamUsage usage;
    std::vector<const char*> expected_order;
  };
  auto job = [](const char* id, const char* team_name, Priority priority, std::int64_t start_by_ms,
                double cpus) {
    return QueuedJob{JobId(id),    Team(team_name),       priority, start_by_ms, start_by_ms,
                     {cpus, 0, 0}, StarvationBoost::kNone};
  };
  const Case cases[] = {
      {"higher priority first",
       {job("a", "x", Priority::kNormal, 1, 1), job("b", "y", Priority::kHigh, 9, 1)},
       {},
       {"b", "a"}},
      {"earlier start time first within a team",
       {job("a", "x", Priority::kNormal, 9, 1), job("b", "x", Priority::kNormal, 1, 1)},
       {},
       {"b", "a"}},
      {"team within its guarantee before a borrowing team",
       {job("a", "x", Priority::kNormal, 1, 1), job("b", "y", Priority::kNormal, 9, 1)},
       {{Team("x"), {10, 0, 0}}, {Team("y"), {9, 0, 0}}},
       {"b", "a"}},
      {"teams alternate according to the used share of their guarantee",
       {job("a", "x", Priority::kNormal, 1, 4), job("b", "x", Priority::kNormal, 2, 4),
        job("c", "y", Priority::kNormal, 3, 4), job("d", "y", Priority::kNormal, 4, 4)},
       {},
       {"a", "c", "b", "d"}},
  };
  for (const auto& test_case : cases) {
    std::vector<JobId> expected;
    for (auto* id : test_case.expected_order) expected.emplace_back(id);
    std::vector<JobId> actual;
    for (auto& queued : order_by_fair_share(test_case.jobs, {team("x", 10), team("y", 10)}, test_case.usage))
      actual.push_back(queued.id);
    EXPECT_EQ(actual, expected) << test_case.description;
  }
}

TEST(StartPlan, PostponesTheLargestJobIfNotAllJobsCanMeetTheirFirstDueTime) {
  struct Case {
    const char* description;
    std::vector<DeadlineJob> jobs;
    std::vector<double> expected_starts_s;  // 0 if no start is planned
    double running_cpu_s = 0;
  };
  auto job = [](const char* id, double remaining_cpu_s, std::vector<double> due_s,
                double task_run_time_s = 0) {
    return DeadlineJob{JobId(id), remaining_cpu_s, task_run_time_s, std::move(due_s)};
  };
  const Case cases[] = {
      {"all jobs meet their first due time", {job("a", 50, {10, 20}), job("b", 50, {10, 20})}, {10, 10}},
      {"one job too many: the largest is postponed",
       {job("a", 90, {10, 20}), job("b", 20, {10, 20}), job("c", 20, {10, 20})},
       {20, 10, 10}},
      {"the first due time has passed, the second is met",
       {job("a", 10, {-1, 5}), job("b", 10, {10, 20})},
       {5, 10}},
      {"no due time can be met", {job("a", 10, {-9, -1}), job("b", 10, {})}, {0, 0}},
      {"the first due time is earlier than the run time of a task", {job("a", 10, {10, 20}, 15)}, {12.5}},
      {"the last tasks end half a run time after the job's share of the work",
       {job("a", 90, {10, 20}, 4)},
       {18}},
      {"running work is completed first", {job("a", 50, {10, 20})}, {20}, 60},
      {"running work takes longer than all due times", {job("a", 50, {10, 20})}, {0}, 300},
      {"running work takes longer than the first due times",
       {job("a", 5, {10, 40}), job("b", 5, {20, 40})},
       {40, 40},
       300},
      {"a job that can't meet its due times doesn't postpone others",
       {job("a", 100, {10, 30}), job("b", 500, {10, 20})},
       {10, 0}},
      // Regression test: on days with bursts, the largest jobs were postponed to their last due time and then
      // missed it in favour of small jobs submitted later. They waited for up to ten minutes.
      {"the large job has only its last due time left: small jobs are postponed",
       {job("a", 90, {10}), job("b", 20, {5, 20}), job("c", 20, {9, 20}), job("d", 5, {9, 20})},
       {10, 20, 20, 9}},
  };
  for (const auto& test_case : cases) {
    auto planned = plan_starts(test_case.jobs, 10, test_case.running_cpu_s);
    std::vector<double> actual;
    for (const auto& deadline_job : test_case.jobs)
      actual.push_back(planned.contains(deadline_job.id) ? planned.at(deadline_job.id) : 0);
    EXPECT_EQ(actual, test_case.expected_starts_s) << test_case.description;
  }
}

// After the longest acceptable wait, a job without any granted tasks precedes other jobs of its priority, the
// oldest such job first. After an even longer wait it also precedes jobs of higher priority.
TEST(SchedulingQueue, StarvingJobsPrecedeOthersAndOldestGoesFirst) {
  struct Case {
    const char* description;
    StarvationBoost large, small, high;
    std::vector<const char*> expected_order;
  };
  constexpr auto kNone = StarvationBoost::kNone,
                 kAheadOfEqualPriority = StarvationBoost::kAheadOfEqualPriority,
                 kAheadOfAllPriorities = StarvationBoost::kAheadOfAllPriorities;
  const Case cases[] = {
      {"no starving job: by priority and start time", kNone, kNone, kNone, {"high", "small", "large"}},
      {"the large job is starving", kAheadOfEqualPriority, kNone, kNone, {"high", "large", "small"}},
      {"both normal jobs are starving: the older goes first regardless of its team's usage",
       kAheadOfEqualPriority,
       kAheadOfEqualPriority,
       kNone,
       {"high", "large", "small"}},
      {"a job that has waited even longer precedes higher priorities",
       kAheadOfAllPriorities,
       kAheadOfEqualPriority,
       kNone,
       {"large", "high", "small"}},
      {"of two jobs ahead of all priorities, the older goes first",
       kAheadOfAllPriorities,
       kNone,
       kAheadOfAllPriorities,
       {"large", "high", "small"}},
  };
  for (const auto& test_case : cases) {
    std::vector<QueuedJob> jobs{
        {JobId("large"), Team("x"), Priority::kNormal, 9, 1, {900, 0, 0}, test_case.large},
        {JobId("small"), Team("y"), Priority::kNormal, 5, 2, {1, 0, 0}, test_case.small},
        {JobId("high"), Team("y"), Priority::kHigh, 7, 3, {1, 0, 0}, test_case.high},
    };
    std::vector<std::string> actual,
        expected(test_case.expected_order.begin(), test_case.expected_order.end());
    for (auto& queued : order_by_fair_share(jobs, {team("x", 10), team("y", 10)}, {{Team("x"), {50, 0, 0}}}))
      actual.push_back(queued.id.value());
    EXPECT_EQ(actual, expected) << test_case.description;
  }
}

// Under a steady overload (12 new tasks of 1 s per second, with capacity for 10), the small jobs are always
// on time and every plan postpones the large job. The starvation boost must nevertheless start the large job.
TEST(SchedulingQueue, LargestJobStartsUnderSteadyOverload) {
  SchedulerFixture fixture;
  auto with_deadline = [](double deadline_s) {
    return [deadline_s](protocol::JobSpec& spec) {
      spec.job_class = "day";
      spec.estimate_s = 1;
      spec.deadline_s = deadline_s;
    };
  };
  std::optional<double> started_at_s;
  int last_id = 0;
  for (double time = 1; time < 240 && !started_at_s; time += 1) {
    for (int i = 0; i < 2; ++i) {
      auto id = "run-" + std::to_string(++last_id);
      fixture.job(id.c_str(), 6, with_deadline(5));
      fixture.jobs[id].record.submitted = WallMs(static_cast<std::int64_t>(time * 1000));
      fixture.publish(id.c_str(), time);
    }
    if (time == 20) {
      fixture.job("run-999", 4000, with_deadline(400));
      fixture.jobs["run-999"].record.submitted = WallMs(20000);
      fixture.publish("run-999", time);
    }
    auto grants = fixture.run_round(time, {{0, capacity(10)}, {1, {}}}, false, time);
    fixture.commit(grants, time);
    for (auto& grant : grants)
      if (grant.job == JobId("run-999")) started_at_s = time;
    // All granted tasks complete before the next round.
    for (auto& grant : grants) {
      auto& job = fixture.jobs[grant.job.value()];
      for (auto& chunk : job.grants.value.chunks) job.progress[ShardId(0)].value.done.add(chunk.tasks);
      job.progress[ShardId(0)].revision = Revision(++fixture.revision);
      fixture.publish(grant.job.value().c_str(), time);
    }
  }
  ASSERT_TRUE(started_at_s);
  EXPECT_GE(*started_at_s, 120);  // The job was submitted at 20 s; the longest wait is 100 s.
  EXPECT_LT(*started_at_s, 130);
}

// A gang needs capacity for all its tasks at once. Arrays would take any capacity that becomes free, so they
// yield to a gang while it is starving, but not without limit.
TEST(SchedulingQueue, ArraysYieldToStarvingGangForLimitedTime) {
  for (double wall_s : {50.0, 150.0, 400.0}) {
    SchedulerFixture fixture;
    fixture.job("run-1", 8, [](protocol::JobSpec& spec) { spec.kind = JobKind::kGang; });
    fixture.job("run-2", 100);
    fixture.jobs["run-2"].record.submitted = WallMs(static_cast<std::int64_t>(wall_s * 1000));
    fixture.publish("run-2", 0);
    auto grants = fixture.run_round(1, {{0, capacity(4)}, {1, {}}}, false, wall_s);
    EXPECT_EQ(grants.empty(), wall_s == 150.0) << wall_s;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
