// Tests the scheduling of pipelines of dependent jobs: a job is granted tasks only after its dependencies are
// done, and inherits priority and due times from the jobs that depend on it. Also tests the size of grants.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

JobId job_id(std::size_t number) {
  return JobId("run-" + std::to_string(100000 + number));
}

struct PipelineFixture {
  PipelineFixture()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 4, 10, 0, 0}},
                  {{"deadline", "last", 0.9, 0, 1},
                   {"deadline", "last", 0.9, 0, 1.5},
                   {"wait", "step", 0.9, 40, 1}}) {}

  void add_job(std::size_t number, std::vector<JobId> depends_on,
               std::function<void(protocol::JobSpec&)> change = {}) {
    protocol::JobSpec spec;
    spec.id = job_id(number);
    spec.team = Team("blue");
    spec.tasks = 2;
    spec.each = {1, 0, 1};
    spec.estimate_s = 10;
    spec.depends_on = std::move(depends_on);
    if (change) change(spec);
    jobs[number].record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    jobs[number].created = Revision(1);
    publish(number);
  }
  void publish(std::size_t number, std::optional<state_store::TerminalState> terminal_state = std::nullopt) {
    scheduler.on_job(job_id(number), &jobs[number], terminal_state, at(0),
                     ready_since.contains(number) ? std::optional(ready_since[number]) : std::nullopt);
  }
  // Marks the last of the job's dependencies as done at `wall_ms`.
  void complete_dependencies(std::size_t number, std::int64_t wall_ms) {
    ready_since[number] = WallMs(wall_ms);
    publish(number);
  }
  // Runs a round with ample capacity and returns the jobs that are granted tasks, in their order. The grants
  // are not recorded.
  std::vector<JobId> run_round(double time, double wall_s = 0) {
    auto estimate_request =
        scheduler.begin_round(at(time), WallMs(static_cast<std::int64_t>(wall_s * 1000)), {ShardId(0)});
    if (!estimate_request) return {};
    protocol::CapacityByZone capacity{{Zone("a"), 1000, 0, 0, 0}};
    scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(1),
                                    std::vector(estimate_request->resource_requests.size(), capacity)});
    auto grants =
        scheduler.decide_grants(at(time), {{ShardId(0), Term(1)}}).value_or(std::vector<Scheduler::Grant>{});
    scheduler.on_granted(grants, std::nullopt, at(time));
    std::vector<JobId> granted_jobs;
    for (const auto& grant : grants) granted_jobs.push_back(grant.job);
    return granted_jobs;
  }

  Scheduler scheduler;
  std::map<std::size_t, state_store::Job> jobs;
  std::map<std::size_t, WallMs> ready_since;
};

TEST(Pipeline, JobIsGrantedTasksOnlyAfterItsDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.add_job(1, {});
  fixture.add_job(2, {job_id(1)});
  EXPECT_EQ(fixture.run_round(1), std::vector{job_id(1)});
  // The dependent job is neither part of the demand nor completed while it waits.
  EXPECT_EQ(fixture.scheduler.demand(at(5)).size(), 1u);
  EXPECT_TRUE(fixture.scheduler.completed().empty());
  fixture.publish(1, state_store::TerminalState::kDone);
  // A dependency's terminal state isn't sufficient. The job waits until it is known when its dependencies
  // were done.
  EXPECT_TRUE(fixture.run_round(3).empty());
  EXPECT_TRUE(fixture.scheduler.has_open_jobs());
  fixture.complete_dependencies(2, 7000);
  EXPECT_EQ(fixture.run_round(5), std::vector{job_id(2)});
}

// A new leader may read the jobs of a pipeline in any order.
TEST(Pipeline, NewLeaderWaitsForDependenciesRegardlessOfOrder) {
  PipelineFixture fixture;
  fixture.ready_since[2] = WallMs(7000);
  fixture.add_job(4, {job_id(3)});
  fixture.add_job(3, {job_id(2)});
  fixture.add_job(2, {job_id(1)});
  EXPECT_EQ(fixture.run_round(1), std::vector{job_id(2)});
}

// The team's limit is 10 CPUs. All of it must be available to the job without dependencies.
TEST(Pipeline, JobThatWaitsForDependenciesUsesNoQuota) {
  PipelineFixture fixture;
  for (std::size_t number = 10; number < 30; ++number) fixture.add_job(number, {job_id(1)});
  fixture.add_job(2, {}, [](protocol::JobSpec& spec) { spec.tasks = 10; });
  ASSERT_EQ(fixture.scheduler.demand(at(5)).size(), 1u);
  EXPECT_EQ(fixture.scheduler.demand(at(5))[0].resource_request.wanted, 10u);
}

TEST(Pipeline, JobCancelledWhileItWaitsIsCollectableImmediately) {
  PipelineFixture fixture;
  fixture.add_job(2, {job_id(1)});
  fixture.publish(2, state_store::TerminalState::kCancelled);
  EXPECT_TRUE(fixture.run_round(1).empty());
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{job_id(2)});
  EXPECT_FALSE(fixture.scheduler.has_open_jobs());
}

TEST(Pipeline, DependenciesInheritAHigherPriority) {
  PipelineFixture fixture;
  fixture.add_job(1, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.add_job(5, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kNormal; });
  EXPECT_EQ(fixture.run_round(1), (std::vector{job_id(5), job_id(1)}));
  fixture.add_job(2, {job_id(1)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.add_job(3, {job_id(2)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
  EXPECT_EQ(fixture.run_round(3), (std::vector{job_id(1), job_id(5)}));
}

// The shards need the priority to estimate which tasks could be preempted, and to start the granted tasks
// with it.
TEST(Pipeline, RequestsAndGrantsCarryTheInheritedPriority) {
  PipelineFixture fixture;
  fixture.add_job(1, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.add_job(5, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kNormal; });
  fixture.add_job(2, {job_id(1)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
  auto estimate_request = fixture.scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  ASSERT_EQ(estimate_request->resource_requests.size(), 2u);
  EXPECT_EQ(estimate_request->resource_requests[0].priority, Priority::kHigh);
  EXPECT_EQ(estimate_request->resource_requests[1].priority, Priority::kNormal);
  protocol::CapacityByZone capacity{{Zone("a"), 1000, 0, 0, 0}};
  fixture.scheduler.on_estimate_response(
      {estimate_request->round, ShardId(0), Term(1), Revision(1), {capacity, capacity}});
  auto grants = fixture.scheduler.decide_grants(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 2);
  EXPECT_EQ((*grants)[0].grants.chunks.at(0).priority, Priority::kHigh);
  EXPECT_FALSE((*grants)[1].grants.chunks.at(0).priority);
  for (const auto& grant : *grants)
    EXPECT_EQ(state_store::parse_grants(state_store::to_json(grant.grants)).chunks, grant.grants.chunks);
  EXPECT_THROW(state_store::parse_grants(
                   protocol::parse_json(R"({"last":1,"chunks":[{"g":1,"p":0,"t":1,"r":"0","q":9}]})")),
               protocol::ProtocolError);
}

// Regression test: a fixed limit of 2,000 tasks made the rest of a large array wait although there was
// capacity.
TEST(GrantSize, LargeArrayIsGrantedAllFreeCapacity) {
  Scheduler scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                      {{Team("blue"), 0, 0, 0, 0}}, {});
  state_store::Job job;
  protocol::JobSpec spec;
  spec.id = job_id(1);
  spec.team = Team("blue");
  spec.tasks = protocol::kMaxTasks;
  spec.each = {1, 0, 1};
  job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
  scheduler.on_job(job_id(1), &job, std::nullopt, at(0));
  auto estimate_request = scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  scheduler.on_estimate_response(
      {estimate_request->round, ShardId(0), Term(1), Revision(1), {{{Zone("a"), 48000, 0, 0, 0}}}});
  auto grants = scheduler.decide_grants(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  EXPECT_EQ((*grants)[0].grants.chunks.at(0).tasks.count(), 48000u);
}

TEST(InheritedRequirements, DependenciesInheritEarliestDueTimesOverAllPaths) {
  struct Waiting {
    std::size_t job;
    std::vector<std::size_t> depends_on;
    int lead_time_s;
    std::vector<std::int64_t> due_ms;
  };
  struct Case {
    const char* description;
    std::vector<Waiting> pipeline;
    std::map<std::size_t, std::vector<std::int64_t>> expected_due_ms;
  };
  const Case cases[] = {
      {"a chain",
       {{2, {1}, 10, {}}, {3, {2}, 20, {100000, 150000}}},
       {{2, {80000, 130000}}, {1, {70000, 120000}}}},
      {"a diamond: the longer path determines the due time",
       {{2, {1}, 10, {}}, {3, {1}, 30, {}}, {4, {2, 3}, 20, {100000}}},
       {{2, {80000}}, {3, {80000}}, {1, {50000}}}},
      {"two pipelines through one job: the earlier due times",
       {{2, {1}, 10, {90000}}, {3, {1}, 10, {50000, 99000}}},
       {{1, {40000, 89000}}}},
      {"an earlier due time of the job itself takes precedence",
       {{2, {1}, 10, {30000}}, {3, {2}, 10, {100000}}},
       {{1, {20000}}}},
      {"no due times", {{2, {1}, 10, {}}, {3, {2}, 10, {}}}, {{1, {}}}},
  };
  for (const auto& test_case : cases) {
    for (bool reversed : {false, true}) {
      InheritedRequirements requirements;
      auto pipeline = test_case.pipeline;
      if (reversed) std::reverse(pipeline.begin(), pipeline.end());
      for (const auto& waiting : pipeline) {
        std::vector<JobId> depends_on;
        for (auto number : waiting.depends_on) depends_on.push_back(job_id(number));
        requirements.on_wait_started(job_id(waiting.job), depends_on, {Priority::kNormal, waiting.due_ms},
                                     std::chrono::seconds(waiting.lead_time_s));
      }
      for (const auto& [job, due_ms] : test_case.expected_due_ms)
        EXPECT_EQ(requirements.inherited_by(job_id(job)).due_ms, due_ms)
            << test_case.description << " " << job;
    }
  }
}

// Deadlines are relative to the submission, all other due times to the completion of the dependencies.
TEST(Pipeline, DueTimesOtherThanDeadlinesStartWhenDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.add_job(1, {job_id(9)}, [](protocol::JobSpec& spec) { spec.job_class = "step"; });
  fixture.add_job(2, {job_id(9)}, [](protocol::JobSpec& spec) {
    spec.job_class = "last";
    spec.deadline_s = 100;
  });
  fixture.complete_dependencies(1, 60000);
  fixture.complete_dependencies(2, 60000);
  // The due time is 40 s plus a run time of 10 s after the dependencies were done at 60 s.
  EXPECT_FALSE(fixture.scheduler.lateness(job_id(1), WallMs(109000)));
  EXPECT_TRUE(fixture.scheduler.lateness(job_id(1), WallMs(111000)));
  EXPECT_FALSE(fixture.scheduler.lateness(job_id(2), WallMs(99000)));
  EXPECT_TRUE(fixture.scheduler.lateness(job_id(2), WallMs(101000)));
}

// A job that waited for its dependencies for a long time isn't starving when they are done. The longest wait
// of 100 s starts only then.
TEST(Pipeline, LongestWaitStartsWhenDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.add_job(1, {job_id(9)});
  fixture.add_job(2, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
  fixture.jobs[2].record.submitted = WallMs(900000);
  fixture.publish(2);
  fixture.complete_dependencies(1, 890000);
  EXPECT_EQ(fixture.run_round(1, 900), (std::vector{job_id(2), job_id(1)}));
  EXPECT_EQ(fixture.run_round(3, 1030), (std::vector{job_id(1), job_id(2)}));
}

// The grants of an array whose tasks end in arbitrary order must not become too large. A chunk that is
// written again includes tasks that are recorded as done if that takes fewer ranges, but never released
// tasks.
TEST(GrantSize, ChunksIncludeRecordedTasksIfThatTakesFewerRanges) {
  PipelineFixture fixture;
  fixture.add_job(1, {}, [](protocol::JobSpec& spec) {
    spec.tasks = 40;
    spec.each = {0.1, 0, 1};
  });
  auto& job = fixture.jobs[1];
  job.grants = {
      {{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 30), std::nullopt, false, {}}}, Generation(1)},
      Revision(5)};
  Ranges done;
  for (std::uint32_t i = 0; i < 30; i += 2) done.add(i);
  job.progress[ShardId(0)] = {{done, {{Generation(1), Ranges::span(25, 30)}}}, Revision(6)};
  fixture.publish(1);
  auto estimate_request = fixture.scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  protocol::CapacityByZone capacity{{Zone("a"), 1000, 0, 0, 0}};
  fixture.scheduler.on_estimate_response(
      {estimate_request->round, ShardId(0), Term(1), Revision(9), {capacity}});
  auto grants = fixture.scheduler.decide_grants(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  const auto& chunks = grants->at(0).grants.chunks;
  ASSERT_EQ(chunks.size(), 2u);
  EXPECT_EQ(chunks[0].tasks, Ranges::span(0, 25));
  // The new chunk contains only pending tasks.
  Ranges pending = Ranges::span(25, 40);
  pending.remove(done);
  EXPECT_EQ(chunks[1].tasks, pending);
}

// Regression test: in a simulation with a smaller size limit for values, two arrays whose grants exceeded the
// limit took places in every round.
TEST(GrantSize, JobWithOversizedGrantsTakesPartInNoRoundUntilTheyAreSmaller) {
  PipelineFixture fixture;
  fixture.add_job(1, {}, [](protocol::JobSpec& spec) { spec.tasks = 9; });
  auto& job = fixture.jobs[1];
  for (std::uint32_t i = 0; i < 4; ++i)
    job.grants.value.chunks.push_back(
        {Generation(i + 1), ShardId(0), Term(1), Ranges::span(i, i + 1), std::nullopt, false, {}});
  job.grants.value.last = Generation(4);
  job.grants.revision = Revision(5);
  fixture.publish(1);
  EXPECT_EQ(fixture.run_round(1), std::vector{job_id(1)});
  fixture.scheduler.on_oversized(job_id(1));
  fixture.publish(1);
  EXPECT_TRUE(fixture.run_round(3).empty());
  job.progress[ShardId(0)] = {{Ranges::span(0, 2), {}}, Revision(6)};
  fixture.publish(1);
  EXPECT_EQ(fixture.run_round(5), std::vector{job_id(1)});
}

TEST(InheritedRequirements, VisitsOnlyDependenciesOfChangedJobs) {
  constexpr std::size_t kChainLength = 10000;
  InheritedRequirements requirements;
  for (std::size_t number = 1; number < kChainLength; ++number)
    requirements.on_wait_started(job_id(number), {job_id(number - 1)}, {Priority::kLow, {}},
                                 std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count(), kChainLength);
  auto before = requirements.visited_count();
  requirements.on_wait_started(job_id(kChainLength), {job_id(kChainLength - 1)}, {Priority::kHigh, {1 << 30}},
                               std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count() - before, kChainLength);
  EXPECT_EQ(requirements.inherited_by(job_id(0)).priority, Priority::kHigh);
  // Many jobs with the same dependency: each new job causes one visit.
  before = requirements.visited_count();
  for (std::size_t number = 1; number < kChainLength; ++number)
    requirements.on_wait_started(job_id(100000 + number), {job_id(99999)}, {Priority::kLow, {}},
                                 std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count() - before, kChainLength);
}

}  // namespace
}  // namespace beaconsill::scheduler
