// The scheduler and pipelines of dependent jobs: none is granted tasks before its dependencies are done, and
// what the last job needs decides the order of those before it.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

JobId run(std::size_t number) {
  return JobId("run-" + std::to_string(100000 + number));
}

struct PipelineFixture {
  PipelineFixture()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 4, 10, 0, 0}},
                  {{"deadline", "last", 0.9, 0, 1},
                   {"deadline", "last", 0.9, 0, 1.5},
                   {"wait", "step", 0.9, 40, 1}}) {}

  void job(std::size_t number, std::vector<JobId> depends_on,
           std::function<void(protocol::JobSpec&)> change = {}) {
    protocol::JobSpec spec;
    spec.id = run(number);
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
  void publish(std::size_t number, std::optional<state_store::TerminalState> end = std::nullopt) {
    scheduler.on_job(run(number), &jobs[number], end, at(0),
                     ready.contains(number) ? std::optional(ready[number]) : std::nullopt);
  }
  // The last of its dependencies is done.
  void release(std::size_t number, std::int64_t wall_ms) {
    ready[number] = WallMs(wall_ms);
    publish(number);
  }
  // The jobs granted tasks by a round with plenty of capacity, in their order; nothing is recorded.
  std::vector<JobId> granted(double time, double wall_s = 0) {
    auto estimate_request =
        scheduler.begin_round(at(time), WallMs(static_cast<std::int64_t>(wall_s * 1000)), {ShardId(0)});
    if (!estimate_request) return {};
    protocol::CapacityByZone capacity{{Zone("a"), 1000, 0, 0, 0}};
    scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(1),
                                    std::vector(estimate_request->resource_requests.size(), capacity)});
    auto grants =
        scheduler.decide_grants(at(time), {{ShardId(0), Term(1)}}).value_or(std::vector<Scheduler::Grant>{});
    scheduler.on_granted(grants, std::nullopt, at(time));
    std::vector<JobId> jobs_granted;
    for (const auto& grant : grants) jobs_granted.push_back(grant.job);
    return jobs_granted;
  }

  Scheduler scheduler;
  std::map<std::size_t, state_store::Job> jobs;
  std::map<std::size_t, WallMs> ready;
};

TEST(Pipeline, AJobIsGrantedTasksOnlyAfterItsDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.job(1, {});
  fixture.job(2, {run(1)});
  EXPECT_EQ(fixture.granted(1), std::vector{run(1)});
  // Until then it is neither demand nor completed.
  EXPECT_EQ(fixture.scheduler.demand(at(5)).size(), 1u);
  EXPECT_TRUE(fixture.scheduler.completed().empty());
  fixture.publish(1, state_store::TerminalState::kDone);
  // That the other is over isn't enough: it waits until it's known when its dependencies were done.
  EXPECT_TRUE(fixture.granted(3).empty());
  EXPECT_TRUE(fixture.scheduler.has_open_jobs());
  fixture.release(2, 7000);
  EXPECT_EQ(fixture.granted(5), std::vector{run(2)});
}

// A leader whose term begins in the middle sees the jobs in any order.
TEST(Pipeline, ANewLeaderWaitsForDependenciesAsWell) {
  PipelineFixture fixture;
  fixture.ready[2] = WallMs(7000);
  fixture.job(4, {run(3)});
  fixture.job(3, {run(2)});
  fixture.job(2, {run(1)});
  EXPECT_EQ(fixture.granted(1), std::vector{run(2)});
}

// The team's limit is 10 CPUs.
TEST(Pipeline, AJobThatWaitsForDependenciesUsesNoQuota) {
  PipelineFixture fixture;
  for (std::size_t number = 10; number < 30; ++number) fixture.job(number, {run(1)});
  fixture.job(2, {}, [](protocol::JobSpec& spec) { spec.tasks = 10; });
  ASSERT_EQ(fixture.scheduler.demand(at(5)).size(), 1u);
  EXPECT_EQ(fixture.scheduler.demand(at(5))[0].resource_request.wanted, 10u);
}

TEST(Pipeline, AJobCancelledWhileItWaitsIsCollectableAtOnce) {
  PipelineFixture fixture;
  fixture.job(2, {run(1)});
  fixture.publish(2, state_store::TerminalState::kCancelled);
  EXPECT_TRUE(fixture.granted(1).empty());
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{run(2)});
  EXPECT_FALSE(fixture.scheduler.has_open_jobs());
}

TEST(Pipeline, DependenciesInheritAHigherPriority) {
  PipelineFixture fixture;
  fixture.job(1, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.job(5, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kNormal; });
  EXPECT_EQ(fixture.granted(1), (std::vector{run(5), run(1)}));
  fixture.job(2, {run(1)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.job(3, {run(2)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
  EXPECT_EQ(fixture.granted(3), (std::vector{run(1), run(5)}));
}

// The shards estimate what they could preempt at that priority, and the grant tells it to them.
TEST(Pipeline, RequestsAndGrantsCarryTheInheritedPriority) {
  PipelineFixture fixture;
  fixture.job(1, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kLow; });
  fixture.job(5, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kNormal; });
  fixture.job(2, {run(1)}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
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

// A fixed window of 2,000 tasks kept the rest of a large array waiting though there was capacity.
TEST(GrantSize, ALargeArrayIsGrantedAllFreeCapacity) {
  Scheduler scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                      {{Team("blue"), 0, 0, 0, 0}}, {});
  state_store::Job job;
  protocol::JobSpec spec;
  spec.id = run(1);
  spec.team = Team("blue");
  spec.tasks = protocol::kMaxTasks;
  spec.each = {1, 0, 1};
  job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
  scheduler.on_job(run(1), &job, std::nullopt, at(0));
  auto estimate_request = scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  scheduler.on_estimate_response(
      {estimate_request->round, ShardId(0), Term(1), Revision(1), {{{Zone("a"), 48000, 0, 0, 0}}}});
  auto grants = scheduler.decide_grants(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  EXPECT_EQ((*grants)[0].grants.chunks.at(0).tasks.count(), 48000u);
}

TEST(InheritedRequirements, DependenciesInheritDueTimesByTheLongestPath) {
  struct Waiting {
    std::size_t job;
    std::vector<std::size_t> depends_on;
    int takes_s;
    std::vector<std::int64_t> due_ms;
  };
  struct Case {
    const char* what;
    std::vector<Waiting> pipeline;
    std::map<std::size_t, std::vector<std::int64_t>> inherited;
  };
  const Case cases[] = {
      {"a chain",
       {{2, {1}, 10, {}}, {3, {2}, 20, {100000, 150000}}},
       {{2, {80000, 130000}}, {1, {70000, 120000}}}},
      {"a diamond: by its longer side",
       {{2, {1}, 10, {}}, {3, {1}, 30, {}}, {4, {2, 3}, 20, {100000}}},
       {{2, {80000}}, {3, {80000}}, {1, {50000}}}},
      {"two pipelines through one job: the earlier",
       {{2, {1}, 10, {90000}}, {3, {1}, 10, {50000, 99000}}},
       {{1, {40000, 89000}}}},
      {"its own earlier time stands", {{2, {1}, 10, {30000}}, {3, {2}, 10, {100000}}}, {{1, {20000}}}},
      {"no deadline at all", {{2, {1}, 10, {}}, {3, {2}, 10, {}}}, {{1, {}}}},
  };
  for (const auto& test_case : cases) {
    for (bool backwards : {false, true}) {
      InheritedRequirements requirements;
      auto pipeline = test_case.pipeline;
      if (backwards) std::reverse(pipeline.begin(), pipeline.end());
      for (const auto& waiting : pipeline) {
        std::vector<JobId> depends_on;
        for (auto number : waiting.depends_on) depends_on.push_back(run(number));
        requirements.on_waiting(run(waiting.job), depends_on, {Priority::kNormal, waiting.due_ms},
                                std::chrono::seconds(waiting.takes_s));
      }
      for (const auto& [job, due_ms] : test_case.inherited)
        EXPECT_EQ(requirements.of(run(job)).due_ms, due_ms) << test_case.what << " " << job;
    }
  }
}

// A deadline counts from the submission, all other due times from when the job could begin.
TEST(Pipeline, DueTimesOtherThanDeadlinesCountFromWhenTheDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.job(1, {run(9)}, [](protocol::JobSpec& spec) { spec.job_class = "step"; });
  fixture.job(2, {run(9)}, [](protocol::JobSpec& spec) {
    spec.job_class = "last";
    spec.deadline_s = 100;
  });
  fixture.release(1, 60000);
  fixture.release(2, 60000);
  // 40 s and a run time of 10 s after it was released.
  EXPECT_FALSE(fixture.scheduler.lateness(run(1), WallMs(109000)));
  EXPECT_TRUE(fixture.scheduler.lateness(run(1), WallMs(111000)));
  EXPECT_FALSE(fixture.scheduler.lateness(run(2), WallMs(99000)));
  EXPECT_TRUE(fixture.scheduler.lateness(run(2), WallMs(101000)));
}

// A job that waited long for its dependencies isn't starving when they are done: the 100 s count from then.
TEST(Pipeline, TheLongestWaitCountsFromWhenTheDependenciesAreDone) {
  PipelineFixture fixture;
  fixture.job(1, {run(9)});
  fixture.job(2, {}, [](protocol::JobSpec& spec) { spec.priority = Priority::kHigh; });
  fixture.jobs[2].record.submitted = WallMs(900000);
  fixture.publish(2);
  fixture.release(1, 890000);
  EXPECT_EQ(fixture.granted(1, 900), (std::vector{run(2), run(1)}));
  EXPECT_EQ(fixture.granted(3, 1030), (std::vector{run(1), run(2)}));
}

// An array whose tasks end in no order: the value of its grants stays short. A chunk that is written again
// retains recorded tasks where that takes fewer ranges, but none that were released.
TEST(GrantSize, ChunksRetainRecordedTasksWhereThatIsShorter) {
  PipelineFixture fixture;
  fixture.job(1, {}, [](protocol::JobSpec& spec) {
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
  // The new one holds what is pending only.
  Ranges pending = Ranges::span(25, 40);
  pending.remove(done);
  EXPECT_EQ(chunks[1].tasks, pending);
}

// Found on the first simulated day with smaller values: two arrays whose grants didn't fit any more took
// places in every round.
TEST(GrantSize, AnOversizedJobIsInNoRoundUntilItsGrantsAreShorter) {
  PipelineFixture fixture;
  fixture.job(1, {}, [](protocol::JobSpec& spec) { spec.tasks = 9; });
  auto& job = fixture.jobs[1];
  for (std::uint32_t i = 0; i < 4; ++i)
    job.grants.value.chunks.push_back(
        {Generation(i + 1), ShardId(0), Term(1), Ranges::span(i, i + 1), std::nullopt, false, {}});
  job.grants.value.last = Generation(4);
  job.grants.revision = Revision(5);
  fixture.publish(1);
  EXPECT_EQ(fixture.granted(1), std::vector{run(1)});
  fixture.scheduler.on_oversized(run(1));
  fixture.publish(1);
  EXPECT_TRUE(fixture.granted(3).empty());
  job.progress[ShardId(0)] = {{Ranges::span(0, 2), {}}, Revision(6)};
  fixture.publish(1);
  EXPECT_EQ(fixture.granted(5), std::vector{run(1)});
}

TEST(InheritedRequirements, VisitOnlyDependenciesOfWhatChanges) {
  constexpr std::size_t kChain = 10000;
  InheritedRequirements requirements;
  for (std::size_t number = 1; number < kChain; ++number)
    requirements.on_waiting(run(number), {run(number - 1)}, {Priority::kLow, {}}, std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count(), kChain);
  auto before = requirements.visited_count();
  requirements.on_waiting(run(kChain), {run(kChain - 1)}, {Priority::kHigh, {1 << 30}},
                          std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count() - before, kChain);
  EXPECT_EQ(requirements.of(run(0)).priority, Priority::kHigh);
  // A wide fan: each new job is visited once.
  before = requirements.visited_count();
  for (std::size_t number = 1; number < kChain; ++number)
    requirements.on_waiting(run(100000 + number), {run(99999)}, {Priority::kLow, {}},
                            std::chrono::seconds(1));
  EXPECT_LE(requirements.visited_count() - before, kChain);
}

}  // namespace
}  // namespace beaconsill::scheduler
