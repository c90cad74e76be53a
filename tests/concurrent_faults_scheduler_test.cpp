// Tests the scheduler under concurrent faults: team limits, cancellations and messages of shard leaders
// during failovers. See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

constexpr double kLimitCpus = 10;

// A scheduler with two shards under term 1, one team that is limited to 10 CPUs and one team without a limit.
// Each round advances the time by 5 s.
struct FaultsFixture {
  FaultsFixture()
      : scheduler({std::chrono::seconds(2), std::chrono::seconds(1), std::chrono::seconds(100), {}, 8},
                  {{Team("blue"), 0, kLimitCpus, 0, 0}, {Team("free"), 0, 0, 0, 0}}, {}) {
    set_terms(1, 1);
  }
  void set_terms(std::uint64_t first, std::uint64_t second) {
    terms = {{ShardId(0), Term(first)}, {ShardId(1), Term(second)}};
    for (const auto& id : scheduler.on_terms(terms)) publish(id.value().c_str());
  }
  void job(const char* id, std::uint32_t tasks, const char* team = "blue", bool one_zone = false) {
    protocol::JobSpec spec;
    spec.id = JobId(id);
    spec.team = Team(team);
    spec.tasks = tasks;
    spec.each = {1, 0, 1};
    spec.one_zone = one_zone;
    jobs[id].record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
    jobs[id].created = Revision(1);
    publish(id);
  }
  // Passes the current state of the job to the scheduler.
  void publish(const char* id) {
    auto terminal = terminal_states.find(id);
    auto terminal_state = terminal == terminal_states.end() ? std::nullopt : std::optional(terminal->second);
    scheduler.on_job(JobId(id), &jobs[id], terminal_state, at(time));
  }
  void terminate(const char* id, TerminalState state) {
    terminal_states[id] = state;
    publish(id);
  }
  // The shard leader reports that these tasks of the job's chunks on the shard were released.
  void report_released(const char* id, std::uint32_t shard, std::uint64_t term, Ranges tasks) {
    for (const auto& chunk : jobs[id].grants.value.chunks)
      if (chunk.shard == ShardId(shard))
        scheduler.on_progress_report(
            {ShardId(shard), Term(term), {{JobId(id), {}, {{chunk.generation, tasks}}}}}, at(time));
    publish(id);
  }
  // Runs a round in which each shard responds with its entry of `capacities`.
  std::vector<Scheduler::Grant> run_round(std::map<std::uint32_t, protocol::CapacityByZone> capacities) {
    time += 5;
    auto estimate_request = scheduler.begin_round(at(time), WallMs(0), {ShardId(0), ShardId(1)});
    if (!estimate_request) return {};
    for (auto& [shard, capacity] : capacities)
      scheduler.on_estimate_response({estimate_request->round, ShardId(shard), terms.at(ShardId(shard)),
                                      Revision(revision),
                                      std::vector(estimate_request->resource_requests.size(), capacity)});
    return scheduler.decide_grants(at(time + 3), terms).value_or(std::vector<Scheduler::Grant>{});
  }
  void commit(const std::vector<Scheduler::Grant>& grants) {
    ++revision;
    scheduler.on_granted(grants, Revision(revision), at(time));
    for (const auto& grant : grants) {
      jobs[grant.job.value()].grants = {grant.grants, Revision(revision)};
      publish(grant.job.value().c_str());
    }
  }

  Scheduler scheduler;
  ShardTerms terms;
  std::map<std::string, state_store::Job> jobs;
  std::map<std::string, TerminalState> terminal_states;
  std::uint64_t revision = 10;
  double time = 0;
};

protocol::CapacityByZone free_tasks(std::uint32_t free, const char* zone = "east") {
  return {{Zone(zone), free, 0, 0, 0}};
}

// A team is at its limit when the leader changes, some of its machines are unreachable, and a job is
// cancelled during that time. Capacity that the cancelled job released may be granted to another job only
// while the shard leader that reported the release can't have a successor. The fault was found by reading the
// code.
TEST(QuotaExhausted, ReleasedCapacityOfACancelledJobDependsOnTheTermOfItsShard) {
  struct Case {
    const char* what;
    const char* team;              // of the next job
    bool recorded;                 // whether the state store contains the release
    std::uint64_t reporting_term;  // term of the shard leader that reported the release
    std::set<ShardId> depends_on_shards;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"reported, but not recorded", "blue", false, 1, {ShardId(0)}, 10},
      {"reported and recorded", "blue", true, 1, {}, 10},
      {"reported under a term other than the current one", "blue", false, 2, {}, 0},
      {"the next job is of another team", "free", false, 1, {}, 10},
  };
  for (const auto& test_case : cases) {
    FaultsFixture fixture;
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    fixture.terminate("run-1", TerminalState::kCancelled);
    fixture.job("run-2", 10, test_case.team);
    fixture.report_released("run-1", 0, test_case.reporting_term, Ranges::span(0, 10));
    if (test_case.recorded) {
      auto generation = fixture.jobs["run-1"].grants.value.last;
      fixture.jobs["run-1"].progress[ShardId(0)] = {{{}, {{generation, Ranges::span(0, 10)}}}, Revision(20)};
      fixture.publish("run-1");
    }
    auto grants = fixture.run_round({{0, free_tasks(10)}, {1, free_tasks(10)}});
    std::uint32_t granted = 0;
    for (const auto& grant : grants)
      for (const auto& chunk : grant.grants.chunks) granted += chunk.tasks.count();
    EXPECT_EQ(granted, test_case.granted) << test_case.what;
    if (!grants.empty()) {
      EXPECT_EQ(grants[0].depends_on_shards, test_case.depends_on_shards) << test_case.what;
    }
  }
}

// The keys of a cancelled job may be deleted only while the shard leader that reported the release can't have
// a successor: a successor that hasn't read the cancellation yet may start the tasks that the keys grant.
TEST(QuotaExhausted, JobKeysAreCollectableOnlyUnderTheTermThatReportedTheRelease) {
  FaultsFixture fixture;
  fixture.job("run-1", 4);
  fixture.commit(fixture.run_round({{0, free_tasks(4)}, {1, {}}}));
  fixture.terminate("run-1", TerminalState::kCancelled);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
  fixture.report_released("run-1", 0, 1, Ranges::span(0, 4));
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{JobId("run-1")});
  EXPECT_EQ(fixture.scheduler.released_by_message(JobId("run-1")), std::set{ShardId(0)});
  // The shard gets a new leader, which has to report the release again.
  fixture.set_terms(2, 1);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
  EXPECT_TRUE(fixture.scheduler.released_by_message(JobId("run-1")).empty());
  fixture.report_released("run-1", 0, 2, Ranges::span(0, 4));
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{JobId("run-1")});
}

// After a job is deleted, its charges and its dependencies on shard terms must be removed from the quota
// ledger, whichever reports arrived before.
TEST(QuotaExhausted, DeletedJobLeavesNoChargesOrTermDependencies) {
  FaultsFixture fixture;
  for (int repetition = 0; repetition < 3; ++repetition) {
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    fixture.terminate("run-1", TerminalState::kCancelled);
    fixture.report_released("run-1", 0, 1, Ranges::span(0, 6));
    fixture.report_released("run-1", 0, 1, Ranges::span(0, 10));
    fixture.publish("run-1");
    fixture.scheduler.on_job(JobId("run-1"), nullptr, TerminalState::kCancelled, at(fixture.time));
    fixture.jobs.erase("run-1");
    fixture.terminal_states.erase("run-1");
    fixture.job("run-2", 10);
    auto grants = fixture.run_round({{0, free_tasks(10)}, {1, {}}});
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_TRUE(grants[0].depends_on_shards.empty());
    fixture.scheduler.on_granted(grants, std::nullopt, at(fixture.time));
    fixture.scheduler.on_job(JobId("run-2"), nullptr, std::nullopt, at(fixture.time));
    fixture.jobs.erase("run-2");
  }
}

// A shard's leadership moves between controllers and back. Messages of a replaced shard leader, in any order
// and repeated, must not release tasks, whether they arrive before or after the leader has learned of the new
// term.
TEST(RepeatedFailover, MessagesOfAPreviousShardLeaderReleaseNoTasks) {
  struct Case {
    const char* what;
    std::vector<std::uint64_t> reporting_terms;  // in the order in which the messages arrive
    std::uint64_t final_term;                    // the shard's term that the leader has read at the end
    bool released;
  };
  const Case cases[] = {
      {"previous shard leader, before the change of term", {1}, 3, false},
      {"no report", {}, 3, false},
      {"current shard leader", {3}, 3, true},
      {"current shard leader, then a late copy of the previous one's report", {3, 1}, 3, true},
      {"previous shard leader, before the change of term and repeated after it", {1, 1}, 3, false},
      {"shard leader with a term that the leader hasn't read yet", {3}, 1, false},
      {"current shard leader, no change of term", {1}, 1, true},
  };
  for (const auto& test_case : cases) {
    FaultsFixture fixture;
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    bool first_report = true;
    for (auto term : test_case.reporting_terms) {
      if (!first_report || term == test_case.final_term) fixture.set_terms(test_case.final_term, 1);
      first_report = false;
      fixture.report_released("run-1", 0, term, Ranges::span(0, 10));
    }
    fixture.set_terms(test_case.final_term, 1);
    auto grants = fixture.run_round({{0, {}}, {1, free_tasks(10)}});
    EXPECT_EQ(!grants.empty(), test_case.released) << test_case.what;
    if (!grants.empty()) {
      EXPECT_EQ(grants[0].depends_on_shards, std::set{ShardId(0)}) << test_case.what;
    }
  }
}

// A job whose tasks must all be in one zone, here an array, loses machines. Only the zone of the remaining
// tasks may restrict where the lost tasks are granted again.
TEST(OneZone, LostTasksAreGrantedInTheZoneOfTheRemainingTasks) {
  struct Case {
    const char* what;
    Ranges released;  // among the four tasks in zone "east"
    const char* zone;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"some tasks remain, capacity only in another zone", Ranges::span(0, 2), "west", 0},
      {"some tasks remain, capacity in their zone", Ranges::span(0, 2), "east", 2},
      {"no task remains, capacity in another zone", Ranges::span(0, 4), "west", 4},
  };
  for (const auto& test_case : cases) {
    FaultsFixture fixture;
    fixture.job("run-1", 4, "free", true);
    fixture.commit(fixture.run_round({{0, free_tasks(8)}, {1, {}}}));
    fixture.report_released("run-1", 0, 1, test_case.released);
    auto grants = fixture.run_round({{0, {}}, {1, free_tasks(8, test_case.zone)}});
    std::uint32_t granted = 0;
    for (const auto& grant : grants) {
      EXPECT_EQ(grant.depends_on_shards, std::set{ShardId(0)}) << test_case.what;
      for (const auto& chunk : grant.grants.chunks)
        if (chunk.shard == ShardId(1)) {
          granted += chunk.tasks.count();
          EXPECT_EQ(chunk.zone, Zone(test_case.zone)) << test_case.what;
        }
    }
    EXPECT_EQ(granted, test_case.granted) << test_case.what;
  }
}

}  // namespace
}  // namespace beaconsill::scheduler
