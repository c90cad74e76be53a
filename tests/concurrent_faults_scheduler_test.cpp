// Concurrent faults at the scheduler: limits, cancellations and messages of shard leaders during failovers.
// See docs/fault-scenarios.md.
#include <gtest/gtest.h>

#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

using state_store::TerminalState;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

constexpr double kLimitCpus = 10;

// A scheduler with two shards under term 1, one team that is limited to ten CPUs and one without a limit.
// Time passes with each round.
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
  void publish(const char* id) {
    auto end = ends.find(id);
    auto terminal_state = end == ends.end() ? std::nullopt : std::optional(end->second);
    scheduler.on_job(JobId(id), &jobs[id], terminal_state, at(time));
  }
  void end(const char* id, TerminalState state) {
    ends[id] = state;
    publish(id);
  }
  // The shard leader reports that these tasks of the job's chunk were released.
  void report_released(const char* id, std::uint32_t shard, std::uint64_t term, Ranges tasks) {
    for (const auto& chunk : jobs[id].grants.value.chunks)
      if (chunk.shard == ShardId(shard))
        scheduler.on_progress_report(
            {ShardId(shard), Term(term), {{JobId(id), {}, {{chunk.generation, tasks}}}}}, at(time));
    publish(id);
  }
  // A round in which each shard has this capacity in its zones.
  std::vector<Scheduler::Grant> run_round(std::map<std::uint32_t, protocol::CapacityByZone> capacities) {
    time += 5;
    auto estimate_request = scheduler.begin_round(at(time), WallMs(0), {ShardId(0), ShardId(1)});
    if (!estimate_request) return {};
    for (auto& [shard, capacity] : capacities)
      scheduler.on_estimate_response({estimate_request->round, ShardId(shard), terms.at(ShardId(shard)),
                                      Revision(revision),
                                      std::vector(estimate_request->resource_requests.size(), capacity)});
    return scheduler.decide(at(time + 3), terms).value_or(std::vector<Scheduler::Grant>{});
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
  std::map<std::string, TerminalState> ends;
  std::uint64_t revision = 10;
  double time = 0;
};

protocol::CapacityByZone free_tasks(std::uint32_t free, const char* zone = "east") {
  return {{Zone(zone), free, 0, 0, 0}};
}

// "A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation
// falls into that spell": what a cancelled job leaves may go to another job only while no successor of the
// shard leader that reported it can exist. Found by reading the code.
TEST(QuotaExhausted, ReleasedCapacityOfACancelledJobDependsOnTheTermOfItsShard) {
  struct Case {
    const char* what;
    const char* team;    // of the next job
    bool recorded;       // the release is in the state store
    std::uint64_t term;  // under which it was reported
    std::set<ShardId> depends_on_shards;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"reported only", "blue", false, 1, {ShardId(0)}, 10},
      {"recorded as well", "blue", true, 1, {}, 10},
      {"reported under a term that isn't the shard's", "blue", false, 2, {}, 0},
      {"another team's job", "free", false, 1, {}, 10},
  };
  for (const auto& test_case : cases) {
    FaultsFixture fixture;
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    fixture.end("run-1", TerminalState::kCancelled);
    fixture.job("run-2", 10, test_case.team);
    fixture.report_released("run-1", 0, test_case.term, Ranges::span(0, 10));
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

// The same of the job's keys: a successor that hasn't read the end yet may start what they grant.
TEST(QuotaExhausted, KeysAreCollectedUnderTheTermThatReportedTheRelease) {
  FaultsFixture fixture;
  fixture.job("run-1", 4);
  fixture.commit(fixture.run_round({{0, free_tasks(4)}, {1, {}}}));
  fixture.end("run-1", TerminalState::kCancelled);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
  fixture.report_released("run-1", 0, 1, Ranges::span(0, 4));
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{JobId("run-1")});
  EXPECT_EQ(fixture.scheduler.released_by_message(JobId("run-1")), std::set{ShardId(0)});
  // The shard changes hands: its next leader has to report anew.
  fixture.set_terms(2, 1);
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
  EXPECT_TRUE(fixture.scheduler.released_by_message(JobId("run-1")).empty());
  fixture.report_released("run-1", 0, 2, Ranges::span(0, 4));
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector{JobId("run-1")});
}

// The ledger adds up again whatever comes in between: a deleted job depends on nobody's message.
TEST(QuotaExhausted, NothingIsLeftOfADeletedJob) {
  FaultsFixture fixture;
  for (int repetition = 0; repetition < 3; ++repetition) {
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    fixture.end("run-1", TerminalState::kCancelled);
    fixture.report_released("run-1", 0, 1, Ranges::span(0, 6));
    fixture.report_released("run-1", 0, 1, Ranges::span(0, 10));
    fixture.publish("run-1");
    fixture.scheduler.on_job(JobId("run-1"), nullptr, TerminalState::kCancelled, at(fixture.time));
    fixture.jobs.erase("run-1");
    fixture.ends.erase("run-1");
    fixture.job("run-2", 10);
    auto grants = fixture.run_round({{0, free_tasks(10)}, {1, {}}});
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_TRUE(grants[0].depends_on_shards.empty());
    fixture.scheduler.on_granted(grants, std::nullopt, at(fixture.time));
    fixture.scheduler.on_job(JobId("run-2"), nullptr, std::nullopt, at(fixture.time));
    fixture.jobs.erase("run-2");
  }
}

// "Controllers hand over and back": messages of a shard leader that was replaced, in any order and repeated,
// free nothing, whether they come before or after the leader knows of the new term.
TEST(RepeatedFailover, MessagesOfAPreviousShardLeaderFreeNothing) {
  struct Case {
    const char* what;
    std::vector<std::uint64_t> reported;  // terms, in the order in which the messages come
    std::uint64_t term;                   // the shard's, as the leader knows it at the end
    bool free;
  };
  const Case cases[] = {
      {"before the change", {1}, 3, false},
      {"after it", {}, 3, false},
      {"by the present shard leader", {3}, 3, true},
      {"a late copy after the present shard leader's", {3, 1}, 3, true},
      {"before and late", {1, 1}, 3, false},
      {"by one that the leader doesn't know yet", {3}, 1, false},
      {"both, the older one last", {1}, 1, true},
  };
  for (const auto& test_case : cases) {
    FaultsFixture fixture;
    fixture.job("run-1", 10);
    fixture.commit(fixture.run_round({{0, free_tasks(10)}, {1, {}}}));
    bool first = true;
    for (auto term : test_case.reported) {
      if (!first || term == test_case.term) fixture.set_terms(test_case.term, 1);
      first = false;
      fixture.report_released("run-1", 0, term, Ranges::span(0, 10));
    }
    fixture.set_terms(test_case.term, 1);
    auto grants = fixture.run_round({{0, {}}, {1, free_tasks(10)}});
    EXPECT_EQ(!grants.empty(), test_case.free) << test_case.what;
    if (!grants.empty()) {
      EXPECT_EQ(grants[0].depends_on_shards, std::set{ShardId(0)}) << test_case.what;
    }
  }
}

// "Jobs bound to one zone, arrays too, lose machines": the tasks that remain bind the others to their
// zone, and nothing else does.
TEST(OneZone, LostTasksFollowTheRemainingOnes) {
  struct Case {
    const char* what;
    Ranges released;  // of the four tasks in zone "east"
    const char* zone;
    std::uint32_t granted;
  };
  const Case cases[] = {
      {"some are left, capacity elsewhere only", Ranges::span(0, 2), "west", 0},
      {"some are left, capacity there", Ranges::span(0, 2), "east", 2},
      {"none is left", Ranges::span(0, 4), "west", 4},
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
