// Whether failures of tasks are put down to their job or to their machine.
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

TEST(FailureAttributionTest, OneFailureIsPutDownToNeither) {
  FailureAttribution attribution;
  attribution.on_failed(kFirst, kJob, false, at(0));
  EXPECT_FALSE(attribution.is_machine_faulty(kFirst));
  EXPECT_FALSE(attribution.suspect_until(kFirst));
  EXPECT_FALSE(attribution.job_fails(kJob, at(0)));
  EXPECT_FALSE(attribution.retry_at(kJob));
  EXPECT_TRUE(attribution.concerns(kFirst, JobId("other")));
  EXPECT_TRUE(attribution.concerns(kSecond, kJob));
  EXPECT_FALSE(attribution.concerns(kSecond, JobId("other")));
}

TEST(FailureAttributionTest, AJobFailsIfItFailedOnTwoMachinesAndWorksNowhere) {
  struct Case {
    const char* what;
    std::vector<MachineName> failed_on;
    bool works;
    bool job_fails;
  };
  const Case cases[] = {
      {"on one machine, twice", {kFirst, kFirst}, false, false},
      {"on two machines", {kFirst, kSecond}, false, true},
      {"on two machines, but it works on another", {kFirst, kSecond}, true, false},
  };
  for (const auto& entry : cases) {
    FailureAttribution attribution;
    for (const auto& machine : entry.failed_on) attribution.on_failed(machine, kJob, false, at(0));
    if (entry.works) attribution.on_job_works(kJob);
    EXPECT_EQ(attribution.job_fails(kJob, at(1)), entry.job_fails) << entry.what;
  }
}

TEST(FailureAttributionTest, AMachineIsFaultyIfJobsFailThereThatTheJobsDoNotExplain) {
  struct Case {
    const char* what;
    int working, unknown, failing_everywhere;  // jobs that failed on the machine
    bool faulty;
  };
  const Case cases[] = {
      {"one job that works", 1, 0, 0, false},
      {"two jobs that work", 2, 0, 0, true},
      {"four jobs of which nothing is known", 0, 4, 0, false},
      {"five of them", 0, 5, 0, true},
      {"together with one that works", 1, 4, 0, true},
      {"jobs that fail everywhere explain their failures", 1, 3, 5, false},
  };
  for (const auto& entry : cases) {
    FailureAttribution attribution;
    int number = 0;
    for (int i = 0; i < entry.working; ++i) attribution.on_failed(kFirst, job_number(++number), true, at(0));
    for (int i = 0; i < entry.unknown; ++i) attribution.on_failed(kFirst, job_number(++number), false, at(0));
    for (int i = 0; i < entry.failing_everywhere; ++i) {
      attribution.on_failed(kFirst, job_number(++number), false, at(0));
      attribution.on_failed(kSecond, job_number(number), false, at(0));
    }
    EXPECT_EQ(attribution.is_machine_faulty(kFirst), entry.faulty) << entry.what;
  }
}

TEST(FailureAttributionTest, AMachineIsSuspectedForTenSecondsAfterTwoUnexplainedFailures) {
  FailureAttribution attribution;
  attribution.on_failed(kFirst, job_number(1), false, at(0));
  attribution.on_failed(kFirst, job_number(2), false, at(3));
  EXPECT_EQ(attribution.suspect_until(kFirst), at(13));
  // The first job fails elsewhere as well, which explains one of the two.
  attribution.on_failed(kSecond, job_number(1), false, at(4));
  EXPECT_FALSE(attribution.suspect_until(kFirst));
}

TEST(FailureAttributionTest, TheBackoffOfAFailingJobDoublesUpToThirtySeconds) {
  FailureAttribution attribution;
  attribution.on_failed(kFirst, kJob, false, at(0));
  double failed_at = 0;
  for (double backoff : {1, 2, 4, 8, 16, 30, 30}) {
    attribution.on_failed(kSecond, kJob, false, at(failed_at));
    EXPECT_EQ(attribution.retry_at(kJob), at(failed_at + backoff));
    // Further failures before that count once.
    attribution.on_failed(kFirst, kJob, false, at(failed_at + backoff / 2));
    EXPECT_EQ(attribution.retry_at(kJob), at(failed_at + backoff));
    failed_at += backoff;
  }
}

TEST(FailureAttributionTest, WhatWorksClearsTheFailuresBeforeItWasPlaced) {
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
    attribution.on_failed(kFirst, job_number(1), true, at(1));
    attribution.on_failed(kFirst, job_number(2), true, at(2));
    attribution.on_worked(kFirst, job_number(3), at(entry.placed));
    EXPECT_EQ(attribution.is_machine_faulty(kFirst), entry.faulty) << entry.what;
  }
}

TEST(FailureAttributionTest, FailuresAreForgottenAfterAMinute) {
  FailureAttribution attribution;
  attribution.on_failed(kFirst, kJob, false, at(0));
  attribution.on_failed(kSecond, kJob, false, at(10));
  EXPECT_EQ(attribution.failed_on(kJob, at(59.9)), (std::set{kFirst, kSecond}));
  EXPECT_EQ(attribution.failed_on(kJob, at(60)), std::set{kSecond});
  EXPECT_TRUE(attribution.job_fails(kJob, at(69.9)));
  EXPECT_FALSE(attribution.job_fails(kJob, at(70)));
  // The next failure, of whatever job, drops the entries.
  attribution.on_failed(kFirst, job_number(2), false, at(70));
  EXPECT_FALSE(attribution.concerns(kSecond, kJob));
}

TEST(FailureAttributionTest, ATerminatedMachineIsNoLongerFaulty) {
  FailureAttribution attribution;
  attribution.on_failed(kFirst, job_number(1), true, at(0));
  attribution.on_failed(kFirst, job_number(2), true, at(0));
  attribution.on_machine_terminated(kFirst);
  EXPECT_FALSE(attribution.is_machine_faulty(kFirst));
}

}  // namespace
}  // namespace beaconsill::shard
