// Tests the tracking of transactions whose result is unknown, and of committed grants that the shards'
// estimates don't account for yet.
#include "scheduler/indeterminate_grants.h"

#include <gtest/gtest.h>

#include <functional>

#include "scheduler/assumed_grants.h"

namespace beaconsill::scheduler {
namespace {

// A table of jobs whose grants have version 5.
struct JobsWithGrants {
  explicit JobsWithGrants(const std::vector<const char*>& ids) {
    for (const auto* id : ids) table.find_or_insert(JobId(id)).grants_revision = Revision(5);
  }
  JobTable table;
};

std::vector<JobGrant> transaction(const std::vector<const char*>& ids) {
  std::vector<JobGrant> grants;
  for (const auto* id : ids) grants.push_back({JobId(id), {}, Revision(5), {}});
  return grants;
}

TEST(IndeterminateGrants, EachTransactionIsSupersededByOneOfItsJobs) {
  struct Case {
    const char* what;
    std::vector<std::vector<const char*>> transactions;
    std::vector<const char*> superseding_jobs;
  };
  const Case cases[] = {
      {"no transaction", {}, {}},
      {"a transaction without grants", {{}}, {}},
      {"one transaction: one of its jobs", {{"a", "b"}}, {"a"}},
      {"two transactions with a common job: this job", {{"a", "b"}, {"a", "c"}}, {"a"}},
      {"two transactions without a common job: one job of each", {{"a", "b"}, {"c", "d"}}, {"a", "c"}},
  };
  for (const auto& test_case : cases) {
    IndeterminateGrants indeterminate;
    for (const auto& ids : test_case.transactions) indeterminate.add(transaction(ids));
    std::set<JobId> superseding_jobs;
    for (const auto* id : test_case.superseding_jobs) superseding_jobs.insert(JobId(id));
    EXPECT_EQ(indeterminate.superseding_jobs(), superseding_jobs) << test_case.what;
    EXPECT_EQ(indeterminate.empty(), superseding_jobs.empty()) << test_case.what;
  }
}

TEST(IndeterminateGrants, DropsATransactionOnceItCannotBeCommittedAnyMore) {
  struct Case {
    const char* what;
    std::function<void(JobTable&)> change;
    bool dropped;
  };
  const Case cases[] = {
      {"nothing changed", [](JobTable&) {}, false},
      {"another job changed", [](JobTable& jobs) { jobs.at(JobId("c")).grants_revision = Revision(6); },
       false},
      {"the grants of one of its jobs changed",
       [](JobTable& jobs) { jobs.at(JobId("b")).grants_revision = Revision(6); }, true},
      {"one of its jobs is over",
       [](JobTable& jobs) { jobs.at(JobId("b")).terminal_state = state_store::TerminalState::kCancelled; },
       true},
      {"one of its jobs was removed", [](JobTable& jobs) { jobs.erase(JobId("a")); }, true},
  };
  for (const auto& test_case : cases) {
    JobsWithGrants jobs({"a", "b", "c"});
    IndeterminateGrants indeterminate;
    indeterminate.add(transaction({"a", "b"}));
    test_case.change(jobs.table);
    indeterminate.drop_resolved(jobs.table);
    EXPECT_EQ(indeterminate.empty(), test_case.dropped) << test_case.what;
  }
}

TEST(AssumedGrants, ReserveCpusUntilTheShardAcknowledgesTheGrant) {
  AssumedGrants assumed;
  assumed.add(ShardId(0), Revision(5), 2);
  assumed.add(ShardId(0), Revision(7), 3);
  assumed.add(ShardId(1), Revision(7), 4);
  EXPECT_EQ(assumed.reserved_cpus(), (ReservedCpus{{ShardId(0), 5}, {ShardId(1), 4}}));
  assumed.acknowledge(ShardId(0), Revision(4));
  EXPECT_EQ(assumed.reserved_cpus().on(ShardId(0)), 5);
  assumed.acknowledge(ShardId(0), Revision(5));
  EXPECT_EQ(assumed.reserved_cpus().on(ShardId(0)), 3);
  assumed.acknowledge(ShardId(0), Revision(7));
  EXPECT_EQ(assumed.reserved_cpus(), (ReservedCpus{{ShardId(1), 4}}));
}

}  // namespace
}  // namespace beaconsill::scheduler
