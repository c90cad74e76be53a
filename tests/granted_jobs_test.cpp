// Tests how grants and recorded progress determine the status of granted tasks.
#include "shard/granted_jobs.h"

#include <gtest/gtest.h>

namespace beaconsill::shard {
namespace {

using Status = GrantedTask::Status;
using state_store::TerminalState;

constexpr Duration kHeartbeatPeriod = std::chrono::seconds(1);
const JobId kJob("run-1");
const ShardId kShard(2);
const Term kTerm(5);

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

state_store::Chunk chunk(std::uint64_t generation, Term term, std::uint32_t first, std::uint32_t last,
                         ShardId shard = kShard) {
  return {Generation(generation), shard, term, Ranges::span(first, last), std::nullopt, false, {}, {}};
}

state_store::Job job_with(std::vector<state_store::Chunk> chunks) {
  protocol::JobSpec spec;
  spec.id = kJob;
  spec.tasks = 10;
  spec.each = {2, 0, 1};
  state_store::Job job;
  job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
  job.grants.value.chunks = std::move(chunks);
  return job;
}

struct GrantedJobsTest : testing::Test {
  ShardJob* apply(const state_store::Job& job, double seconds, bool reconciled = true) {
    return jobs.apply(kJob, job, std::nullopt, reconciled, at(seconds));
  }
  GrantedTask& task(std::uint32_t index) { return jobs.at(kJob).granted_tasks.at(index); }

  GrantedJobs jobs{kShard, kTerm};
};

TEST_F(GrantedJobsTest, TheTermOfAGrantDeterminesTheInitialStatusOfItsTasks) {
  struct Case {
    const char* what;
    std::uint64_t term;
    bool reconciled;
    std::optional<Status> status;  // std::nullopt: the task is ignored by this leader
  };
  const Case cases[] = {
      {"granted to this leader", 5, false, Status::kWaiting},
      {"granted to an earlier leader", 4, false, Status::kAwaitingReconciliation},
      {"granted to an earlier leader, after reconciliation", 4, true, Status::kWaiting},
      {"granted to a later leader", 6, true, std::nullopt},
  };
  for (const auto& entry : cases) {
    GrantedJobs granted_jobs(kShard, kTerm);
    auto* job = granted_jobs.apply(kJob, job_with({chunk(1, Term(entry.term), 0, 1)}), std::nullopt,
                                   entry.reconciled, at(0));
    ASSERT_TRUE(job) << entry.what;
    EXPECT_EQ(!job->granted_tasks.empty(), entry.status.has_value()) << entry.what;
    if (entry.status) {
      EXPECT_EQ(job->granted_tasks.at(0).status, *entry.status) << entry.what;
    }
  }
}

TEST_F(GrantedJobsTest, GrantsToOtherShardsAreIgnored) {
  EXPECT_FALSE(apply(job_with({chunk(1, kTerm, 0, 4, ShardId(3))}), 0));
  EXPECT_FALSE(jobs.find(kJob));
  auto* job = apply(job_with({chunk(1, kTerm, 0, 4, ShardId(3)), chunk(2, kTerm, 4, 6)}), 0);
  ASSERT_TRUE(job);
  EXPECT_EQ(job->granted_tasks.size(), 2u);
  EXPECT_EQ(job->generations, std::set{Generation(2)});
}

TEST_F(GrantedJobsTest, ARepeatedGrantPreservesTaskStatusAndANewGenerationResetsIt) {
  auto job = job_with({chunk(1, kTerm, 0, 2)});
  apply(job, 0);
  task(0).status = Status::kPlaced;
  apply(job, 1);
  EXPECT_EQ(task(0).status, Status::kPlaced);
  job.grants.value.chunks = {chunk(2, kTerm, 0, 1)};
  apply(job, 2);
  EXPECT_EQ(task(0).status, Status::kWaiting);
  EXPECT_EQ(task(0).since, at(2));
  EXPECT_EQ(jobs.at(kJob).granted_tasks.size(), 1u);
}

TEST_F(GrantedJobsTest, TasksInTheRecordedProgressAreNoLongerGranted) {
  auto job = job_with({chunk(1, kTerm, 0, 4)});
  job.progress[kShard] = {{Ranges::span(0, 1), {{Generation(1), Ranges::span(2, 3)}}}, Revision(7)};
  auto* shard_job = apply(job, 0);
  ASSERT_TRUE(shard_job);
  EXPECT_EQ(shard_job->granted_tasks.size(), 2u);
  EXPECT_TRUE(shard_job->works);
  EXPECT_TRUE(jobs.is_durable({kJob, 0}));
  EXPECT_FALSE(jobs.is_durable({kJob, 1}));
  EXPECT_FALSE(jobs.is_durable({JobId("run-2"), 0}));
}

TEST_F(GrantedJobsTest, AnInheritedPriorityRaisesThePriorityOfTheJob) {
  for (auto [own, inherited, expected] : {std::tuple{Priority::kLow, Priority::kHigh, Priority::kHigh},
                                          std::tuple{Priority::kHigh, Priority::kLow, Priority::kHigh}}) {
    auto job = job_with({chunk(1, kTerm, 0, 1)});
    auto spec = *job.record.spec;
    spec.priority = own;
    job.record.spec = std::make_shared<const protocol::JobSpec>(spec);
    job.grants.value.chunks[0].priority = inherited;
    GrantedJobs granted_jobs(kShard, kTerm);
    EXPECT_EQ(granted_jobs.apply(kJob, job, std::nullopt, true, at(0))->record.spec->priority, expected);
  }
}

TEST_F(GrantedJobsTest, UnplacedTasksAreReleasedAfterTheLimitOrWhenRevokedOrCancelled) {
  struct Case {
    const char* what;
    double waited;
    bool revoked;
    std::optional<TerminalState> end;
    Status expected;
  };
  const Case cases[] = {
      {"granted recently", 0.5, false, std::nullopt, Status::kWaiting},
      {"waited for a heartbeat period", 1.0, false, std::nullopt, Status::kReleased},
      {"revoked", 0, true, std::nullopt, Status::kReleased},
      {"cancelled", 0, false, TerminalState::kCancelled, Status::kReleased},
  };
  for (const auto& entry : cases) {
    GrantedJobs granted_jobs(kShard, kTerm);
    auto job = job_with({chunk(1, kTerm, 0, 1)});
    job.grants.value.revoke = entry.revoked;
    auto* shard_job = granted_jobs.apply(kJob, job, entry.end, true, at(0));
    granted_jobs.release_unplaced(kHeartbeatPeriod, at(entry.waited));
    EXPECT_EQ(shard_job->granted_tasks.at(0).status, entry.expected) << entry.what;
    EXPECT_EQ(granted_jobs.has_no_unfinished_tasks(kJob), entry.expected == Status::kReleased) << entry.what;
  }
}

TEST_F(GrantedJobsTest, ProgressIsUnwrittenUntilItIsReadBack) {
  auto job = job_with({chunk(1, kTerm, 0, 2)});
  auto* shard_job = apply(job, 0);
  EXPECT_TRUE(jobs.unwritten_progress().empty());
  task(0).status = Status::kDone;
  shard_job->mark_progress();
  auto progress = jobs.unwritten_progress();
  ASSERT_EQ(progress.size(), 1u);
  EXPECT_EQ(progress.at(kJob).done, Ranges::span(0, 1));
  EXPECT_EQ(jobs.unwritten_progress(), progress);
  job.progress[kShard] = {progress.at(kJob), Revision(8)};
  apply(job, 1)->unwritten = true;
  EXPECT_TRUE(jobs.unwritten_progress().empty());
}

TEST_F(GrantedJobsTest, ProgressReportContainsChangesOnceAndAllUnwrittenProgressOnRequest) {
  auto* shard_job = apply(job_with({chunk(1, kTerm, 0, 2)}), 0);
  task(1).status = Status::kReleased;
  shard_job->mark_progress();
  auto report = jobs.progress_report(false);
  ASSERT_EQ(report.size(), 1u);
  ASSERT_EQ(report[0].released.size(), 1u);
  EXPECT_EQ(report[0].released[0].generation, Generation(1));
  EXPECT_EQ(report[0].released[0].tasks, Ranges::span(1, 2));
  EXPECT_TRUE(jobs.progress_report(false).empty());
  EXPECT_EQ(jobs.progress_report(true).size(), 1u);
  shard_job->report_health(protocol::JobHealth::kFailing);
  EXPECT_EQ(jobs.progress_report(false).at(0).health, protocol::JobHealth::kFailing);
  EXPECT_EQ(jobs.progress_report(true).at(0).health, protocol::JobHealth::kNone);
}

TEST_F(GrantedJobsTest, OnlyJobsWithWaitingTasksAreVisited) {
  apply(job_with({chunk(1, Term(4), 0, 2)}), 0, false);
  std::vector<JobId> visited;
  auto visit = [&](const JobId& id, const ShardJob&) { visited.push_back(id); };
  jobs.for_each_waiting(visit);
  EXPECT_TRUE(visited.empty());
  EXPECT_TRUE(jobs.waiting().empty());
  EXPECT_EQ(jobs.waiting_cpus(Priority::kLow), 0);
  EXPECT_EQ(jobs.finish_reconciliation(at(1)), 2u);
  jobs.for_each_waiting(visit);
  EXPECT_EQ(visited, std::vector{kJob});
  EXPECT_EQ(jobs.waiting_cpus(Priority::kLow), 4);
  EXPECT_EQ(jobs.waiting_cpus(Priority::kProduction), 0);
  jobs.erase(kJob);
  EXPECT_TRUE(jobs.waiting().empty());
  EXPECT_TRUE(jobs.has_no_unfinished_tasks(kJob));
}

}  // namespace
}  // namespace beaconsill::shard
