// The scheduler's value types: amounts by team, shard and zone, and what is known of the shards.
#include <gtest/gtest.h>

#include "scheduler/reserved_cpus.h"
#include "scheduler/shard_summaries.h"
#include "scheduler/shard_terms.h"
#include "scheduler/tasks_by_zone.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {
namespace {

const ShardId kFirst(0);
const ShardId kSecond(1);

TEST(TeamUsage, IsTheSumOfChargesLessReleases) {
  TeamUsage usage({{Team("blue"), {1, 0, 2}}});
  usage.charge(Team("blue"), {4, 1, 8});
  usage.charge(Team("red"), {16, 0, 16});
  usage.release(Team("blue"), {2, 1, 4});
  EXPECT_EQ(usage.of(Team("blue")), (Resources{3, 0, 6}));
  EXPECT_EQ(usage.of(Team("red")), (Resources{16, 0, 16}));
}

TEST(TeamUsage, IsZeroForATeamThatWasNeverCharged) {
  EXPECT_EQ(TeamUsage().of(Team("blue")), Resources{});
}

TEST(TeamUsage, ACopyIsChargedByItself) {
  const TeamUsage usage({{Team("blue"), {1, 0, 1}}});
  auto planned = usage;
  planned.charge(Team("blue"), {1, 0, 1});
  EXPECT_EQ(usage.of(Team("blue")), (Resources{1, 0, 1}));
  EXPECT_EQ(planned.of(Team("blue")), (Resources{2, 0, 2}));
}

TEST(ShardTerms, OnlyTheTermThatWasSetLastIsCurrent) {
  ShardTerms terms{{kFirst, Term(2)}};
  terms.set(kFirst, Term(3));
  EXPECT_EQ(terms.at(kFirst), Term(3));
  EXPECT_TRUE(terms.is_current(kFirst, Term(3)));
  EXPECT_FALSE(terms.is_current(kFirst, Term(2)));
  EXPECT_FALSE(terms.is_current(kFirst, Term(4)));
  EXPECT_FALSE(terms.is_current(kSecond, Term(3)));  // has no leader
  EXPECT_FALSE(terms.is_current(kSecond, Term()));
}

TEST(ShardTerms, AreEqualIfAllShardsHaveTheSameTerms) {
  const ShardTerms terms{{kFirst, Term(2)}, {kSecond, Term(1)}};
  EXPECT_EQ(terms, (ShardTerms{{kSecond, Term(1)}, {kFirst, Term(2)}}));
  EXPECT_NE(terms, (ShardTerms{{kFirst, Term(2)}}));
  EXPECT_NE(terms, (ShardTerms{{kFirst, Term(2)}, {kSecond, Term(2)}}));
}

protocol::Summary summary(ShardId shard, std::uint64_t term, std::uint64_t seen) {
  protocol::Summary summary;
  summary.shard = shard;
  summary.term = Term(term);
  summary.seen = Revision(seen);
  return summary;
}

TEST(ShardSummaries, KeepTheLatestOfTheHighestTerm) {
  struct Case {
    const char* what;
    std::uint64_t term;  // of a summary after one of term 2
    bool kept;
  };
  const Case cases[] = {
      {"an earlier leader's", 1, false}, {"the same leader's", 2, true}, {"a later leader's", 3, true}};
  for (const auto& test_case : cases) {
    ShardSummaries summaries;
    summaries.update(summary(kFirst, 2, 10));
    summaries.update(summary(kFirst, test_case.term, 11));
    ASSERT_NE(summaries.find(kFirst), nullptr) << test_case.what;
    EXPECT_EQ(summaries.find(kFirst)->seen, Revision(test_case.kept ? 11 : 10)) << test_case.what;
    EXPECT_EQ(summaries.find(kSecond), nullptr) << test_case.what;
  }
}

TEST(ReservedCpus, AreSummedForEachShard) {
  ReservedCpus reserved{{kFirst, 1}};
  reserved.add(kFirst, 2);
  EXPECT_EQ(reserved.on(kFirst), 3);
  EXPECT_EQ(reserved.on(kSecond), 0);
}

TEST(TasksByZone, AreSummedForEachZone) {
  TasksByZone tasks{{Zone("b"), 1}};
  tasks.add(Zone("b"), 2);
  tasks.add(Zone("c"), 1);
  EXPECT_EQ(tasks.in(Zone("b")), 3u);
  EXPECT_EQ(tasks.in(Zone("a")), 0u);
}

TEST(TasksByZone, TheFirstZoneIsTheLeastByName) {
  TasksByZone tasks;
  EXPECT_EQ(tasks.first_zone(), std::nullopt);
  tasks.add(Zone("b"), 1);
  tasks.add(Zone("a"), 0);
  EXPECT_EQ(tasks.first_zone(), Zone("a"));
}

}  // namespace
}  // namespace beaconsill::scheduler
