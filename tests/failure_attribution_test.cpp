// Tests whether task failures are attributed to the job or to the machine.
#include "shard/failure_attribution.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "shard_test_data.h"

namespace beaconsill::shard {
namespace {

using fixture::at;

const MachineName kFirst("m1");
const MachineName kSecond("m2");
const JobId kJob("run-1");

JobId job_number(int number) {
  return JobId("run-" + std::to_string(number));
}

TEST(FailureAttributionTest, ASingleFailureIsAttributedToNeitherJobNorMachine) {
  FailureAttribution attribution;
  attribution.on_task_failed(kFirst, kJob, false, at(0));
  EXPECT_FALSE(attribution.is_machine_faulty(kFirst));
  EXPECT_FALSE(attribution.suspected_until(kFirst));
  EXPECT_FALSE(attribution.is_job_failing(kJob, at(0)));
  EXPECT_FALSE(attribution.retry_at(kJob));
  EXPECT_TRUE(attribution.has_recent_failures(kFirst, JobId("other")));
  EXPECT_TRUE(attribution.has_recent_failures(kSecond, kJob));
  EXPECT_FALSE(attribution.has_recent_failures(kSecond, JobId("other")));
}

TEST(FailureAttributionTest, AJobIsFailingIfItFailedOnTwoMachinesAndWorksOnNone) {
  struct Case {
    const char* what;
    std::vector<MachineName> failed_on;
    bool works;
    bool failing;
  };
  const Case cases[] = {
      {"failed twice on one machine", {kFirst, kFirst}, false, false},
      {"failed on two machines", {kFirst, kSecond}, false, true},
      {"failed on two machines, but works on another one", {kFirst, kSecond}, true, false},
  };
  for (const auto& entry : cases) {
    FailureAttribution attribution;
    for (const auto& machine : entry.failed_on) attribution.on_task_failed(machine, kJob, false, at(0));
    if (entry.works) attribution.mark_job_working(kJob);
    EXPECT_EQ(attribution.is_job_failing(kJob, at(1)), entry.failing) << entry.what;
  }
}

TEST(FailureAttributionTest, AMachineIsFaultyIfMoreJobsFailThereThanMistakesInJobsExplain) {
  struct Case {
    const char* what;
    int working, unknown, failing_everywhere;  // jobs that failed on the machine
    bool faulty;
  };
  const Case cases[] = {
      {"one job that works", 1, 0, 0, false},
      {"two jobs that work", 2, 0, 0, true},
      {"four jobs not known to work or to fail elsewhere", 0, 4, 0, false},
      {"five such jobs", 0, 5, 0, true},
      {"four such jobs and one that works", 1, 4, 0, true},
      {"failures of jobs that fail everywhere don't count", 1, 3, 5, false},
  };
  for (const auto& entry : cases) {
    FailureAttribution attribution;
    int number = 0;
    for (int i = 0; i < entry.working; ++i)
      attribution.on_task_failed(kFirst, job_number(++number), true, at(0));
    for (int i = 0; i < entry.unknown; ++i)
      attribution.on_task_failed(kFirst, job_number(++number), false, at(0));
    for (int i = 0; i < entry.failing_everywhere; ++i) {
      attribution.on_task_failed(kFirst, job_number(++number), false, at(0));
      attribution.on_task_failed(kSecond, job_number(number), false, at(0));
    }
    EXPECT_EQ(attribution.is_machine_faulty(kFirst), entry.faulty) << entry.what;
  }
}

TEST(FailureAttributionTest, AMachineIsSuspectedForTenSecondsAfterTwoUnexplainedFailures) {
  FailureAttribution attribution;
  attribution.on_task_failed(kFirst, job_number(1), false, at(0));
  attribution.on_task_failed(kFirst, job_number(2), false, at(3));
  EXPECT_EQ(attribution.suspected_until(kFirst), at(13));
  // The first job fails elsewhere as well, which explains one of the two.
  attribution.on_task_failed(kSecond, job_number(1), false, at(4));
  EXPECT_FALSE(attribution.suspected_until(kFirst));
}

TEST(FailureAttributionTest, TheBackoffOfAFailingJobDoublesUpToThirtySeconds) {
  FailureAttribution attribution;
  attribution.on_task_failed(kFirst, kJob, false, at(0));
  double failed_at = 0;
  for (double backoff : {1, 2, 4, 8, 16, 30, 30}) {
    attribution.on_task_failed(kSecond, kJob, false, at(failed_at));
    EXPECT_EQ(attribution.retry_at(kJob), at(failed_at + backoff));
    // Further failures before the retry don't extend the backoff.
    attribution.on_task_failed(kFirst, kJob, false, at(failed_at + backoff / 2));
    EXPECT_EQ(attribution.retry_at(kJob), at(failed_at + backoff));
    failed_at += backoff;
  }
}

TEST(FailureAttributionTest, ASuccessClearsTheFailuresOnItsMachineUpToThePlacement) {
  struct Case {
    const char* what;
    double placed;
    bool faulty;
  };
  const Case cases[] = {
      {"placed before the failures", 0, true},
      {"placed after the first", 1, false},
      {"placed after both", 3, false},
  };
  for (const auto& entry : cases) {
    FailureAttribution attribution;
    attribution.on_task_failed(kFirst, job_number(1), true, at(1));
    attribution.on_task_failed(kFirst, job_number(2), true, at(2));
    attribution.on_task_succeeded(kFirst, job_number(3), at(entry.placed));
    EXPECT_EQ(attribution.is_machine_faulty(kFirst), entry.faulty) << entry.what;
  }
}

TEST(FailureAttributionTest, FailuresExpireAfterAMinute) {
  FailureAttribution attribution;
  attribution.on_task_failed(kFirst, kJob, false, at(0));
  attribution.on_task_failed(kSecond, kJob, false, at(10));
  EXPECT_EQ(attribution.failed_on(kJob, at(59.9)), (std::set{kFirst, kSecond}));
  EXPECT_EQ(attribution.failed_on(kJob, at(60)), std::set{kSecond});
  EXPECT_TRUE(attribution.is_job_failing(kJob, at(69.9)));
  EXPECT_FALSE(attribution.is_job_failing(kJob, at(70)));
  // The next failure of any job erases the expired entries.
  attribution.on_task_failed(kFirst, job_number(2), false, at(70));
  EXPECT_FALSE(attribution.has_recent_failures(kSecond, kJob));
}

TEST(FailureAttributionTest, FailuresOnAMachineAreErasedWhenItIsTerminated) {
  FailureAttribution attribution;
  attribution.on_task_failed(kFirst, job_number(1), true, at(0));
  attribution.on_task_failed(kFirst, job_number(2), true, at(0));
  attribution.on_machine_terminated(kFirst);
  EXPECT_FALSE(attribution.is_machine_faulty(kFirst));
}

}  // namespace
}  // namespace beaconsill::shard
