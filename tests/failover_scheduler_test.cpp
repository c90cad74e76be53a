// The scheduler's quota accounting across failovers: new shard leaders and leaders, lost responses, teams at
// their limit. See docs/failover-faults.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

constexpr double kLimit_cpus = 10;

Instant at(double s) {
  return Instant{} + from_seconds(1000 + s);
}

ShardTerms terms(std::uint64_t of_first_shard) {
  return {{ShardId(0), Term(of_first_shard)}, {ShardId(1), Term(1)}};
}

// Jobs of one team that is limited to 10 CPUs, each task taking one.
struct SchedulerFixture {
  SchedulerFixture()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 0, kLimit_cpus, 0, 0}}, {}) {
    scheduler.on_terms(terms(1));
  }
  state_store::Job& job(const char* id, std::uint32_t tasks) {
    protocol::JobSpec s;
    s.id = JobId(id);
    s.team = Team("blue");
    s.tasks = tasks;
    s.each = {1, 0, 1};
    auto& j = jobs[id];
    j.record = {std::make_shared<const protocol::JobSpec>(s), WallMs(0)};
    j.created = Revision(1);
    return j;
  }
  void publish(const char* id, double t, std::optional<TerminalState> end = std::nullopt) {
    scheduler.on_job(JobId(id), &jobs[id], end, at(t));
  }
  // What waits, as far as the team's limit leaves room for it.
  std::uint32_t wanted(double t) const {
    std::uint32_t n = 0;
    for (const auto& d : scheduler.demand(at(t))) n += d.resource_request.wanted;
    return n;
  }
  std::vector<Scheduler::Grant> round(double t) {
    auto estimate_request = scheduler.begin_round(at(t), WallMs(0), {ShardId(0)});
    if (!estimate_request) return {};
    protocol::CapacityByZone room{{Zone("a"), 100, 0, 0, 0}};
    scheduler.on_estimate_response({estimate_request->round, ShardId(0), Term(1), Revision(9),
                                    std::vector(estimate_request->resource_requests.size(), room)},
                                   at(t));
    return scheduler.decide(at(t), terms(1)).value_or(std::vector<Scheduler::Grant>{});
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
  for (const auto& c : cases) {
    SchedulerFixture l;
    l.scheduler.on_terms(terms(2));
    auto& cancelled = l.job("run-1", 4);
    cancelled.grants = {{{chunk(1, 0, 4)}, Generation(1)}, Revision(2)};
    if (c.recorded)
      cancelled.progress[ShardId(0)] = {{{}, {{Generation(1), Ranges::span(0, 4)}}}, Revision(3)};
    l.publish("run-1", 1, TerminalState::kCancelled);
    l.job("run-2", 20);
    l.publish("run-2", 1);
    if (c.reported_under) {
      l.scheduler.on_progress_report({ShardId(0),
                                      Term(*c.reported_under),
                                      {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}},
                                     at(2));
      l.publish("run-1", 2, TerminalState::kCancelled);
    }
    EXPECT_EQ(l.wanted(2), c.left) << c.what;
  }
}

// Shard leaders and leaders change ten times: what any of them reported as done stays done, and what one
// reported as released counts under its own term only.
TEST(SchedulerFailover, TenShardLeadersReportOneJob) {
  SchedulerFixture l;
  auto& j = l.job("run-1", 10);
  j.grants = {{{chunk(1, 0, 10)}, Generation(1)}, Revision(2)};
  l.publish("run-1", 0);
  for (std::uint32_t n = 0; n < 10; ++n) {
    std::uint64_t term = n + 1;
    l.scheduler.on_terms(terms(term));
    l.publish("run-1", n);
    EXPECT_EQ(l.wanted(n), 0u) << "an earlier owner's return still counts under term " << term;
    l.scheduler.on_progress_report(
        {ShardId(0),
         Term(term),
         {{JobId("run-1"), Ranges::span(n, n + 1), {{Generation(1), Ranges::span(9, 10)}}}}},
        at(n));
    l.publish("run-1", n);
    EXPECT_EQ(l.wanted(n), n < 9 ? 1u : 0u) << n;
    EXPECT_EQ(l.scheduler.completed().size(), n == 9 ? 1u : 0u) << n;
  }
}

// A copy of a message of an earlier shard leader comes late, after the shard has its next leader, or the task
// its next generation: the task counts as out.
TEST(SchedulerFailover, ALateReportOfAReleaseDoesNotFreeANewerGrant) {
  SchedulerFixture l;
  auto& j = l.job("run-1", 4);
  j.grants = {{{chunk(2, 0, 4)}, Generation(2)}, Revision(2)};
  l.publish("run-1", 0);
  l.scheduler.on_progress_report(
      {ShardId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 4)}}}}}, at(1));
  l.publish("run-1", 1);
  EXPECT_EQ(l.wanted(1), 0u);
  EXPECT_TRUE(l.scheduler.collectable().empty());
}

// Grants without an answer: until it's known that they can't be applied any more, no other round begins.
TEST(SchedulerFailover, NoRoundBeginsWhileGrantsAreInFlight) {
  SchedulerFixture l;
  l.job("run-1", 10);
  l.publish("run-1", 0);
  auto grants = l.round(1);
  ASSERT_EQ(grants.size(), 1u);
  l.job("run-2", 10);
  l.publish("run-2", 2);
  EXPECT_TRUE(l.round(5).empty());
  EXPECT_TRUE(l.round(60).empty());
  l.scheduler.on_granted(grants, std::nullopt, at(61));
  EXPECT_FALSE(l.round(62).empty());
}

}  // namespace
}  // namespace beaconsill::scheduler
