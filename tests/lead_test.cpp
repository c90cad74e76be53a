// Rounds of the leader: grants, the ledger of what is granted, gangs, outcomes told by owners.
#include "lead_bench.h"

namespace beaconsill::scheduler {
namespace {

TEST(Scheduler, SplitsByTheAnswers) {
  Bench b;
  b.job("run-1", 10);
  auto g = b.round(1, {{0, room(15)}, {1, room(5)}});
  ASSERT_EQ(g.size(), 1u);
  EXPECT_EQ(Bench::by_shard(g[0]), (std::map<std::uint32_t, std::uint32_t>{{0, 8}, {1, 2}}));
}

TEST(Scheduler, RoomWithTheImageGoesFirst) {
  Bench b;
  b.job("run-1", 2);
  auto g = b.round(1, {{0, room(50, 0)}, {1, room(5, 3)}});
  EXPECT_EQ(Bench::by_shard(g.at(0)), (std::map<std::uint32_t, std::uint32_t>{{1, 2}}));
  // What the warm room doesn't hold goes to the cold.
  Bench c;
  c.job("run-1", 8);
  g = c.round(1, {{0, room(50, 0)}, {1, room(5, 3)}});
  EXPECT_EQ(Bench::by_shard(g.at(0)), (std::map<std::uint32_t, std::uint32_t>{{0, 5}, {1, 3}}));
}

// Found on a day when nine of ten changes in the state store were progress, and its limit held up
// everything else: what owners tell counts at once. What it may count for is the point of each case.
TEST(ProgressReport, CountAtOnceAsFarAsIsSafe) {
  auto told = [](std::uint64_t term, Ranges done, Ranges released) {
    return protocol::ProgressReport{
        ShardId(0), Term(term), {{JobId("run-1"), done, {{Generation(1), released}}}}};
  };
  Bench b(10);
  b.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  b.job("run-1", 10);
  b.record(b.round(1, {{0, room(10)}, {1, {}}}), 1);
  auto pending = [&](double t) { return b.scheduler.demand(at(t)); };
  EXPECT_TRUE(pending(1).empty());
  // A term that isn't the shard's: the owner may have been replaced, and its successor start the tasks.
  b.scheduler.on_progress_report(told(2, {}, Ranges::span(5, 10)), at(2));
  b.publish("run-1", 2);
  EXPECT_TRUE(pending(2).empty());
  b.scheduler.on_progress_report(told(1, Ranges::span(0, 2), Ranges::span(5, 10)), at(2));
  b.publish("run-1", 3);
  ASSERT_EQ(pending(3).size(), 1u);
  EXPECT_EQ(pending(3)[0].resource_request.wanted, 5u);
  // Granted anew, though the ledger still holds all ten: these five are in it already. The write rests on the
  // owner's term, and keeps what the owner has yet to record as done.
  auto g = b.round(4, {{0, {}}, {1, room(10)}});
  ASSERT_EQ(g.size(), 1u);
  EXPECT_EQ(g[0].depends_on_shards, std::set<ShardId>{ShardId(0)});
  EXPECT_EQ(Bench::by_shard(g[0]), (std::map<std::uint32_t, std::uint32_t>{{0, 5}, {1, 5}}));
  // Other work gets the place of what is done, not of what is returned by word alone.
  b.scheduler.on_granted(g, std::nullopt, at(7));
  b.job("run-2", 5);
  ASSERT_EQ(pending(8).size(), 2u);
  EXPECT_EQ(pending(8)[1].resource_request.wanted, 2u);
  // The shard's owner changes: what was told as returned counts no more, what is done stays done.
  auto again = b.scheduler.on_terms({{ShardId(0), Term(2)}, {ShardId(1), Term(1)}});
  EXPECT_EQ(again, std::vector<JobId>{JobId("run-1")});
  b.publish("run-1", 9);
  ASSERT_EQ(pending(9).size(), 1u);
  EXPECT_EQ(pending(9)[0].resource_request.wanted, 2u);
  b.scheduler.on_progress_report(told(2, Ranges::span(2, 10), {}), at(2));
  b.publish("run-1", 10);
  EXPECT_EQ(b.scheduler.completed(), std::vector<JobId>{JobId("run-1")});
  // Over: nobody starts any of its tasks again, so its place in the ledger is free.
  b.publish("run-1", 11, TerminalState::kDone);
  EXPECT_EQ(b.scheduler.collectable(), std::vector<JobId>{JobId("run-1")});
  ASSERT_EQ(pending(12).size(), 1u);
  EXPECT_EQ(pending(12)[0].resource_request.wanted, 5u);
}

// Found by the simulation, seed 1366: the new owner of a shard returned what its predecessor had told to be
// done.
TEST(ProgressReport, WhatWasDoneAndIsReturnedAllTheSameIsOutOfTheLedger) {
  Bench b(6);
  b.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  b.job("run-1", 6);
  b.record(b.round(1, {{0, room(10)}, {1, {}}}), 1);
  b.scheduler.on_progress_report({ShardId(0), Term(1), {{JobId("run-1"), Ranges::span(0, 3), {}}}}, at(2));
  b.scheduler.on_terms({{ShardId(0), Term(2)}, {ShardId(1), Term(1)}});
  b.scheduler.on_progress_report(
      {ShardId(0), Term(2), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 3)}}}}}, at(2));
  b.publish("run-1", 2);
  b.job("run-2", 10);
  ASSERT_EQ(b.scheduler.demand(at(3)).size(), 1u);
  EXPECT_EQ(b.scheduler.demand(at(3))[0].resource_request.wanted, 3u);
}

// The same day: 8 are in the ledger, 3 of them returned, and the limit is 6.
TEST(ProgressReport, BeyondTheLimitWhatWasReturnedIsGrantedAnewOnlyInPart) {
  Bench b(6);
  b.scheduler.on_terms({{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  auto& job = b.job("run-1", 8);
  job.grants = {{{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 8), std::nullopt, false, Attempt()}},
                 Generation(1),
                 false},
                Revision(5)};
  b.scheduler.on_progress_report(
      {ShardId(0), Term(1), {{JobId("run-1"), {}, {{Generation(1), Ranges::span(0, 3)}}}}}, at(2));
  b.publish("run-1", 2);
  ASSERT_EQ(b.scheduler.demand(at(3)).size(), 1u);
  EXPECT_EQ(b.scheduler.demand(at(3))[0].resource_request.wanted, 1u);
  auto g = b.round(4, {{0, room(100)}, {1, room(100)}});
  ASSERT_EQ(g.size(), 1u);
  std::uint32_t granted = 0;
  for (auto& [p, n] : Bench::by_shard(g[0])) granted += n;
  EXPECT_EQ(granted, 6u);
}

TEST(Scheduler, WaitsForASilentPartThenUsesItsSummary) {
  Bench b;
  b.job("run-1", 4);
  b.scheduler.on_summary({ShardId(1),
                          Term(1),
                          Revision(1),
                          {{MachineName("m"), MachineType("t"), Zone("a"), false, {4, 0, 8}, 0, true}},
                          {}},
                         at(0));
  EXPECT_TRUE(b.round(1, {{0, room(4)}}).empty());
  auto g = b.scheduler.decide(at(3.1), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}});
  ASSERT_TRUE(g && g->size() == 1);
  EXPECT_EQ(Bench::by_shard(g->at(0)), (std::map<std::uint32_t, std::uint32_t>{{0, 2}, {1, 2}}));
}

TEST(Scheduler, SubtractsWhatAPartHasNotSeenYet) {
  Bench b;
  b.job("run-1", 4);
  auto g = b.round(1, {{0, room(4)}, {1, {}}});
  b.record(g, 1);
  auto seen_before = b.revision - 1;
  b.job("run-2", 4);
  b.revision = seen_before;  // the shards answer without knowing the first grant
  EXPECT_TRUE(b.round(2, {{0, room(4)}, {1, {}}}).empty());
  b.revision = seen_before + 1;
  EXPECT_EQ(b.round(3, {{0, room(4)}, {1, {}}}).size(), 1u);
}

TEST(Scheduler, GrantsNeverExceedTheTeamsLimit) {
  Bench b(6);
  b.job("run-1", 10);
  b.job("run-2", 10);
  auto g = b.round(1, {{0, room(100)}, {1, room(100)}});
  std::uint32_t n = 0;
  for (auto& x : g)
    for (auto& [p, k] : Bench::by_shard(x)) n += k;
  EXPECT_EQ(n, 6u);
  b.record(g, 1);
  EXPECT_TRUE(b.round(2, {{0, room(100)}, {1, room(100)}}).empty());
  // A cancelled job still counts until its tasks are given back.
  auto first = g[0].job.value();
  b.publish(first.c_str(), 3, TerminalState::kCancelled);
  EXPECT_TRUE(b.round(4, {{0, room(100)}, {1, room(100)}}).empty());
  EXPECT_TRUE(b.scheduler.collectable().empty());
  for (auto& c : b.jobs[first].grants.value.chunks)
    b.jobs[first].progress[c.shard].value.released.push_back({c.generation, c.tasks});
  b.publish(first.c_str(), 5, TerminalState::kCancelled);
  EXPECT_EQ(b.scheduler.collectable().size(), 1u);
  EXPECT_FALSE(b.round(6, {{0, room(100)}, {1, room(100)}}).empty());
}

// Found by the simulation, seed 24: a transaction without an answer was carried out after the next one, which
// granted another job of the team what the first one had given away already.
TEST(Scheduler, AGrantWithoutAnAnswerCannotComeBesideTheNext) {
  Bench b(6);
  b.job("run-1", 10);
  auto lost = b.round(1, {{0, room(100)}});
  ASSERT_EQ(lost.size(), 0u);  // part 1 is waited for
  lost = b.scheduler.decide(at(4), {{ShardId(0), Term(1)}, {ShardId(1), Term(1)}}).value();
  ASSERT_EQ(lost.size(), 1u);
  b.scheduler.on_granted(lost, std::nullopt, at(5));
  b.job("run-2", 10, [](auto& s) { s.priority = Priority::kHigh; });
  auto next = b.round(6, {{0, room(100)}, {1, room(100)}});
  auto of = [&](const char* id) {
    return std::find_if(next.begin(), next.end(), [&](const auto& g) { return g.job == JobId(id); });
  };
  ASSERT_NE(of("run-2"), next.end());
  ASSERT_NE(of("run-1"), next.end());  // written over, with no task: the limit is used up
  EXPECT_EQ(of("run-1")->expected, lost[0].expected);
  EXPECT_TRUE(of("run-1")->grants.chunks.empty());
  b.record(next, 6);
  // It can't come any more.
  EXPECT_TRUE(b.round(8, {{0, room(100)}, {1, room(100)}}).empty());
}

TEST(Scheduler, AGrantWithoutAnAnswerIsForgottenOnceItCannotCome) {
  Bench b(20);
  b.job("run-1", 4);
  auto lost = b.round(1, {{0, room(100)}, {1, room(100)}});
  ASSERT_EQ(lost.size(), 1u);
  b.scheduler.on_granted(lost, std::nullopt, at(2));
  b.publish("run-1", 3, TerminalState::kCancelled);  // on which it rests
  b.job("run-2", 4);
  auto next = b.round(4, {{0, room(100)}, {1, room(100)}});
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].job, JobId("run-2"));
}

// More than a transaction holds: they are settled first, without granting anything beside them.
TEST(Scheduler, ManyGrantsWithoutAnAnswerAreSettledFirst) {
  Bench b;
  std::set<JobId> lost;
  for (int i = 0; i < 10; ++i) {
    auto id = "run-" + std::to_string(100 - i);
    b.job(id.c_str(), 1, [&](auto& s) { s.priority = i < 5 ? Priority::kNormal : Priority::kHigh; });
    auto g = b.round(i * 10, {{0, room(100)}, {1, room(100)}});
    ASSERT_FALSE(g.empty());
    for (auto& x : g) lost.insert(x.job);
    b.scheduler.on_granted(g, std::nullopt, at(i * 10 + 5));
    b.publish(id.c_str(), i * 10 + 6);
  }
  auto g = b.round(200, {{0, room(100)}, {1, room(100)}});
  EXPECT_LE(g.size(), 8u);
  b.record(g, 200);
  for (int i = 1; i < 20 && !g.empty(); ++i) {
    g = b.round(200 + i * 10, {{0, room(100)}, {1, room(100)}});
    EXPECT_LE(g.size(), 8u);
    b.record(g, 200 + i * 10);
  }
  for (auto& [id, j] : b.jobs) EXPECT_EQ(j.outstanding().count(), 1u) << id;
}

TEST(Scheduler, ZonesOfTogetherAndScatter) {
  protocol::CapacityByZone two{{Zone("a"), 6, 0, 0}, {Zone("b"), 3, 0, 0}};
  {
    Bench b;
    b.job("run-1", 9, [](auto& s) { s.one_zone = true; });
    auto g = b.round(1, {{0, two}, {1, {{Zone("b"), 4, 0, 0}}}});
    std::set<std::string> zones;
    for (auto& c : g.at(0).grants.chunks) zones.insert(c.zone.value().value());
    EXPECT_EQ(zones, std::set<std::string>{"b"});  // 3 + 4 beats 6
    b.record(g, 1);
    // Its other tasks are bound to that zone.
    EXPECT_TRUE(b.round(3, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {}}}).empty());
  }
  {
    Bench b;
    b.job("run-1", 5, [](auto& s) { s.spread = true; });
    auto g = b.round(1, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {{Zone("b"), 1, 0, 0}}}});
    EXPECT_EQ(Bench::by_shard(g.at(0)), (std::map<std::uint32_t, std::uint32_t>{{0, 3}, {1, 1}}));
    b.record(g, 1);
    EXPECT_TRUE(b.round(3, {{0, {{Zone("a"), 50, 0, 0}}}, {1, {}}}).empty());
  }
}

TEST(Scheduler, HigherPriorityMayTakeRoomByForce) {
  Bench b;
  b.job("run-1", 2, [](auto& s) { s.priority = Priority::kHigh; });
  auto g = b.round(1, {{0, room(1, 0, 5)}, {1, {}}});
  ASSERT_EQ(g.size(), 1u);
  ASSERT_EQ(g[0].grants.chunks.size(), 2u);
  EXPECT_FALSE(g[0].grants.chunks[0].preempt);
  EXPECT_TRUE(g[0].grants.chunks[1].preempt);
}

// A fetch takes longer than stopping a task of lower priority: services go where their image is.
TEST(Scheduler, AServicePrefersForceWhereTheImageIsToColdRoom) {
  struct Case {
    JobKind kind;
    std::uint32_t warm_pre;
    bool forced;
  };
  for (const auto& c : {Case{JobKind::kService, 3, true}, Case{JobKind::kService, 0, false},
                        Case{JobKind::kArray, 3, false}}) {
    Bench b;
    b.job("run-1", 1, [&](auto& s) { s.kind = c.kind, s.priority = Priority::kHigh; });
    auto g = b.round(1, {{0, room(9)}, {1, room(0, 0, c.warm_pre, c.warm_pre)}});
    ASSERT_EQ(g.size(), 1u);
    EXPECT_EQ(g[0].grants.chunks.at(0).preempt, c.forced);
    EXPECT_EQ(g[0].grants.chunks.at(0).shard, ShardId(c.forced ? 1 : 0));
  }
}

TEST(Scheduler, AJobIsFinishedWhenAllItsTasksAreDone) {
  Bench b;
  auto& j = b.job("run-1", 4);
  b.job("run-2", 1, [](auto& s) { s.kind = JobKind::kService; });
  auto g = b.round(1, {{0, room(2)}, {1, room(2)}});
  b.record(g, 1);
  j.progress[ShardId(0)].value.done = Ranges::span(0, 3);
  b.publish("run-1", 2);
  EXPECT_TRUE(b.scheduler.completed().empty());
  j.progress[ShardId(1)].value.done = Ranges::span(3, 4);
  b.publish("run-1", 3);
  EXPECT_EQ(b.scheduler.completed(), std::vector{JobId("run-1")});
}

TEST(Scheduler, ReturnedTasksAreGrantedAgainUnderANewGeneration) {
  Bench b;
  auto& j = b.job("run-1", 4);
  b.record(b.round(1, {{0, room(4)}, {1, {}}}), 1);
  j.progress[ShardId(0)].value.released = {{Generation(1), Ranges::span(2, 4)}};
  b.publish("run-1", 2);
  auto g = b.round(3, {{0, {}}, {1, room(9)}});
  ASSERT_EQ(g.size(), 1u);
  ASSERT_EQ(g[0].grants.chunks.size(), 2u);
  EXPECT_EQ(g[0].grants.chunks[0].tasks.str(), "0-1");
  EXPECT_EQ(g[0].grants.chunks[1].tasks.str(), "2-3");
  EXPECT_EQ(g[0].grants.chunks[1].generation, Generation(2));
}

TEST(Gang, GoesToOnePartIfOneCanHoldItElseToSeveralOrNowhere) {
  struct Case {
    std::uint32_t tasks, a, b;
    std::map<std::uint32_t, std::uint32_t> shards;
  };
  for (const auto& c : {Case{4, 4, 3, {{0, 4}}}, Case{4, 3, 9, {{1, 4}}}, Case{6, 4, 4, {{0, 3}, {1, 3}}},
                        Case{9, 4, 4, {}}}) {
    Bench b;
    b.job("run-1", c.tasks, [](auto& s) { s.kind = JobKind::kGang; });
    auto g = b.round(1, {{0, room(c.a)}, {1, room(c.b)}});
    ASSERT_EQ(g.empty(), c.shards.empty()) << c.tasks;
    if (g.empty()) continue;
    EXPECT_EQ(Bench::by_shard(g[0]), c.shards);
    for (auto& x : g[0].grants.chunks) EXPECT_EQ(x.gang_attempt, Attempt(1));
  }
}

TEST(Gang, IsRecalledWhenPartOfItCameBackAndStartsAnewOnceAllHas) {
  Bench b;
  auto& j = b.job("run-1", 6, [](auto& s) { s.kind = JobKind::kGang; });
  b.record(b.round(1, {{0, room(4)}, {1, room(4)}}), 1);
  j.progress[ShardId(0)].value.released = {{Generation(1), Ranges::span(0, 3)}};
  b.publish("run-1", 2);
  EXPECT_TRUE(b.round(3, {{0, room(9)}, {1, room(9)}}).empty());
  auto g = b.round(5, {{0, room(9)}, {1, room(9)}});
  ASSERT_EQ(g.size(), 1u);
  EXPECT_TRUE(g[0].grants.revoke);
  b.record(g, 5);
  EXPECT_TRUE(b.round(7, {{0, room(9)}, {1, room(9)}}).empty());
  j.progress[ShardId(1)].value.released = {{Generation(2), Ranges::span(3, 6)}};
  b.publish("run-1", 8);
  g = b.round(9, {{0, room(9)}, {1, room(9)}});
  ASSERT_EQ(g.size(), 1u);
  EXPECT_FALSE(g[0].grants.revoke);
  EXPECT_EQ(g[0].grants.chunks.at(0).gang_attempt, Attempt(3));
  EXPECT_EQ(g[0].grants.chunks.at(0).tasks.count(), 6u);
}

// A job that an owner says fails everywhere, granted a task whenever one is due, and failing again at once.
struct FailingJob {
  explicit FailingJob(std::function<void(protocol::JobSpec&)> change = {}) {
    b.job("run-1", 100, std::move(change));
    b.record(b.round(1, {{0, room(200)}, {1, {}}}), 1);
    fails(2);
  }
  void fails(double t) {
    auto& j = b.jobs["run-1"];
    Ranges all;
    for (auto& c : j.grants.value.chunks) all.add(c.tasks);
    j.progress[ShardId(0)].value.released = {{j.grants.value.last, all}};
    say(protocol::JobHealth::kFails, t);
    b.publish("run-1", t);
  }
  // The owner of shard 0 says so.
  void say(protocol::JobHealth verdict, double t) {
    b.scheduler.on_progress_report({ShardId(0), Term(1), {{JobId("run-1"), {}, {}, verdict}}}, at(t));
  }
  // How many of its tasks are granted.
  std::uint32_t round(double t) {
    auto grants = b.round(t, {{0, room(200)}, {1, {}}}, false, t);
    std::uint32_t n = 0;
    for (auto& g : grants)
      if (g.job == JobId("run-1"))
        for (auto& c : g.grants.chunks)
          if (c.generation == g.grants.last) n += c.tasks.count();
    b.record(grants, t);
    return n;
  }
  Bench b;
};

TEST(FailingJob, IsTriedByOneTaskEverMoreSeldom) {
  FailingJob f;
  std::uint32_t granted = 0;
  for (double t = 2.5; t < 120; t += 0.5) {
    auto n = f.round(t);
    EXPECT_LE(n, 1u) << t;
    granted += n;
    if (n) f.fails(t + 0.3);
  }
  EXPECT_GE(granted, 5u);
  EXPECT_LE(granted, 8u);
  // No machine is rented for what waits of it.
  std::uint32_t wanted = 0;
  for (auto& d : f.b.scheduler.demand(at(120))) wanted += d.resource_request.wanted;
  EXPECT_LE(wanted, 1u);
}

TEST(FailingJob, DoesNotTakeTheHeadOfTheQueue) {
  FailingJob f;
  f.b.job("run-2", 4);
  // Far beyond the longest wait, and still others are served before it.
  auto grants = f.b.round(400, {{0, room(4)}, {1, {}}}, false, 400);
  ASSERT_FALSE(grants.empty());
  EXPECT_EQ(grants[0].job, JobId("run-2"));
}

TEST(FailingJob, IsGrantedAsAWholeOnceItWorks) {
  for (bool by_word : {true, false}) {
    FailingJob f;
    ASSERT_EQ(f.round(10), 1u);
    if (by_word) {
      f.say(protocol::JobHealth::kWorks, 20);
    } else {
      f.b.jobs["run-1"].progress[ShardId(0)].value.done = Ranges::span(0, 1);
    }
    f.b.publish("run-1", 20);
    EXPECT_EQ(f.round(21), 99u) << by_word;
  }
}

TEST(FailingJob, OneTaskOfItIsOutAtATime) {
  FailingJob f;
  ASSERT_EQ(f.round(10), 1u);
  for (double t = 11; t < 60; t += 1) EXPECT_EQ(f.round(t), 0u) << t;
}

// All shards say so of the same grant, and copies of what they said come late.
TEST(FailingJob, AGrantCountsOnce) {
  FailingJob f;
  for (int i = 0; i < 10; ++i) f.say(protocol::JobHealth::kFails, 2.1);
  EXPECT_EQ(f.round(4.5), 1u);
}

}  // namespace
}  // namespace beaconsill::scheduler
