// Tests the scheduler's quota accounting across failovers: new leaders and shard leaders, lost responses, and
// teams at their limit. See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

constexpr double kLimitCpus = 10;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

ShardTerms terms(std::uint64_t first_shard_term) {
  return {{ShardId(0), Term(first_shard_term)}, {ShardId(1), Term(1)}};
}

// A scheduler with jobs of one team that is limited to 10 CPUs. Each task uses one CPU.
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
  // Passes the current state of the job to the scheduler.
  void publish(const char* id, double time, std::optional<TerminalState> terminal_state = std::nullopt) {
    scheduler.on_job(JobId(id), &jobs[id], terminal_state, at(time));
  }
  // Returns the number of waiting tasks that the team's limit allows.
  std::uint32_t grantable_tasks(double time) const {
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
    return scheduler.decide_grants(at(time), terms(1)).value_or(std::vector<Scheduler::Grant>{});
  }

  Scheduler scheduler;
  std::map<std::string, state_store::Job> jobs;
};

state_store::Chunk chunk(std::uint64_t generation, std::uint32_t first, std::uint32_t end) {
  return {Generation(generation), ShardId(0), Term(1), Ranges::span(first, end), {}, false, {}};
}

// Guards against exceeding a team's limit after a change of leader. The team is at its limit and a job is
// cancelled while its machines are unreachable. The new leader reads all records, and only a record or a
// message of the current shard leader may release tasks of the cancelled job.
TEST(SchedulerFailover, NewLeaderChargesCancelledTasksUntilTheirShardReleasesThem) {
  struct Case {
    const char* what;
    std::optional<std::uint64_t> reporting_term;  // term of the shard leader that reports the release
    bool recorded;                                // whether the state store contains the release
    std::uint32_t grantable_tasks;
  };
  const Case cases[] = {
      {"the machine is unreachable", std::nullopt, false, 6},
      {"a previous shard leader reports the release", 1, false, 6},
      {"a shard leader with a term not known yet reports the release", 3, false, 6},
      {"the current shard leader reports the release", 2, false, 10},
      {"the release is recorded", std::nullopt, true, 10},
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
    if (test_case.reporting_term) {
      fixture.scheduler.on_progress_report({ShardId(0),
                                            Term(*test_case.reporting_term),
                                            {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}},
                                           at(2));
      fixture.publish("run-1", 2, TerminalState::kCancelled);
    }
    EXPECT_EQ(fixture.grantable_tasks(2), test_case.grantable_tasks) << test_case.what;
  }
}

// The leader of the shard changes ten times. Tasks that any of the shard leaders reported as done remain
// done. Tasks that one of them reported as released count as released only under its own term.
TEST(SchedulerFailover, ReportsOfDoneTasksRemainValidButReleasesOnlyUnderTheirOwnTerm) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 10);
  job.grants = {{{chunk(1, 0, 10)}, Generation(1)}, Revision(2)};
  fixture.publish("run-1", 0);
  for (std::uint32_t number = 0; number < 10; ++number) {
    std::uint64_t term = number + 1;
    fixture.scheduler.on_terms(terms(term));
    fixture.publish("run-1", number);
    EXPECT_EQ(fixture.grantable_tasks(number), 0u)
        << "a release that a previous shard leader reported still counts under term " << term;
    fixture.scheduler.on_progress_report(
        {ShardId(0),
         Term(term),
         {{JobId("run-1"), Ranges::span(number, number + 1), {{Generation(1), Ranges::span(9, 10)}}}}},
        at(number));
    fixture.publish("run-1", number);
    EXPECT_EQ(fixture.grantable_tasks(number), number < 9 ? 1u : 0u) << number;
    EXPECT_EQ(fixture.scheduler.completed().size(), number == 9 ? 1u : 0u) << number;
  }
}

// A copy of a previous shard leader's message arrives late, when the shard has a new leader or the task was
// granted again under a new generation. The task still counts as outstanding.
TEST(SchedulerFailover, LateReportOfAReleaseDoesNotReleaseANewerGrant) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 4);
  job.grants = {{{chunk(2, 0, 4)}, Generation(2)}, Revision(2)};
  fixture.publish("run-1", 0);
  fixture.scheduler.on_progress_report(
      {ShardId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}}, at(1));
  fixture.publish("run-1", 1);
  EXPECT_EQ(fixture.grantable_tasks(1), 0u);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
}

// While the transaction with a round's grants is in progress, no other round begins, however long that takes.
// The next round begins once the transaction has ended, even if its result is unknown.
TEST(SchedulerFailover, NoRoundBeginsWhileGrantsAreBeingWritten) {
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
