// Tests the scheduler's value types: amounts by team, shard and zone, and the terms and summaries of shards.
#include <gtest/gtest.h>

#include "scheduler/reserved_cpus.h"
#include "scheduler/shard_summaries.h"
#include "scheduler/shard_terms.h"
#include "scheduler/tasks_by_zone.h"
#include "scheduler/team_usage.h"

namespace beaconsill::scheduler {
namespace {

const ShardId kFirstShard(0);
const ShardId kSecondShard(1);

TEST(TeamUsage, EqualsChargesMinusReleases) {
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

TEST(TeamUsage, ChargingACopyDoesNotChangeTheOriginal) {
  const TeamUsage usage({{Team("blue"), {1, 0, 1}}});
  auto planned = usage;
  planned.charge(Team("blue"), {1, 0, 1});
  EXPECT_EQ(usage.of(Team("blue")), (Resources{1, 0, 1}));
  EXPECT_EQ(planned.of(Team("blue")), (Resources{2, 0, 2}));
}

TEST(ShardTerms, OnlyTheLastSetTermIsCurrent) {
  ShardTerms terms{{kFirstShard, Term(2)}};
  terms.set(kFirstShard, Term(3));
  EXPECT_EQ(terms.at(kFirstShard), Term(3));
  EXPECT_TRUE(terms.is_current(kFirstShard, Term(3)));
  EXPECT_FALSE(terms.is_current(kFirstShard, Term(2)));
  EXPECT_FALSE(terms.is_current(kFirstShard, Term(4)));
  EXPECT_FALSE(terms.is_current(kSecondShard, Term(3)));  // The second shard has no leader.
  EXPECT_FALSE(terms.is_current(kSecondShard, Term()));
}

TEST(ShardTerms, EqualIfAllShardsHaveTheSameTerms) {
  const ShardTerms terms{{kFirstShard, Term(2)}, {kSecondShard, Term(1)}};
  EXPECT_EQ(terms, (ShardTerms{{kSecondShard, Term(1)}, {kFirstShard, Term(2)}}));
  EXPECT_NE(terms, (ShardTerms{{kFirstShard, Term(2)}}));
  EXPECT_NE(terms, (ShardTerms{{kFirstShard, Term(2)}, {kSecondShard, Term(2)}}));
}

protocol::Summary summary(ShardId shard, std::uint64_t term, std::uint64_t seen) {
  protocol::Summary summary;
  summary.shard = shard;
  summary.term = Term(term);
  summary.seen = Revision(seen);
  return summary;
}

TEST(ShardSummaries, StoresTheLatestSummaryOfTheHighestTerm) {
  struct Case {
    const char* description;
    std::uint64_t term;  // term of a summary that arrives after one of term 2
    bool stored;
  };
  const Case cases[] = {{"summary of an earlier leader", 1, false},
                        {"summary of the same leader", 2, true},
                        {"summary of a later leader", 3, true}};
  for (const auto& test_case : cases) {
    ShardSummaries summaries;
    summaries.update(summary(kFirstShard, 2, 10));
    summaries.update(summary(kFirstShard, test_case.term, 11));
    ASSERT_NE(summaries.find(kFirstShard), nullptr) << test_case.description;
    EXPECT_EQ(summaries.find(kFirstShard)->seen, Revision(test_case.stored ? 11 : 10))
        << test_case.description;
    EXPECT_EQ(summaries.find(kSecondShard), nullptr) << test_case.description;
  }
}

TEST(ReservedCpus, SumsCpusForEachShard) {
  ReservedCpus reserved{{kFirstShard, 1}};
  reserved.add(kFirstShard, 2);
  EXPECT_EQ(reserved.on(kFirstShard), 3);
  EXPECT_EQ(reserved.on(kSecondShard), 0);
}

TEST(TasksByZone, SumsTasksForEachZone) {
  TasksByZone tasks{{Zone("b"), 1}};
  tasks.add(Zone("b"), 2);
  tasks.add(Zone("c"), 1);
  EXPECT_EQ(tasks.in(Zone("b")), 3u);
  EXPECT_EQ(tasks.in(Zone("a")), 0u);
}

TEST(TasksByZone, FirstZoneIsTheAlphabeticallyFirstAddedZone) {
  TasksByZone tasks;
  EXPECT_EQ(tasks.first_zone(), std::nullopt);
  tasks.add(Zone("b"), 1);
  tasks.add(Zone("a"), 0);
  EXPECT_EQ(tasks.first_zone(), Zone("a"));
}

}  // namespace
}  // namespace beaconsill::scheduler
