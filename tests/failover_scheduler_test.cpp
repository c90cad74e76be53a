// The scheduler's quota accounting across failovers: new shard leaders and leaders, lost responses, teams at
// their limit. See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

constexpr double kLimitCpus = 10;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

ShardTerms terms(std::uint64_t of_first_shard) {
  return {{ShardId(0), Term(of_first_shard)}, {ShardId(1), Term(1)}};
}

// Jobs of one team that is limited to 10 CPUs, each task taking one.
struct SchedulerFixture {
  SchedulerFixture()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 0, kLimitCpus, 0, 0}}, {}) {
    scheduler.on_terms(terms(1));
  }
  state_store::Job& job(const char* id, std::uint32_t tasks) {
    protocol::JobSpec spec;
    spec.id = JobId(id);
    spec.team = Team("blue");
    spec.tasks = tasks;
    spec.each = {1, 0, 1};
    auto& job = jobs[id];
    job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    job.created = Revision(1);
    return job;
  }
  void publish(const char* id, double time, std::optional<TerminalState> end = std::nullopt) {
    scheduler.on_job(JobId(id), &jobs[id], end, at(time));
  }
  // Tasks that wait, as far as the team's limit allows them.
  std::uint32_t wanted(double time) const {
    std::uint32_t tasks = 0;
    for (const auto& demand : scheduler.demand(at(time))) tasks += demand.resource_request.wanted;
    return tasks;
  }
  std::vector<Scheduler::Grant> run_round(double time) {
    auto estimate_request = scheduler.begin_round(at(time), WallMs(0), {ShardId(0)});
    if (!estimate_request) return {};
    protocol::CapacityByZone capacity{{Zone("a"), 100, 0, 0, 0}};
    scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(9),
                                    std::vector(estimate_request->resource_requests.size(), capacity)});
    return scheduler.decide(at(time), terms(1)).value_or(std::vector<Scheduler::Grant>{});
  }

  Scheduler scheduler;
  std::map<std::string, state_store::Job> jobs;
};

state_store::Chunk chunk(std::uint64_t generation, std::uint32_t first, std::uint32_t last) {
  return {Generation(generation), ShardId(0), Term(1), Ranges::span(first, last), {}, false, {}};
}

// A team is at its limit, jobs are cancelled whose machines are unreachable, and the leader changes: what the
// new one reads is complete, and only a message of the present shard leader releases any of it.
TEST(SchedulerFailover, ANewLeaderChargesCancelledTasksUntilTheirShardReleasesThem) {
  struct Case {
    const char* what;
    std::optional<std::uint64_t> reported_under;  // term of the shard leader that reports it
    bool recorded;
    std::uint32_t left;
  };
  const Case cases[] = {
      {"its machine is unreachable", std::nullopt, false, 6},
      {"an earlier shard leader reports its release", 1, false, 6},
      {"a later shard leader than is known reports it", 3, false, 6},
      {"the present shard leader reports it", 2, false, 10},
      {"it is recorded", std::nullopt, true, 10},
  };
  for (const auto& test_case : cases) {
    SchedulerFixture fixture;
    fixture.scheduler.on_terms(terms(2));
    auto& cancelled = fixture.job("run-1", 4);
    cancelled.grants = {{{chunk(1, 0, 4)}, Generation(1)}, Revision(2)};
    if (test_case.recorded)
      cancelled.progress[ShardId(0)] = {{{}, {{Generation(1), Ranges::span(0, 4)}}}, Revision(3)};
    fixture.publish("run-1", 1, TerminalState::kCancelled);
    fixture.job("run-2", 20);
    fixture.publish("run-2", 1);
    if (test_case.reported_under) {
      fixture.scheduler.on_progress_report({ShardId(0),
                                            Term(*test_case.reported_under),
                                            {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}},
                                           at(2));
      fixture.publish("run-1", 2, TerminalState::kCancelled);
    }
    EXPECT_EQ(fixture.wanted(2), test_case.left) << test_case.what;
  }
}

// Shard leaders and leaders change ten times: what any of them reported as done stays done, and what one
// reported as released counts under its own term only.
TEST(SchedulerFailover, DoneStaysTrueAndReleasedOnlyUnderItsOwnTerm) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 10);
  job.grants = {{{chunk(1, 0, 10)}, Generation(1)}, Revision(2)};
  fixture.publish("run-1", 0);
  for (std::uint32_t number = 0; number < 10; ++number) {
    std::uint64_t term = number + 1;
    fixture.scheduler.on_terms(terms(term));
    fixture.publish("run-1", number);
    EXPECT_EQ(fixture.wanted(number), 0u)
        << "an earlier shard leader's release still counts under term " << term;
    fixture.scheduler.on_progress_report(
        {ShardId(0),
         Term(term),
         {{JobId("run-1"), Ranges::span(number, number + 1), {{Generation(1), Ranges::span(9, 10)}}}}},
        at(number));
    fixture.publish("run-1", number);
    EXPECT_EQ(fixture.wanted(number), number < 9 ? 1u : 0u) << number;
    EXPECT_EQ(fixture.scheduler.completed().size(), number == 9 ? 1u : 0u) << number;
  }
}

// A copy of a message of an earlier shard leader comes late, after the shard has its next leader, or the task
// its next generation: the task counts as outstanding.
TEST(SchedulerFailover, ALateReportOfAReleaseDoesNotFreeANewerGrant) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 4);
  job.grants = {{{chunk(2, 0, 4)}, Generation(2)}, Revision(2)};
  fixture.publish("run-1", 0);
  fixture.scheduler.on_progress_report(
      {ShardId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}}, at(1));
  fixture.publish("run-1", 1);
  EXPECT_EQ(fixture.wanted(1), 0u);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
}

// Grants without an answer: until it's known that they can't be applied any more, no other round begins.
TEST(SchedulerFailover, NoRoundBeginsWhileGrantsAreInFlight) {
  SchedulerFixture fixture;
  fixture.job("run-1", 10);
  fixture.publish("run-1", 0);
  auto grants = fixture.run_round(1);
  ASSERT_EQ(grants.size(), 1u);
  fixture.job("run-2", 10);
  fixture.publish("run-2", 2);
  EXPECT_TRUE(fixture.run_round(5).empty());
  EXPECT_TRUE(fixture.run_round(60).empty());
  fixture.scheduler.on_granted(grants, std::nullopt, at(61));
  EXPECT_FALSE(fixture.run_round(62).empty());
}

}  // namespace
}  // namespace beaconsill::scheduler
