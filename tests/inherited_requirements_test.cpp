// The leader and jobs that await others: nothing of them is served before its time, and what the last job of
// a pipeline needs orders those before it.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

JobId run(std::size_t n) {
  return JobId("run-" + std::to_string(100000 + n));
}

struct Pipeline {
  Pipeline()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 4, 10, 0, 0}},
                  {{"deadline", "last", 0.9, 0, 1},
                   {"deadline", "last", 0.9, 0, 1.5},
                   {"wait", "step", 0.9, 40, 1}}) {}

  void job(std::size_t n, std::vector<JobId> depends_on,
           std::function<void(protocol::JobSpec&)> change = {}) {
    protocol::JobSpec s;
    s.id = run(n);
    s.team = Team("blue");
    s.tasks = 2;
    s.each = {1, 0, 1};
    s.estimate_s = 10;
    s.depends_on = std::move(depends_on);
    if (change) change(s);
    jobs[n].record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    jobs[n].created = Revision(1);
    publish(n);
  }
  void publish(std::size_t n, std::optional<state_store::TerminalState> end = std::nullopt) {
    scheduler.on_job(run(n), &jobs[n], end, at(0),
                     ready.contains(n) ? std::optional(ready[n]) : std::nullopt);
  }
  void release(std::size_t n, std::int64_t wall_ms) {
    ready[n] = WallMs(wall_ms);
    publish(n);
  }
  // The jobs granted tasks by a round with plenty of room, in their order; nothing is recorded.
  std::vector<JobId> granted(double t, double wall_s = 0) {
    auto estimate_request =
        scheduler.begin_round(at(t), WallMs(static_cast<std::int64_t>(wall_s * 1000)), {ShardId(0)});
    if (!estimate_request) return {};
    protocol::CapacityByZone room{{Zone("a"), 1000, 0, 0, 0}};
    scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(1),
                                    std::vector(estimate_request->resource_requests.size(), room)},
                                   at(t));
    auto grants = scheduler.decide(at(t), {{ShardId(0), Term(1)}}).value_or(std::vector<Scheduler::Grant>{});
    scheduler.on_granted(grants, std::nullopt, at(t));
    std::vector<JobId> out;
    for (const auto& g : grants) out.push_back(g.job);
    return out;
  }

  Scheduler scheduler;
  std::map<std::size_t, state_store::Job> jobs;
  std::map<std::size_t, WallMs> ready;
};

TEST(PipelineLead, GrantsOnlyAfterAllAreDone) {
  Pipeline p;
  p.job(1, {});
  p.job(2, {run(1)});
  EXPECT_EQ(p.granted(1), std::vector{run(1)});
  // Neither does it count for the capacity, nor for what is over.
  EXPECT_EQ(p.scheduler.demand(at(5)).size(), 1u);
  EXPECT_TRUE(p.scheduler.completed().empty());
  p.publish(1, state_store::TerminalState::kDone);
  EXPECT_TRUE(p.granted(3).empty());  // not by the end of the other, but by word that all are done
  EXPECT_TRUE(p.scheduler.busy());
  p.release(2, 7000);
  EXPECT_EQ(p.granted(5), std::vector{run(2)});
}

// A leader that begins in the middle sees the jobs in any order.
TEST(PipelineLead, ALeaderThatBeginsInTheMiddleWaitsAsWell) {
  Pipeline p;
  p.ready[2] = WallMs(7000);
  p.job(4, {run(3)});
  p.job(3, {run(2)});
  p.job(2, {run(1)});
  EXPECT_EQ(p.granted(1), std::vector{run(2)});
}

// While it waits it holds nothing of its team's limit (10 CPUs) or guarantee.
TEST(PipelineLead, WaitingHoldsNothingOfTheLimit) {
  Pipeline p;
  for (std::size_t n = 10; n < 30; ++n) p.job(n, {run(1)});
  p.job(2, {}, [](protocol::JobSpec& s) { s.tasks = 10; });
  ASSERT_EQ(p.scheduler.demand(at(5)).size(), 1u);
  EXPECT_EQ(p.scheduler.demand(at(5))[0].resource_request.wanted, 10u);
}

TEST(PipelineLead, CancelledWhileWaitingItIsDrainedAtOnce) {
  Pipeline p;
  p.job(2, {run(1)});
  p.publish(2, state_store::TerminalState::kCancelled);
  EXPECT_TRUE(p.granted(1).empty());
  EXPECT_EQ(p.scheduler.collectable(), std::vector{run(2)});
  EXPECT_FALSE(p.scheduler.busy());
}

TEST(PipelineLead, PriorityOfTheLastJobFlowsBack) {
  Pipeline p;
  p.job(1, {}, [](protocol::JobSpec& s) { s.priority = Priority::kLow; });
  p.job(5, {}, [](protocol::JobSpec& s) { s.priority = Priority::kNormal; });
  EXPECT_EQ(p.granted(1), (std::vector{run(5), run(1)}));
  p.job(2, {run(1)}, [](protocol::JobSpec& s) { s.priority = Priority::kLow; });
  p.job(3, {run(2)}, [](protocol::JobSpec& s) { s.priority = Priority::kHigh; });
  EXPECT_EQ(p.granted(3), (std::vector{run(1), run(5)}));
}

// The shards are asked what could be made room for at that priority, and the grant carries it to them.
TEST(PipelineLead, GrantsNameTheInheritedPriority) {
  Pipeline p;
  p.job(1, {}, [](protocol::JobSpec& s) { s.priority = Priority::kLow; });
  p.job(5, {}, [](protocol::JobSpec& s) { s.priority = Priority::kNormal; });
  p.job(2, {run(1)}, [](protocol::JobSpec& s) { s.priority = Priority::kHigh; });
  auto estimate_request = p.scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  ASSERT_EQ(estimate_request->resource_requests.size(), 2u);
  EXPECT_EQ(estimate_request->resource_requests[0].priority, Priority::kHigh);
  EXPECT_EQ(estimate_request->resource_requests[1].priority, Priority::kNormal);
  protocol::CapacityByZone room{{Zone("a"), 1000, 0, 0, 0}};
  p.scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(1), {room, room}},
                                   at(1));
  auto grants = p.scheduler.decide(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 2);
  EXPECT_EQ((*grants)[0].grants.chunks.at(0).priority, Priority::kHigh);
  EXPECT_FALSE((*grants)[1].grants.chunks.at(0).priority);
  for (const auto& g : *grants)
    EXPECT_EQ(state_store::parse_grants(state_store::to_json(g.grants)).chunks, g.grants.chunks);
  EXPECT_THROW(state_store::parse_grants(
                   protocol::parse_json(R"({"last":1,"chunks":[{"g":1,"p":0,"t":1,"r":"0","q":9}]})")),
               protocol::ProtocolError);
}

// A fixed window of 2,000 tasks kept the rest of a large array waiting though there was room.
TEST(Sizes, ALargeArrayGetsAllTheRoomThereIs) {
  Scheduler scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                      {{Team("blue"), 0, 0, 0, 0}}, {});
  state_store::Job job;
  protocol::JobSpec s;
  s.id = run(1);
  s.team = Team("blue");
  s.tasks = protocol::kMaxTasks;
  s.each = {1, 0, 1};
  job.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
  scheduler.on_job(run(1), &job, std::nullopt, at(0));
  auto estimate_request = scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  scheduler.on_estimate_response(
      {estimate_request->round, ShardId(0), Term(1), Revision(1), {{{Zone("a"), 48000, 0, 0, 0}}}}, at(1));
  auto grants = scheduler.decide(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  EXPECT_EQ((*grants)[0].grants.chunks.at(0).tasks.count(), 48000u);
}

TEST(InheritedRequirements, DeadlinesFlowBackByTheLongestPath) {
  auto seconds = [](int s) { return Duration(std::chrono::seconds(s)); };
  struct Step {
    std::size_t job;
    std::vector<std::size_t> depends_on;
    int takes_s;
    std::vector<std::int64_t> due_ms;
  };
  struct Case {
    const char* what;
    std::vector<Step> steps;
    std::map<std::size_t, std::vector<std::int64_t>> needed;
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
  for (const auto& c : cases) {
    for (bool backwards : {false, true}) {
      InheritedRequirements needs;
      auto steps = c.steps;
      if (backwards) std::reverse(steps.begin(), steps.end());
      for (const auto& s : steps) {
        std::vector<JobId> depends_on;
        for (auto a : s.depends_on) depends_on.push_back(run(a));
        needs.on_waiting(run(s.job), depends_on, {Priority::kNormal, s.due_ms}, seconds(s.takes_s));
      }
      for (const auto& [job, due] : c.needed)
        EXPECT_EQ(needs.of(run(job)).due_ms, due) << c.what << " " << job;
    }
  }
}

// The deadline counts from the submission of the last job, the other times from when it can start.
TEST(PipelineLead, OtherTimesCountFromWhenTheLastNeededJobIsDone) {
  Pipeline p;
  p.job(1, {run(9)}, [](protocol::JobSpec& s) { s.job_class = "step"; });
  p.job(2, {run(9)}, [](protocol::JobSpec& s) {
    s.job_class = "last";
    s.deadline_s = 100;
  });
  p.release(1, 60000);
  p.release(2, 60000);
  // 40 s and a run time of 10 s after it was released.
  EXPECT_FALSE(p.scheduler.lateness(run(1), WallMs(109000)));
  EXPECT_TRUE(p.scheduler.lateness(run(1), WallMs(111000)));
  EXPECT_FALSE(p.scheduler.lateness(run(2), WallMs(99000)));
  EXPECT_TRUE(p.scheduler.lateness(run(2), WallMs(101000)));
}

// A job that waited for others for long isn't overdue when they are done: 100 s count from then.
TEST(PipelineLead, TheLongestWaitCountsFromThenAsWell) {
  Pipeline p;
  p.job(1, {run(9)});
  p.job(2, {}, [](protocol::JobSpec& s) { s.priority = Priority::kHigh; });
  p.jobs[2].record.submitted = WallMs(900000);
  p.publish(2);
  p.release(1, 890000);
  EXPECT_EQ(p.granted(1, 900), (std::vector{run(2), run(1)}));
  EXPECT_EQ(p.granted(3, 1030), (std::vector{run(1), run(2)}));
}

// An array whose tasks end in no order: its grant's value stays short, and holds what is out and what was
// returned by word alone no more.
TEST(Sizes, ChunksKeepWhatIsDoneWhereThatIsShorter) {
  Pipeline p;
  p.job(1, {}, [](protocol::JobSpec& s) {
    s.tasks = 40;
    s.each = {0.1, 0, 1};
  });
  auto& job = p.jobs[1];
  job.grants = {
      {{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 30), std::nullopt, false, {}}}, Generation(1)},
      Revision(5)};
  Ranges done;
  for (std::uint32_t i = 0; i < 30; i += 2) done.add(i);
  job.progress[ShardId(0)] = {{done, {{Generation(1), Ranges::span(25, 30)}}}, Revision(6)};
  p.publish(1);
  auto estimate_request = p.scheduler.begin_round(at(1), WallMs(0), {ShardId(0)});
  ASSERT_TRUE(estimate_request);
  protocol::CapacityByZone room{{Zone("a"), 1000, 0, 0, 0}};
  p.scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(9), {room}},
                                   at(1));
  auto grants = p.scheduler.decide(at(1), {{ShardId(0), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  const auto& chunks = grants->at(0).grants.chunks;
  ASSERT_EQ(chunks.size(), 2u);
  EXPECT_EQ(chunks[0].tasks, Ranges::span(0, 25));
  // The new one holds what is pending only.
  Ranges pending = Ranges::span(25, 40);
  pending.remove(done);
  EXPECT_EQ(chunks[1].tasks, pending);
}

// Found on the first day with smaller values: two arrays whose grants didn't fit any more took their places
// in every round.
TEST(Sizes, AJobWhoseGrantsAreTooLongLeavesItsPlaceToOthers) {
  Pipeline p;
  p.job(1, {}, [](protocol::JobSpec& s) { s.tasks = 9; });
  auto& job = p.jobs[1];
  for (std::uint32_t i = 0; i < 4; ++i)
    job.grants.value.chunks.push_back(
        {Generation(i + 1), ShardId(0), Term(1), Ranges::span(i, i + 1), std::nullopt, false, {}});
  job.grants.value.last = Generation(4);
  job.grants.revision = Revision(5);
  p.publish(1);
  EXPECT_EQ(p.granted(1), std::vector{run(1)});
  p.scheduler.on_oversized(run(1));
  p.publish(1);
  EXPECT_TRUE(p.granted(3).empty());
  job.progress[ShardId(0)] = {{Ranges::span(0, 2), {}}, Revision(6)};
  p.publish(1);
  EXPECT_EQ(p.granted(5), std::vector{run(1)});
}

TEST(InheritedRequirements, CostNoMoreThanWhatChanges) {
  constexpr std::size_t kChain = 10000;
  InheritedRequirements needs;
  for (std::size_t n = 1; n < kChain; ++n)
    needs.on_waiting(run(n), {run(n - 1)}, {Priority::kLow, {}}, std::chrono::seconds(1));
  EXPECT_LE(needs.visited_count(), kChain);
  auto before = needs.visited_count();
  needs.on_waiting(run(kChain), {run(kChain - 1)}, {Priority::kHigh, {1 << 30}}, std::chrono::seconds(1));
  EXPECT_LE(needs.visited_count() - before, kChain);
  EXPECT_EQ(needs.of(run(0)).priority, Priority::kHigh);
  // A wide fan: each new job is looked at once.
  before = needs.visited_count();
  for (std::size_t n = 1; n < kChain; ++n)
    needs.on_waiting(run(100000 + n), {run(99999)}, {Priority::kLow, {}}, std::chrono::seconds(1));
  EXPECT_LE(needs.visited_count() - before, kChain);
}

}  // namespace
}  // namespace beaconsill::scheduler
