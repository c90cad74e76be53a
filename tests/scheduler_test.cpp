// The scheduler as a whole: rounds, grants, gangs, crash loops and completion. Quota: quota_test.cpp.
#include "scheduler_fixture.h"

namespace beaconsill::scheduler {
namespace {

TEST(Scheduler, DividesTasksByTheEstimates) {
  SchedulerFixture fixture;
  fixture.job("run-1", 10);
  auto grants = fixture.run_round(1, {{0, capacity(15)}, {1, capacity(5)}});
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_EQ(SchedulerFixture::by_shard(grants[0]), (std::map<std::uint32_t, std::uint32_t>{{0, 8}, {1, 2}}));
}

TEST(Scheduler, CapacityWithTheImageGoesFirst) {
  SchedulerFixture fixture;
  fixture.job("run-1", 2);
  auto grants = fixture.run_round(1, {{0, capacity(50, 0)}, {1, capacity(5, 3)}});
  EXPECT_EQ(SchedulerFixture::by_shard(grants.at(0)), (std::map<std::uint32_t, std::uint32_t>{{1, 2}}));
  // What doesn't fit where the image is goes elsewhere.
  SchedulerFixture cold_fixture;
  cold_fixture.job("run-1", 8);
  grants = cold_fixture.run_round(1, {{0, capacity(50, 0)}, {1, capacity(5, 3)}});
  EXPECT_EQ(SchedulerFixture::by_shard(grants.at(0)),
            (std::map<std::uint32_t, std::uint32_t>{{0, 5}, {1, 3}}));
}

TEST(Scheduler, WaitsForAShardWithoutResponseThenUsesItsSummary) {
  SchedulerFixture fixture;
  fixture.job("run-1", 4);
  fixture.scheduler.on_summary({ShardId(1),
                                Term(1),
                                Revision(1),
                                {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, 0, true}},
                                {}});
  EXPECT_TRUE(fixture.run_round(1, {{0, capacity(4)}}).empty());
  auto grants = fixture.scheduler.decide(at(3.1), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  ASSERT_TRUE(grants && grants->size() == 1);
  EXPECT_EQ(SchedulerFixture::by_shard(grants->at(0)),
            (std::map<std::uint32_t, std::uint32_t>{{0, 2}, {1, 2}}));
}

TEST(Scheduler, SubtractsWhatAShardHasNotSeenYet) {
  SchedulerFixture fixture;
  fixture.job("run-1", 4);
  auto grants = fixture.run_round(1, {{0, capacity(4)}, {1, {}}});
  fixture.commit(grants, 1);
  auto seen_before = fixture.revision - 1;
  fixture.job("run-2", 4);
  fixture.revision = seen_before;  // the shards respond without knowing the first grant
  EXPECT_TRUE(fixture.run_round(2, {{0, capacity(4)}, {1, {}}}).empty());
  fixture.revision = seen_before + 1;
  EXPECT_EQ(fixture.run_round(3, {{0, capacity(4)}, {1, {}}}).size(), 1u);
}

TEST(Scheduler, ZonesOfOneZoneAndSpreadJobs) {
  protocol::CapacityByZone two{{Zone("a"), 6, 0, 0}, {Zone("b"), 3, 0, 0}};
  {
    SchedulerFixture fixture;
    fixture.job("run-1", 9, [](auto& spec) { spec.one_zone = true; });
    auto grants = fixture.run_round(1, {{0, two}, {1, {{Zone("b"), 4, 0, 0}}}});
    std::set<std::string> zones;
    for (auto& chunk : grants.at(0).grants.chunks) zones.insert(chunk.zone.value().value());
    EXPECT_EQ(zones, std::set<std::string>{"b"});  // 3 + 4 beats 6
    fixture.commit(grants, 1);
    // Its other tasks are bound to that zone.
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

TEST(Scheduler, HigherPriorityMayPreempt) {
  SchedulerFixture fixture;
  fixture.job("run-1", 2, [](auto& spec) { spec.priority = Priority::kHigh; });
  auto grants = fixture.run_round(1, {{0, capacity(1, 0, 5)}, {1, {}}});
  ASSERT_EQ(grants.size(), 1u);
  ASSERT_EQ(grants[0].grants.chunks.size(), 2u);
  EXPECT_FALSE(grants[0].grants.chunks[0].preempt);
  EXPECT_TRUE(grants[0].grants.chunks[1].preempt);
}

// A fetch takes longer than stopping a task of lower priority: services go where their image is.
TEST(Scheduler, AServicePrefersPreemptionWhereTheImageIs) {
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

TEST(Scheduler, AJobIsCompletedWhenAllItsTasksAreDone) {
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

TEST(Gang, IsGrantedToOneShardIfOneCanHoldItElseToSeveralOrNone) {
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

TEST(Gang, IsRevokedWhenSomeTasksAreReleasedAndStartsAnewOnceAllAre) {
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

// A job that a shard leader reports to fail everywhere; granted a task whenever one is due, it fails again at
// once.
struct CrashLoop {
  explicit CrashLoop(std::function<void(protocol::JobSpec&)> change = {}) {
    fixture.job("run-1", 100, std::move(change));
    fixture.commit(fixture.run_round(1, {{0, capacity(200)}, {1, {}}}), 1);
    fails(2);
  }
  void fails(double time) {
    auto& job = fixture.jobs["run-1"];
    Ranges all;
    for (auto& chunk : job.grants.value.chunks) all.add(chunk.tasks);
    job.progress[ShardId(0)].value.released = {{job.grants.value.last, all}};
    report(protocol::JobHealth::kFailing, time);
    fixture.publish("run-1", time);
  }
  // The leader of shard 0 reports it.
  void report(protocol::JobHealth health, double time) {
    fixture.scheduler.on_progress_report({ShardId(0), Term(1), {{JobId("run-1"), {}, {}, health}}}, at(time));
  }
  // How many of its tasks are granted.
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

TEST(CrashLoop, IsRetriedByOneTaskEverMoreSeldom) {
  CrashLoop crash_loop;
  std::uint32_t granted = 0;
  for (double time = 2.5; time < 120; time += 0.5) {
    auto tasks = crash_loop.run_round(time);
    EXPECT_LE(tasks, 1u) << time;
    granted += tasks;
    if (tasks) crash_loop.fails(time + 0.3);
  }
  EXPECT_GE(granted, 5u);
  EXPECT_LE(granted, 8u);
  // No machine is rented for what waits of it.
  std::uint32_t wanted = 0;
  for (auto& demand : crash_loop.fixture.scheduler.demand(at(120))) wanted += demand.resource_request.wanted;
  EXPECT_LE(wanted, 1u);
}

TEST(CrashLoop, DoesNotTakeTheHeadOfTheQueue) {
  CrashLoop crash_loop;
  crash_loop.fixture.job("run-2", 4);
  // Far beyond the longest wait, and still others are served before it.
  auto grants = crash_loop.fixture.run_round(400, {{0, capacity(4)}, {1, {}}}, false, 400);
  ASSERT_FALSE(grants.empty());
  EXPECT_EQ(grants[0].job, JobId("run-2"));
}

TEST(CrashLoop, IsGrantedAsAWholeOnceItWorks) {
  for (bool by_message : {true, false}) {
    CrashLoop crash_loop;
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

TEST(CrashLoop, OneTaskOfItIsOutstandingAtATime) {
  CrashLoop crash_loop;
  ASSERT_EQ(crash_loop.run_round(10), 1u);
  for (double time = 11; time < 60; time += 1) EXPECT_EQ(crash_loop.run_round(time), 0u) << time;
}

// All shards report it of the same grant, and copies of their reports come late.
TEST(CrashLoop, AGrantCountsOnce) {
  CrashLoop crash_loop;
  for (int i = 0; i < 10; ++i) crash_loop.report(protocol::JobHealth::kFailing, 2.1);
  EXPECT_EQ(crash_loop.run_round(4.5), 1u);
}

}  // namespace
}  // namespace beaconsill::scheduler
