// Tests the enforcement of team quotas: first QuotaLedger alone, then the scheduler with progress reports and
// indeterminate transactions.
#include "scheduler/quota_ledger.h"
#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

// ---- QuotaLedger alone

// Returns a job of team "blue" with tasks of one CPU and `gpus` GPUs.
JobEntry make_entry(std::uint32_t tasks, double gpus = 0) {
  protocol::JobSpec spec;
  spec.id = JobId("run-1");
  spec.team = Team("blue");
  spec.tasks = tasks;
  spec.each = {1, gpus, 1};
  JobEntry entry;
  entry.record.spec = std::make_shared<const protocol::JobSpec>(spec);
  return entry;
}

TEST(QuotaLedger, AllowsTasksUpToTheMostRestrictiveLimit) {
  struct Case {
    const char* description;
    config::TeamSettings settings;
    double gpus_each;
    TeamUsage usage;
    std::uint32_t charged;              // charged tasks of the job
    std::uint32_t released_by_message;  // tasks of the job whose release is only reported by message
    std::uint32_t allowed;              // expected number of allowed tasks, of 10 tasks
  };
  const Team blue("blue");
  const Case cases[] = {
      {"no limit", {blue, 0, 0, 0, 0}, 0, {{blue, {500, 0, 0}}}, 0, 0, 10},
      {"no limit, some tasks of the job are charged", {blue, 0, 0, 0, 0}, 0, {}, 4, 0, 6},
      {"CPUs are limited", {blue, 0, 8, 0, 0}, 0, {{blue, {5, 0, 0}}}, 0, 0, 3},
      {"all of the CPUs are in use", {blue, 0, 8, 0, 0}, 0, {{blue, {8, 0, 0}}}, 0, 0, 0},
      {"more than the limit is in use", {blue, 0, 8, 0, 0}, 0, {{blue, {9, 0, 0}}}, 0, 0, 0},
      {"GPUs are more restricted than CPUs", {blue, 0, 8, 0, 4}, 2, {{blue, {1, 2, 0}}}, 0, 0, 1},
      {"a GPU limit doesn't apply to tasks without GPUs",
       {blue, 0, 8, 0, 4},
       0,
       {{blue, {0, 4, 0}}},
       0,
       0,
       8},
      {"another team's usage", {blue, 0, 8, 0, 0}, 0, {{Team("red"), {8, 0, 0}}}, 0, 0, 8},
      {"another team's limit", {Team("red"), 0, 1, 0, 0}, 0, {}, 0, 0, 10},
      {"released tasks are already charged", {blue, 0, 8, 0, 0}, 0, {{blue, {8, 0, 0}}}, 8, 3, 3},
      {"usage beyond the limit: only some released tasks are granted again",
       {blue, 0, 6, 0, 0},
       0,
       {{blue, {8, 0, 0}}},
       8,
       3,
       1},
      {"a rounding error doesn't reduce the number of tasks",
       {blue, 0, 0.3 + 2, 0, 0},
       0,
       {{blue, {0.1 + 0.2, 0, 0}}},
       0,
       0,
       2},
  };
  for (const auto& test_case : cases) {
    QuotaLedger ledger({test_case.settings});
    auto entry = make_entry(10, test_case.gpus_each);
    entry.charged_tasks = test_case.charged;
    entry.released_by_message_tasks = test_case.released_by_message;
    EXPECT_EQ(ledger.allowed_tasks(entry, test_case.usage), test_case.allowed) << test_case.description;
  }
}

TEST(QuotaLedger, ReleaseReversesCharge) {
  QuotaLedger ledger({team("blue", 0, 8)});
  auto first = make_entry(10), second = make_entry(10);
  first.charged_tasks = 3;
  second.charged_tasks = 4;
  ledger.charge(first);
  ledger.charge(second);
  EXPECT_EQ(ledger.usage().of(Team("blue")), (Resources{7, 0, 7}));
  EXPECT_EQ(ledger.usage().of(Team("red")), Resources{});
  ledger.release(first);
  EXPECT_EQ(ledger.usage().of(Team("blue")), (Resources{4, 0, 4}));
}

// Tasks of a job in a terminal state aren't charged once their release is reported by message. The team's
// grants therefore depend on the terms of the reporting leaders until the job's key is deleted.
TEST(QuotaLedger, GrantsDependOnTermsOfUnrecordedReleasesOfTerminatedJobs) {
  QuotaLedger ledger({});
  auto waiting = make_entry(10), ended = make_entry(10);
  EXPECT_TRUE(ledger.required_terms(waiting).empty());
  waiting.released_by_message = {ShardId(1)};
  EXPECT_EQ(ledger.required_terms(waiting), std::set{ShardId(1)});
  ended.released_by_message = {ShardId(2), ShardId(3)};
  ledger.charge(ended);  // not in a terminal state, so that its tasks stay charged
  EXPECT_EQ(ledger.required_terms(waiting), std::set{ShardId(1)});
  ledger.release(ended);
  ended.terminal_state = TerminalState::kCancelled;
  ledger.charge(ended);
  EXPECT_EQ(ledger.required_terms(waiting), (std::set{ShardId(1), ShardId(2), ShardId(3)}));
  ledger.release(ended);
  EXPECT_EQ(ledger.required_terms(waiting), std::set{ShardId(1)});
}

// ---- The whole scheduler

// In a simulated day, nine of ten changes in the state store recorded progress, and the store's rate limit
// delayed all other writes. Reports of shard leaders therefore take effect before they are recorded. Each
// step checks which effects are safe.
TEST(Quota, ReportsTakeEffectBeforeTheyAreRecordedWhereSafe) {
  auto report = [](std::uint64_t term, Ranges done, Ranges released) {
    return protocol::ProgressReport{
        ShardId(0), Term(term), {{JobId("run-1"), done, {{Generation(1), released}}}}};
  };
  SchedulerFixture fixture(10);
  fixture.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  fixture.job("run-1", 10);
  fixture.commit(fixture.run_round(1, {{0, capacity(10)}, {1, {}}}), 1);
  auto demand_at = [&](double time) { return fixture.scheduler.demand(at(time)); };
  EXPECT_TRUE(demand_at(1).empty());
  // The report isn't of the shard's current term. That leader may have been replaced, and the next one may
  // start the tasks.
  fixture.scheduler.on_progress_report(report(2, {}, Ranges::span(5, 10)), at(2));
  fixture.publish("run-1", 2);
  EXPECT_TRUE(demand_at(2).empty());
  fixture.scheduler.on_progress_report(report(1, Ranges::span(0, 2), Ranges::span(5, 10)), at(2));
  fixture.publish("run-1", 3);
  ASSERT_EQ(demand_at(3).size(), 1u);
  EXPECT_EQ(demand_at(3)[0].resource_request.wanted, 5u);
  // Five tasks are granted again although eight of the ten are still charged (all but the two done ones),
  // because these five are among the eight. The write is conditional on the shard leader's term, and retains
  // the tasks that the shard leader has yet to record as done.
  auto grants = fixture.run_round(4, {{0, {}}, {1, capacity(10)}});
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_EQ(grants[0].depends_on_shards, std::set<ShardId>{ShardId(0)});
  EXPECT_EQ(SchedulerFixture::by_shard(grants[0]), (std::map<std::uint32_t, std::uint32_t>{{0, 5}, {1, 5}}));
  // Other jobs may use the quota of done tasks, but not of tasks whose release is only reported by message.
  fixture.scheduler.on_granted(grants, std::nullopt, at(7));
  fixture.job("run-2", 5);
  ASSERT_EQ(demand_at(8).size(), 2u);
  EXPECT_EQ(demand_at(8)[1].resource_request.wanted, 2u);
  // When the shard leader changes, reported releases become invalid, but completed tasks stay done.
  auto again = fixture.scheduler.on_terms({{ShardId(0), Term(2)}, {ShardId(1), Term(1)}});
  EXPECT_EQ(again, std::vector<JobId>{JobId("run-1")});
  fixture.publish("run-1", 9);
  ASSERT_EQ(demand_at(9).size(), 1u);
  EXPECT_EQ(demand_at(9)[0].resource_request.wanted, 2u);
  fixture.scheduler.on_progress_report(report(2, Ranges::span(2, 10), {}), at(2));
  fixture.publish("run-1", 10);
  EXPECT_EQ(fixture.scheduler.completed(), std::vector<JobId>{JobId("run-1")});
  // Tasks of a job in a terminal state are never started again, so they don't use quota any more.
  fixture.publish("run-1", 11, TerminalState::kDone);
  EXPECT_EQ(fixture.scheduler.collectable(), std::vector<JobId>{JobId("run-1")});
  ASSERT_EQ(demand_at(12).size(), 1u);
  EXPECT_EQ(demand_at(12)[0].resource_request.wanted, 5u);
}

// Found by the simulation, seed 1366: the new leader of a shard released tasks that the previous leader had
// reported as done.
TEST(Quota, DoneTasksThatALaterLeaderReleasesAreNotCharged) {
  SchedulerFixture fixture(6);
  fixture.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  fixture.job("run-1", 6);
  fixture.commit(fixture.run_round(1, {{0, capacity(10)}, {1, {}}}), 1);
  fixture.scheduler.on_progress_report({ShardId(0), Term(1), {{JobId("run-1"), Ranges::span(0, 3), {}}}},
                                       at(2));
  fixture.scheduler.on_terms({{ShardId(0), Term(2)}, {ShardId(1), Term(1)}});
  fixture.scheduler.on_progress_report(
      {ShardId(0), Term(2), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 3)}}}}}, at(2));
  fixture.publish("run-1", 2);
  fixture.job("run-2", 10);
  ASSERT_EQ(fixture.scheduler.demand(at(3)).size(), 1u);
  EXPECT_EQ(fixture.scheduler.demand(at(3))[0].resource_request.wanted, 3u);
}

// Found by the simulation, seed 1366: 8 tasks are charged, 3 are reported as released, and the limit is 6.
TEST(Quota, ReleasedTasksBeyondTheLimitAreNotAllGrantedAgain) {
  SchedulerFixture fixture(6);
  fixture.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  auto& job = fixture.job("run-1", 8);
  job.grants = {{{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 8), std::nullopt, false, Attempt()}},
                 Generation(1),
                 false},
                Revision(5)};
  fixture.scheduler.on_progress_report(
      {ShardId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 3)}}}}}, at(2));
  fixture.publish("run-1", 2);
  ASSERT_EQ(fixture.scheduler.demand(at(3)).size(), 1u);
  EXPECT_EQ(fixture.scheduler.demand(at(3))[0].resource_request.wanted, 1u);
  auto grants = fixture.run_round(4, {{0, capacity(100)}, {1, capacity(100)}});
  ASSERT_EQ(grants.size(), 1u);
  std::uint32_t granted = 0;
  for (auto& [shard, tasks] : SchedulerFixture::by_shard(grants[0])) granted += tasks;
  EXPECT_EQ(granted, 6u);
}

TEST(Quota, GrantsNeverExceedTheTeamsLimit) {
  SchedulerFixture fixture(6);
  fixture.job("run-1", 10);
  fixture.job("run-2", 10);
  auto grants = fixture.run_round(1, {{0, capacity(100)}, {1, capacity(100)}});
  std::uint32_t granted = 0;
  for (auto& grant : grants)
    for (auto& [shard, tasks] : SchedulerFixture::by_shard(grant)) granted += tasks;
  EXPECT_EQ(granted, 6u);
  fixture.commit(grants, 1);
  EXPECT_TRUE(fixture.run_round(2, {{0, capacity(100)}, {1, capacity(100)}}).empty());
  // The tasks of a cancelled job are charged until they are released.
  auto first = grants[0].job.value();
  fixture.publish(first.c_str(), 3, TerminalState::kCancelled);
  EXPECT_TRUE(fixture.run_round(4, {{0, capacity(100)}, {1, capacity(100)}}).empty());
  EXPECT_TRUE(fixture.scheduler.collectable().empty());
  for (auto& chunk : fixture.jobs[first].grants.value.chunks)
    fixture.jobs[first].progress[chunk.shard].value.released.push_back({chunk.generation, chunk.tasks});
  fixture.publish(first.c_str(), 5, TerminalState::kCancelled);
  EXPECT_EQ(fixture.scheduler.collectable().size(), 1u);
  EXPECT_FALSE(fixture.run_round(6, {{0, capacity(100)}, {1, capacity(100)}}).empty());
}

// Found by the simulation, seed 24: a transaction whose outcome was unknown was committed after the next one.
// The next one had granted the team's remaining quota to another job as well.
TEST(Quota, IndeterminateGrantIsSupersededByTheNextTransaction) {
  SchedulerFixture fixture(6);
  fixture.job("run-1", 10);
  auto indeterminate = fixture.run_round(1, {{0, capacity(100)}});
  ASSERT_EQ(indeterminate.size(), 0u);  // The round waits for shard 1.
  indeterminate =
      fixture.scheduler.decide_grants(at(4), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}}).value();
  ASSERT_EQ(indeterminate.size(), 1u);
  fixture.scheduler.on_granted(indeterminate, std::nullopt, at(5));
  fixture.job("run-2", 10, [](auto& spec) { spec.priority = Priority::kHigh; });
  auto next = fixture.run_round(6, {{0, capacity(100)}, {1, capacity(100)}});
  auto find_grant = [&](const char* id) {
    return std::find_if(next.begin(), next.end(), [&](const auto& grant) { return grant.job == JobId(id); });
  };
  ASSERT_NE(find_grant("run-2"), next.end());
  ASSERT_NE(find_grant("run-1"), next.end());  // superseded without tasks, because the limit is used up
  EXPECT_EQ(find_grant("run-1")->expected, indeterminate[0].expected);
  EXPECT_TRUE(find_grant("run-1")->grants.chunks.empty());
  fixture.commit(next, 6);
  // The superseded transaction can no longer be committed.
  EXPECT_TRUE(fixture.run_round(8, {{0, capacity(100)}, {1, capacity(100)}}).empty());
}

TEST(Quota, IndeterminateGrantIsDiscardedOnceItCanNoLongerBeCommitted) {
  SchedulerFixture fixture(20);
  fixture.job("run-1", 4);
  auto indeterminate = fixture.run_round(1, {{0, capacity(100)}, {1, capacity(100)}});
  ASSERT_EQ(indeterminate.size(), 1u);
  fixture.scheduler.on_granted(indeterminate, std::nullopt, at(2));
  // The transaction is conditional on the job not being in a terminal state.
  fixture.publish("run-1", 3, TerminalState::kCancelled);
  fixture.job("run-2", 4);
  auto next = fixture.run_round(4, {{0, capacity(100)}, {1, capacity(100)}});
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].job, JobId("run-2"));
}

// If there are more indeterminate grants than one transaction may contain, they are superseded first, without
// other grants in the same transaction.
TEST(Quota, ManyIndeterminateGrantsAreSupersededBeforeOtherGrants) {
  SchedulerFixture fixture;
  std::set<JobId> indeterminate;
  for (int i = 0; i < 10; ++i) {
    auto id = "run-" + std::to_string(100 - i);
    fixture.job(id.c_str(), 1,
                [&](auto& spec) { spec.priority = i < 5 ? Priority::kNormal : Priority::kHigh; });
    auto grants = fixture.run_round(i * 10, {{0, capacity(100)}, {1, capacity(100)}});
    ASSERT_FALSE(grants.empty());
    for (auto& grant : grants) indeterminate.insert(grant.job);
    fixture.scheduler.on_granted(grants, std::nullopt, at(i * 10 + 5));
    fixture.publish(id.c_str(), i * 10 + 6);
  }
  auto grants = fixture.run_round(200, {{0, capacity(100)}, {1, capacity(100)}});
  EXPECT_LE(grants.size(), 8u);
  fixture.commit(grants, 200);
  for (int i = 1; i < 20 && !grants.empty(); ++i) {
    grants = fixture.run_round(200 + i * 10, {{0, capacity(100)}, {1, capacity(100)}});
    EXPECT_LE(grants.size(), 8u);
    fixture.commit(grants, 200 + i * 10);
  }
  for (auto& [id, job] : fixture.jobs) EXPECT_EQ(job.outstanding().count(), 1u) << id;
}

}  // namespace
}  // namespace beaconsill::scheduler
