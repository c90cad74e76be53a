// Tests which chunks of the jobs' tasks are granted to which shards after the responses of a round.
#include "scheduler/grant_builder.h"

#include <gtest/gtest.h>

#include <string>

#include "job_table_fixture.h"

namespace beaconsill::scheduler {
namespace {

using TasksByShard = std::map<std::uint32_t, std::uint32_t>;

constexpr std::uint64_t kRound = 1;
const ShardId kFirst(0);
const ShardId kSecond(1);

protocol::CapacityByZone free_tasks(std::uint32_t free, const char* zone = "a") {
  return {{Zone(zone), free, 0, 0, 0}};
}

// A round in which both shards were asked about all candidates. Each candidate has its own resource request.
struct GrantBuilderFixture : JobTableFixture {
  using JobTableFixture::JobTableFixture;

  void add_candidate(const char* id, bool arrays_yield = false) {
    selection.candidates.push_back({JobId(id), selection.resource_requests.size(), arrays_yield});
    selection.resource_requests.push_back(shard::request_of(jobs.at(JobId(id)).spec(), 10));
  }
  // The shard responds with the same capacity for each candidate.
  void respond(ShardId shard, const protocol::CapacityByZone& capacity) { responses[shard] = capacity; }
  // Returns the grants of all candidates in their order.
  std::vector<std::optional<JobGrant>> build(double time = 1) const {
    EstimationRound round(kRound, at(0), {kFirst, kSecond}, selection);
    for (const auto& [shard, capacity] : responses)
      round.on_response({kRound, shard, terms.at(shard), Revision(1),
                         std::vector(selection.resource_requests.size(), capacity)});
    const auto waiting_jobs = waiting();
    GrantBuilder builder(
        {round, jobs, quota, waiting_jobs, summaries, terms, rules, std::chrono::seconds(1), at(time)},
        reserved_cpus);
    std::vector<std::optional<JobGrant>> grants;
    for (const auto& candidate : selection.candidates) grants.push_back(builder.build(candidate));
    return grants;
  }

  RoundSelection selection;
  std::map<ShardId, protocol::CapacityByZone> responses;
  ShardTerms terms{{kFirst, Term(3)}, {kSecond, Term(5)}};
  ShardSummaries summaries;
  shard::PackingRules rules;
  ReservedCpus reserved_cpus;
};

TasksByShard by_shard(const std::optional<JobGrant>& grant) {
  TasksByShard tasks;
  if (!grant) return tasks;
  for (const auto& chunk : grant->grants.chunks) tasks[chunk.shard.value()] += chunk.tasks.count();
  return tasks;
}

state_store::Chunk chunk(std::uint64_t generation, ShardId shard, const Ranges& tasks,
                         const std::optional<Zone>& zone = std::nullopt) {
  return {Generation(generation), shard, Term(1), tasks, zone, false, Attempt()};
}

TEST(GrantBuilder, NewChunksContainGenerationTermAndTasks) {
  GrantBuilderFixture fixture;
  fixture.add("run-1", 10, {}, [](JobEntry& entry) {
    entry.grants.last = Generation(4);
    entry.grants_revision = Revision(7);
  });
  fixture.add_candidate("run-1");
  fixture.respond(kFirst, free_tasks(6));
  fixture.respond(kSecond, free_tasks(4));
  auto grant = fixture.build()[0];
  ASSERT_TRUE(grant);
  EXPECT_EQ(grant->job, JobId("run-1"));
  EXPECT_EQ(grant->expected, Revision(7));
  EXPECT_EQ(grant->grants.last, Generation(6));
  const auto& chunks = grant->grants.chunks;
  ASSERT_EQ(chunks.size(), 2u);
  const state_store::Chunk first{Generation(5), kFirst, Term(3),  Ranges::span(0, 6),
                                 std::nullopt,  false,  Attempt()};
  const state_store::Chunk second{Generation(6), kSecond, Term(5),  Ranges::span(6, 10),
                                  std::nullopt,  false,   Attempt()};
  EXPECT_EQ(chunks[0], first);
  EXPECT_EQ(chunks[1], second);
}

TEST(GrantBuilder, RetainsChunksOfEarlierGrants) {
  GrantBuilderFixture fixture;
  const auto earlier = chunk(1, kSecond, Ranges::span(0, 4));
  fixture.add("run-1", 10, {}, [&](JobEntry& entry) {
    entry.grants.last = Generation(1);
    entry.pending = Ranges::span(4, 10);
    entry.retained_chunks = {{4, earlier}};
  });
  fixture.add_candidate("run-1");
  fixture.respond(kFirst, free_tasks(10));
  auto grant = fixture.build()[0];
  ASSERT_TRUE(grant);
  ASSERT_EQ(grant->grants.chunks.size(), 2u);
  EXPECT_EQ(grant->grants.chunks[0], earlier);
  EXPECT_EQ(grant->grants.chunks[1].tasks, Ranges::span(4, 10));
}

TEST(GrantBuilder, GrantsNothingWithoutPendingTasksCapacityOrQuota) {
  struct Case {
    const char* what;
    double limit;
    std::uint32_t free;
    void (*change_entry)(JobEntry&);
  };
  const Case cases[] = {
      {"no capacity", 0, 0, nullptr},
      {"no quota left", 0.5, 10, nullptr},
      {"nothing pending", 0, 10, [](JobEntry& entry) { entry.pending = {}; }},
      {"the job is over", 0, 10,
       [](JobEntry& entry) { entry.terminal_state = state_store::TerminalState::kCancelled; }},
  };
  for (const auto& test_case : cases) {
    GrantBuilderFixture fixture({{Team("blue"), 0, test_case.limit, 0, 0}});
    fixture.add("run-1", 10, {}, test_case.change_entry);
    fixture.add_candidate("run-1");
    fixture.respond(kFirst, free_tasks(test_case.free));
    EXPECT_FALSE(fixture.build()[0]) << test_case.what;
  }
}

TEST(GrantBuilder, SubtractsGrantsOfEarlierJobsFromCapacityAndQuota) {
  struct Case {
    const char* what;
    double limit;
    std::uint32_t free;
    double reserved_cpus;  // for grants that the shard's response doesn't account for
    TasksByShard tasks_of_second_job;
  };
  const Case cases[] = {
      {"enough for both", 0, 20, 0, {{0, 8}}},
      {"limited by the shard's capacity", 0, 10, 0, {{0, 2}}},
      {"limited by the shard's capacity less the reserved CPUs", 0, 13, 4, {{0, 1}}},
      {"limited by the team's quota", 11, 20, 0, {{0, 3}}},
  };
  for (const auto& test_case : cases) {
    GrantBuilderFixture fixture({{Team("blue"), 0, test_case.limit, 0, 0}});
    fixture.add("run-1", 8);
    fixture.add("run-2", 8);
    fixture.add_candidate("run-1");
    fixture.add_candidate("run-2");
    fixture.respond(kFirst, free_tasks(test_case.free));
    fixture.reserved_cpus.add(kFirst, test_case.reserved_cpus);
    auto grants = fixture.build();
    EXPECT_EQ(by_shard(grants[0]), (TasksByShard{{0, 8}})) << test_case.what;
    EXPECT_EQ(by_shard(grants[1]), test_case.tasks_of_second_job) << test_case.what;
  }
}

TEST(GrantBuilder, UsesTheSummaryOfAShardWithoutResponse) {
  GrantBuilderFixture fixture;
  fixture.add("run-1", 10);
  fixture.add_candidate("run-1");
  fixture.respond(kFirst, free_tasks(2));
  protocol::Summary summary;
  summary.shard = kSecond;
  summary.machines = {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, 0, true}};
  fixture.summaries.update(summary);
  EXPECT_EQ(by_shard(fixture.build()[0]), (TasksByShard{{0, 2}, {1, 4}}));
}

TEST(GrantBuilder, GrantsNothingToShardsWithoutALeader) {
  GrantBuilderFixture fixture;
  fixture.add("run-1", 10);
  fixture.add_candidate("run-1");
  fixture.terms = {{kSecond, Term(5)}};
  protocol::Summary summary;
  summary.shard = kFirst;
  summary.machines = {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, 0, true}};
  fixture.summaries.update(summary);
  fixture.respond(kSecond, free_tasks(3));
  EXPECT_EQ(by_shard(fixture.build()[0]), (TasksByShard{{1, 3}}));
}

TEST(GrantBuilder, GrantsFreeCapacityBeforePreemptibleCapacity) {
  GrantBuilderFixture fixture;
  fixture.add("run-1", 10);
  fixture.add_candidate("run-1");
  fixture.respond(kFirst, {{Zone("a"), 6, 0, 10, 0}});
  auto grant = fixture.build()[0];
  ASSERT_TRUE(grant);
  ASSERT_EQ(grant->grants.chunks.size(), 2u);
  EXPECT_FALSE(grant->grants.chunks[0].preempt);
  EXPECT_EQ(grant->grants.chunks[0].tasks, Ranges::span(0, 6));
  EXPECT_TRUE(grant->grants.chunks[1].preempt);
  EXPECT_EQ(grant->grants.chunks[1].tasks, Ranges::span(6, 10));
}

TEST(GrantBuilder, WritesThePriorityOnlyIfItIsInherited) {
  struct Case {
    Priority required;
    std::optional<Priority> written;
  };
  for (const auto& test_case :
       {Case{Priority::kNormal, std::nullopt}, Case{Priority::kHigh, Priority::kHigh}}) {
    GrantBuilderFixture fixture;
    fixture.add("run-1", 1, {}, [&](JobEntry& entry) { entry.requirement.priority = test_case.required; });
    fixture.add_candidate("run-1");
    fixture.respond(kFirst, free_tasks(1));
    auto grant = fixture.build()[0];
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->grants.chunks[0].priority, test_case.written);
  }
}

TEST(GrantBuilder, GrantsAOneZoneJobOnlyTheZoneOfItsPlacedTasks) {
  GrantBuilderFixture fixture;
  fixture.add(
      "run-1", 10, [](protocol::JobSpec& spec) { spec.one_zone = true; },
      [](JobEntry& entry) {
        entry.pending = Ranges::span(1, 10);
        entry.retained_chunks = {{1, chunk(1, kFirst, Ranges::span(0, 1), Zone("b"))}};
      });
  fixture.add_candidate("run-1");
  fixture.respond(kFirst, free_tasks(9, "a"));
  fixture.respond(kSecond, free_tasks(2, "b"));
  auto grant = fixture.build()[0];
  ASSERT_TRUE(grant);
  ASSERT_EQ(grant->grants.chunks.size(), 2u);
  EXPECT_EQ(grant->grants.chunks[1].shard, kSecond);
  EXPECT_EQ(grant->grants.chunks[1].zone, Zone("b"));
  EXPECT_EQ(grant->grants.chunks[1].tasks.count(), 2u);
}

TEST(GrantBuilder, GrantsAllTasksOfAGangUnderOneAttempt) {
  GrantBuilderFixture fixture;
  fixture.add("gang", 10, make_gang, [](JobEntry& entry) { entry.grants.last = Generation(4); });
  fixture.add_candidate("gang");
  fixture.respond(kFirst, free_tasks(6));
  fixture.respond(kSecond, free_tasks(3));
  EXPECT_FALSE(fixture.build()[0]);
  fixture.respond(kSecond, free_tasks(4));
  auto grant = fixture.build()[0];
  ASSERT_TRUE(grant);
  EXPECT_EQ(by_shard(grant), (TasksByShard{{0, 6}, {1, 4}}));
  for (const auto& granted : grant->grants.chunks) EXPECT_EQ(granted.gang_attempt, Attempt(5));
}

TEST(GrantBuilder, RevokesAGangWithReleasedTasksOnceAfterTwoHeartbeatPeriods) {
  struct Case {
    const char* what;
    double time_s;  // some tasks have been pending since 0 s; the heartbeat period is 1 s
    bool already_revoked;
    bool revokes;
  };
  const Case cases[] = {
      {"before two heartbeat periods", 1.9, false, false},
      {"after two heartbeat periods", 2, false, true},
      {"revoked already", 5, true, false},
  };
  for (const auto& test_case : cases) {
    GrantBuilderFixture fixture;
    fixture.add("gang", 10, make_gang, [&](JobEntry& entry) {
      entry.pending = Ranges::span(0, 4);
      entry.outstanding_tasks = 6;
      entry.retained_chunks = {{6, chunk(1, kFirst, Ranges::span(4, 10))}};
      entry.grants.revoke = test_case.already_revoked;
    });
    fixture.add_candidate("gang");
    fixture.respond(kFirst, free_tasks(100));
    auto grant = fixture.build(test_case.time_s)[0];
    ASSERT_EQ(grant.has_value(), test_case.revokes) << test_case.what;
    if (!grant) continue;
    EXPECT_TRUE(grant->grants.revoke) << test_case.what;
    EXPECT_EQ(by_shard(grant), (TasksByShard{{0, 6}})) << test_case.what;
  }
}

TEST(GrantBuilder, ArraysYieldForALimitedTimeToAStarvingGangWithoutCapacity) {
  struct Case {
    const char* what;
    bool arrays_yield;
    void (*change_spec)(protocol::JobSpec&);
    double time_s;  // both jobs have been waiting since 0 s
    bool granted;
  };
  const Case cases[] = {
      {"the gang isn't starving", false, nullptr, 1, true},
      {"an array yields to a starving gang", true, nullptr, 59, false},
      {"an array that has yielded for 60 s", true, nullptr, 60, true},
      {"a service doesn't yield", true, make_service, 1, true},
  };
  for (const auto& test_case : cases) {
    GrantBuilderFixture fixture;
    fixture.add("gang", 10, make_gang);
    fixture.add("run-1", 5, test_case.change_spec);
    fixture.add_candidate("gang", test_case.arrays_yield);
    fixture.add_candidate("run-1");
    fixture.respond(kFirst, free_tasks(9));
    auto grants = fixture.build(test_case.time_s);
    EXPECT_FALSE(grants[0]) << test_case.what;
    EXPECT_EQ(grants[1].has_value(), test_case.granted) << test_case.what;
  }
}

TEST(GrantBuilder, RewrittenGrantsRetainChunksAndDependOnShardsWithUnrecordedReleases) {
  JobTableFixture fixture;
  const auto retained_chunk = chunk(3, kFirst, Ranges::span(0, 4));
  const auto& entry = fixture.add("run-1", 10, {}, [&](JobEntry& changed) {
    changed.grants.last = Generation(3);
    changed.grants.revoke = true;
    changed.grants_revision = Revision(9);
    changed.retained_chunks = {{4, retained_chunk}};
    changed.released_by_message = {kSecond};
  });
  auto grant = rewrite_current_grants(JobId("run-1"), entry, fixture.quota);
  EXPECT_EQ(grant.job, JobId("run-1"));
  EXPECT_EQ(grant.expected, Revision(9));
  EXPECT_EQ(grant.depends_on_shards, std::set{kSecond});
  EXPECT_EQ(grant.grants.last, Generation(3));
  EXPECT_EQ(grant.grants.chunks, std::vector{retained_chunk});
  EXPECT_FALSE(grant.grants.revoke);
}

}  // namespace
}  // namespace beaconsill::scheduler
