// When a job whose tasks fail everywhere is tried again.
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

TEST(CrashLoopBackoff, ContainsJobsFromTheirFirstFailureUntilTheyWork) {
  struct Case {
    const char* what;
    std::vector<JobHealth> reports;
    bool in_backoff;
  };
  const Case cases[] = {
      {"nothing reported", {}, false},
      {"nothing new", {JobHealth::kNone}, false},
      {"it fails", {JobHealth::kFailing}, true},
      {"nothing new since it failed", {JobHealth::kFailing, JobHealth::kNone}, true},
      {"it works after all", {JobHealth::kFailing, JobHealth::kHealthy}, false},
      {"it fails again", {JobHealth::kFailing, JobHealth::kHealthy, JobHealth::kFailing}, true},
  };
  for (const auto& test_case : cases) {
    CrashLoopBackoff crash_loops;
    for (auto health : test_case.reports) crash_loops.on_job_health(kJob, health, at(0), at(1));
    EXPECT_EQ(crash_loops.contains(kJob), test_case.in_backoff) << test_case.what;
    EXPECT_FALSE(crash_loops.contains(JobId("run-2"))) << test_case.what;
  }
}

TEST(CrashLoopBackoff, DelayDoublesWithEachFailedGrantUpToTheLongest) {
  CrashLoopBackoff crash_loops;
  double now = 0;
  for (double delay : {2, 4, 8, 16, 30, 30}) {
    // It's granted a task, which fails a second later.
    crash_loops.on_job_health(kJob, JobHealth::kFailing, at(now), at(now + 1));
    EXPECT_FALSE(crash_loops.due(kJob, at(now + 1 + delay - 0.1))) << delay;
    EXPECT_TRUE(crash_loops.due(kJob, at(now + 1 + delay))) << delay;
    now += 1 + delay;
  }
}

TEST(CrashLoopBackoff, ReportsOfOneGrantCountOnce) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(2));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(1), at(2.5));  // granted when the failure was known
  EXPECT_TRUE(crash_loops.due(kJob, at(3)));
}

TEST(CrashLoopBackoff, AJobThatWasNeverGrantedFailsOnce) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, std::nullopt, at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, std::nullopt, at(2));
  EXPECT_TRUE(crash_loops.due(kJob, at(3)));
}

TEST(CrashLoopBackoff, AnErasedJobBeginsAnewWithTheShortestDelay) {
  CrashLoopBackoff crash_loops;
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(0), at(1));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(5), at(6));
  crash_loops.erase(kJob);
  EXPECT_FALSE(crash_loops.contains(kJob));
  EXPECT_TRUE(crash_loops.due(kJob, at(6)));
  crash_loops.on_job_health(kJob, JobHealth::kFailing, at(7), at(8));
  EXPECT_TRUE(crash_loops.due(kJob, at(10)));
}

}  // namespace
}  // namespace beaconsill::scheduler
