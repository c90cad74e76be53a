// Tests the scheduler as a whole: rounds, grants, gangs, crash loops and completion. See quota_test.cpp for
// quotas.
#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

TEST(Scheduler, DividesTasksInProportionToTheEstimates) {
  SchedulerFixture fixture;
  fixture.job("run-1", 10);
  auto grants = fixture.run_round(1, {{0, capacity(15)}, {1, capacity(5)}});
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_EQ(SchedulerFixture::by_shard(grants[0]), (std::map<std::uint32_t, std::uint32_t>{{0, 8}, {1, 2}}));
}

TEST(Scheduler, UsesCapacityWithTheImageCachedFirst) {
  SchedulerFixture fixture;
  fixture.job("run-1", 2);
  auto grants = fixture.run_round(1, {{0, capacity(50, 0)}, {1, capacity(5, 3)}});
  EXPECT_EQ(SchedulerFixture::by_shard(grants.at(0)), (std::map<std::uint32_t, std::uint32_t>{{1, 2}}));
  // Tasks that don't fit where the image is cached are placed on other capacity.
  SchedulerFixture second_fixture;
  second_fixture.job("run-1", 8);
  grants = second_fixture.run_round(1, {{0, capacity(50, 0)}, {1, capacity(5, 3)}});
  EXPECT_EQ(SchedulerFixture::by_shard(grants.at(0)),
            (std::map<std::uint32_t, std::uint32_t>{{0, 5}, {1, 3}}));
}

TEST(Scheduler, UsesTheSummaryOfAShardThatDoesNotRespondWithinTheReplyWait) {
  SchedulerFixture fixture;
  fixture.job("run-1", 4);
  fixture.scheduler.on_summary({ShardId(1),
                                Term(1),
                                Revision(1),
                                {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, 0, true}},
                                {}});
  EXPECT_TRUE(fixture.run_round(1, {{0, capacity(4)}}).empty());
  auto grants = fixture.scheduler.decide_grants(at(3.1), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  EXPECT_EQ(SchedulerFixture::by_shard(grants->at(0)),
            (std::map<std::uint32_t, std::uint32_t>{{0, 2}, {1, 2}}));
}

TEST(Scheduler, SubtractsGrantsThatAShardHasNotReadYet) {
  SchedulerFixture fixture;
  fixture.job("run-1", 4);
  auto grants = fixture.run_round(1, {{0, capacity(4)}, {1, {}}});
  fixture.commit(grants, 1);
  auto revision_before_grant = fixture.revision - 1;
  fixture.job("run-2", 4);
  fixture.revision = revision_before_grant;  // the shards haven't read the first grant when they respond
  EXPECT_TRUE(fixture.run_round(2, {{0, capacity(4)}, {1, {}}}).empty());
  fixture.revision = revision_before_grant + 1;
  EXPECT_EQ(fixture.run_round(3, {{0, capacity(4)}, {1, {}}}).size(), 1u);
}

TEST(Scheduler, AppliesTheZoneRulesOfOneZoneAndSpreadJobs) {
  protocol::CapacityByZone two_zones{{Zone("a"), 6, 0, 0}, {Zone("b"), 3, 0, 0}};
  {
    SchedulerFixture fixture;
    fixture.job("run-1", 9, [](auto& spec) { spec.one_zone = true; });
    auto grants = fixture.run_round(1, {{0, two_zones}, {1, {{Zone("b"), 4, 0, 0}}}});
    std::set<std::string> zones;
    for (auto& chunk : grants.at(0).grants.chunks) zones.insert(chunk.zone.value().value());
    EXPECT_EQ(zones, std::set<std::string>{"b"});  // 3 + 4 tasks in zone b, but only 6 in zone a
    fixture.commit(grants, 1);
    // Its other tasks may only be granted in the same zone.
    EXPECT_TRUE(fixture.run_round(3, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {}}}).empty());
  }
  {
    SchedulerFixture fixture;
    fixture.job("run-1", 5, [](auto& spec) { spec.spread = true; });
    auto grants = fixture.run_round(1, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {{Zone("b"), 1, 0, 0}}}});
    EXPECT_EQ(SchedulerFixture::by_shard(grants.at(0)),
              (std::map<std::uint32_t, std::uint32_t>{{0, 3}, {1, 1}}));
    fixture.commit(grants, 1);
    EXPECT_TRUE(fixture.run_round(3, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {}}}).empty());
  }
}

TEST(Scheduler, JobOfHigherPriorityUsesPreemptibleCapacityAfterFreeCapacity) {
  SchedulerFixture fixture;
  fixture.job("run-1", 2, [](auto& spec) { spec.priority = Priority::kHigh; });
  auto grants = fixture.run_round(1, {{0, capacity(1, 0, 5)}, {1, {}}});
  ASSERT_EQ(grants.size(), 1u);
  ASSERT_EQ(grants[0].grants.chunks.size(), 2u);
  EXPECT_FALSE(grants[0].grants.chunks[0].preempt);
  EXPECT_TRUE(grants[0].grants.chunks[1].preempt);
}

// Fetching an image takes longer than stopping a task of lower priority.
TEST(Scheduler, ServicePrefersPreemptionWhereItsImageIsCached) {
  struct Case {
    JobKind kind;
    std::uint32_t image_cached_preemptible;
    bool preempts;
  };
  for (const auto& test_case : {Case{JobKind::kService, 3, true}, Case{JobKind::kService, 0, false},
                                Case{JobKind::kArray, 3, false}}) {
    SchedulerFixture fixture;
    fixture.job("run-1", 1, [&](auto& spec) { spec.kind = test_case.kind, spec.priority = Priority::kHigh; });
    auto grants = fixture.run_round(
        1, {{0, capacity(9)},
            {1, capacity(0, 0, test_case.image_cached_preemptible, test_case.image_cached_preemptible)}});
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(grants[0].grants.chunks.at(0).preempt, test_case.preempts);
    EXPECT_EQ(grants[0].grants.chunks.at(0).shard, ShardId(test_case.preempts ? 1 : 0));
  }
}

TEST(Scheduler, JobIsCompletedWhenAllItsTasksAreDone) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 4);
  fixture.job("run-2", 1, [](auto& spec) { spec.kind = JobKind::kService; });
  auto grants = fixture.run_round(1, {{0, capacity(2)}, {1, capacity(2)}});
  fixture.commit(grants, 1);
  job.progress[ShardId(0)].value.done = Ranges::span(0, 3);
  fixture.publish("run-1", 2);
  EXPECT_TRUE(fixture.scheduler.completed().empty());
  job.progress[ShardId(1)].value.done = Ranges::span(3, 4);
  fixture.publish("run-1", 3);
  EXPECT_EQ(fixture.scheduler.completed(), std::vector{JobId("run-1")});
}

TEST(Scheduler, ReleasedTasksAreGrantedAgainUnderANewGeneration) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 4);
  fixture.commit(fixture.run_round(1, {{0, capacity(4)}, {1, {}}}), 1);
  job.progress[ShardId(0)].value.released = {{Generation(1), Ranges::span(2, 4)}};
  fixture.publish("run-1", 2);
  auto grants = fixture.run_round(3, {{0, {}}, {1, capacity(9)}});
  ASSERT_EQ(grants.size(), 1u);
  ASSERT_EQ(grants[0].grants.chunks.size(), 2u);
  EXPECT_EQ(grants[0].grants.chunks[0].tasks.str(), "0-1");
  EXPECT_EQ(grants[0].grants.chunks[1].tasks.str(), "2-3");
  EXPECT_EQ(grants[0].grants.chunks[1].generation, Generation(2));
}

TEST(Gang, IsGrantedToOneShardIfItFitsElseToSeveralOrNone) {
  struct Case {
    std::uint32_t tasks, first, second;
    std::map<std::uint32_t, std::uint32_t> shards;
  };
  for (const auto& test_case : {Case{4, 4, 3, {{0, 4}}}, Case{4, 3, 9, {{1, 4}}},
                                Case{6, 4, 4, {{0, 3}, {1, 3}}}, Case{9, 4, 4, {}}}) {
    SchedulerFixture fixture;
    fixture.job("run-1", test_case.tasks, [](auto& spec) { spec.kind = JobKind::kGang; });
    auto grants = fixture.run_round(1, {{0, capacity(test_case.first)}, {1, capacity(test_case.second)}});
    ASSERT_EQ(grants.empty(), test_case.shards.empty()) << test_case.tasks;
    if (grants.empty()) continue;
    EXPECT_EQ(SchedulerFixture::by_shard(grants[0]), test_case.shards);
    for (auto& chunk : grants[0].grants.chunks) EXPECT_EQ(chunk.gang_attempt, Attempt(1));
  }
}

TEST(Gang, IsRevokedWhenSomeTasksAreReleasedAndGrantedAgainOnceAllAre) {
  SchedulerFixture fixture;
  auto& job = fixture.job("run-1", 6, [](auto& spec) { spec.kind = JobKind::kGang; });
  fixture.commit(fixture.run_round(1, {{0, capacity(4)}, {1, capacity(4)}}), 1);
  job.progress[ShardId(0)].value.released = {{Generation(1), Ranges::span(0, 3)}};
  fixture.publish("run-1", 2);
  EXPECT_TRUE(fixture.run_round(3, {{0, capacity(9)}, {1, capacity(9)}}).empty());
  auto grants = fixture.run_round(5, {{0, capacity(9)}, {1, capacity(9)}});
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_TRUE(grants[0].grants.revoke);
  fixture.commit(grants, 5);
  EXPECT_TRUE(fixture.run_round(7, {{0, capacity(9)}, {1, capacity(9)}}).empty());
  job.progress[ShardId(1)].value.released = {{Generation(2), Ranges::span(3, 6)}};
  fixture.publish("run-1", 8);
  grants = fixture.run_round(9, {{0, capacity(9)}, {1, capacity(9)}});
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_FALSE(grants[0].grants.revoke);
  EXPECT_EQ(grants[0].grants.chunks.at(0).gang_attempt, Attempt(3));
  EXPECT_EQ(grants[0].grants.chunks.at(0).tasks.count(), 6u);
}

// A job of 100 tasks, all of which were granted and have failed, and which a shard leader has reported as
// failing.
struct CrashLoopFixture {
  explicit CrashLoopFixture(std::function<void(protocol::JobSpec&)> change = {}) {
    fixture.job("run-1", 100, std::move(change));
    fixture.commit(fixture.run_round(1, {{0, capacity(200)}, {1, {}}}), 1);
    fail(2);
  }
  // All outstanding tasks of the job fail and are released.
  void fail(double time) {
    auto& job = fixture.jobs["run-1"];
    Ranges granted_tasks;
    for (auto& chunk : job.grants.value.chunks) granted_tasks.add(chunk.tasks);
    job.progress[ShardId(0)].value.released = {{job.grants.value.last, granted_tasks}};
    report(protocol::JobHealth::kFailing, time);
    fixture.publish("run-1", time);
  }
  // The leader of shard 0 reports the health of the job.
  void report(protocol::JobHealth health, double time) {
    fixture.scheduler.on_progress_report({ShardId(0), Term(1), {{JobId("run-1"), {}, {}, health}}}, at(time));
  }
  // Runs a round, commits its grants and returns how many tasks of the job were granted.
  std::uint32_t run_round(double time) {
    auto grants = fixture.run_round(time, {{0, capacity(200)}, {1, {}}}, false, time);
    std::uint32_t granted = 0;
    for (auto& grant : grants)
      if (grant.job == JobId("run-1"))
        for (auto& chunk : grant.grants.chunks)
          if (chunk.generation == grant.grants.last) granted += chunk.tasks.count();
    fixture.commit(grants, time);
    return granted;
  }
  SchedulerFixture fixture;
};

TEST(CrashLoop, IsRetriedWithOneTaskAtGrowingIntervals) {
  CrashLoopFixture crash_loop;
  std::uint32_t granted = 0;
  for (double time = 2.5; time < 120; time += 0.5) {
    auto tasks = crash_loop.run_round(time);
    EXPECT_LE(tasks, 1u) << time;
    granted += tasks;
    if (tasks) crash_loop.fail(time + 0.3);
  }
  EXPECT_GE(granted, 5u);
  EXPECT_LE(granted, 8u);
  // No instance is rented for the tasks that wait for the next retry.
  std::uint32_t wanted = 0;
  for (auto& demand : crash_loop.fixture.scheduler.demand(at(120))) wanted += demand.resource_request.wanted;
  EXPECT_LE(wanted, 1u);
}

TEST(CrashLoop, JobIsServedAfterOtherJobs) {
  CrashLoopFixture crash_loop;
  crash_loop.fixture.job("run-2", 4);
  // Other jobs are served before it even though it has waited far longer than the longest wait.
  auto grants = crash_loop.fixture.run_round(400, {{0, capacity(4)}, {1, {}}}, false, 400);
  ASSERT_FALSE(grants.empty());
  EXPECT_EQ(grants[0].job, JobId("run-2"));
}

TEST(CrashLoop, AllTasksAreGrantedOnceOneTaskWorks) {
  for (bool by_message : {true, false}) {
    CrashLoopFixture crash_loop;
    ASSERT_EQ(crash_loop.run_round(10), 1u);
    if (by_message) {
      crash_loop.report(protocol::JobHealth::kHealthy, 20);
    } else {
      crash_loop.fixture.jobs["run-1"].progress[ShardId(0)].value.done = Ranges::span(0, 1);
    }
    crash_loop.fixture.publish("run-1", 20);
    EXPECT_EQ(crash_loop.run_round(21), 99u) << by_message;
  }
}

TEST(CrashLoop, OnlyOneTaskIsOutstandingAtATime) {
  CrashLoopFixture crash_loop;
  ASSERT_EQ(crash_loop.run_round(10), 1u);
  for (double time = 11; time < 60; time += 1) EXPECT_EQ(crash_loop.run_round(time), 0u) << time;
}

// All shards may report the failure of the same grant, and copies of their reports may arrive late.
TEST(CrashLoop, RepeatedReportsOnOneGrantCountAsOneFailure) {
  CrashLoopFixture crash_loop;
  for (int i = 0; i < 10; ++i) crash_loop.report(protocol::JobHealth::kFailing, 2.1);
  EXPECT_EQ(crash_loop.run_round(4.5), 1u);
}

}  // namespace
}  // namespace beaconsill::scheduler
