// Tests when a job whose tasks fail on several machines is in back-off and when it is retried.
#include "scheduler/crash_loop_backoff.h"

#include <gtest/gtest.h>

#include <vector>

namespace beaconsill::scheduler {
namespace {

using protocol::JobHealth;

const JobId kJob("run-1");

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

TEST(CrashLoopBackoff, ContainsJobFromFirstFailureUntilItWorks) {
  struct Case {
    const char* description;
    std::vector<JobHealth> reports;
    bool in_backoff;
  };
  const Case cases[] = {
      {"no report", {}, false},
      {"a report without news", {JobHealth::kNone}, false},
      {"a failure", {JobHealth::kFailing}, true},
      {"a report without news after a failure", {JobHealth::kFailing, JobHealth::kNone}, true},
      {"the job works after a failure", {JobHealth::kFailing, JobHealth::kHealthy}, false},
      {"the job fails again after it worked",
       {JobHealth::kFailing, JobHealth::kHealthy, JobHealth::kFailing},
       true},
  };
  for (const auto& test_case : cases) {
    CrashLoopBackoff crash_loops;
    for (auto health : test_case.reports) crash_loops.on_job_health(kJob, health, at(0), at(1));
    EXPECT_EQ(crash_loops.contains(kJob), test_case.in_backoff) << test_case.description;
    EXPECT_FALSE(crash_loops.contains(JobId("run-2"))) << test_case.description;
  }
}

TEST(CrashLoopBackoff, DelayDoublesWithEachFailedGrantUpToTheMaximum) {
  CrashLoopBackoff crash_loops;
  double now = 0;
  for (double delay : {2, 4, 8, 16, 30, 30}) {
    // The job is granted a task, which fails one second later.
    crash_loops.on_job_health(kJob, JobHealth::kFailing, at(now), at(now + 1));
    EXPECT_FALSE(crash_loops.retry_due(kJob, at(now + 1 + delay - 0.1))) << delay;
    EXPECT_TRUE(crash_loops.retry_due(kJob, at(now + 1 + delay))) << delay;
    now += 1 + delay;
  }
}

TEST(CrashLoopBackoff, ReportsForTheSameGrantLengthenDelayOnce) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(2));
  // The last grant was made at the time of the first failure report.
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(1), at(2.5));
  EXPECT_TRUE(crash_loops.retry_due(kJob, at(3)));
}

TEST(CrashLoopBackoff, ReportsForAJobThatWasNeverGrantedLengthenDelayOnce) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, std::nullopt, at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, std::nullopt, at(2));
  EXPECT_TRUE(crash_loops.retry_due(kJob, at(3)));
}

TEST(CrashLoopBackoff, ErasedJobStartsAgainWithInitialDelay) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(5), at(6));
  crash_loops.erase(kJob);
  EXPECT_FALSE(crash_loops.contains(kJob));
  EXPECT_TRUE(crash_loops.retry_due(kJob, at(6)));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(7), at(8));
  EXPECT_TRUE(crash_loops.retry_due(kJob, at(10)));
}

}  // namespace
}  // namespace beaconsill::scheduler
