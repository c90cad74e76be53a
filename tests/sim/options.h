// Defines the options of a simulated schedule and its outcome.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sim/topology.h"

namespace beaconsill::sim {

// The time in seconds after the last fault or request before the schedule may end because all jobs are
// served.
constexpr double kRecoveryGracePeriod = 30;

// Bugs that a test seeds into the simulated controllers or their requests, and that the invariant checker
// must detect.
enum class SeededBug {
  kNone,
  kRegistryNotRead,       // a new shard leader ignores registered machines that it does not know yet
  kCancellationsIgnored,  // shard leaders ignore cancellations
  kCancellationAcknowledgedAtOnce,  // cancellations are confirmed to users before the other controllers have
                                    // acknowledged them
  kNoFencing,                       // leaders write without checking that they have not been replaced
  kReleasesNotReported,             // a shard does not report the tasks that it releases
  kTeamLimitIgnored,                // the leader ignores the teams' CPU limits
  kCompletedTooEarly,               // a job is recorded as done when more than half of its tasks are
  kStaleHeartbeatsAccepted,         // delayed copies of heartbeats are accepted as the newest
  kZoneDropped,                     // the zone constraint of a submission is lost
  kZoneConstraintsDropped,          // the one-zone and spread constraints of a submission are lost
  kNoReadBarrier,                   // responses to users do not wait for a read from the state store
  kNoReadBarrierForKnownJobs,       // the same, but only for queries of jobs in the controller's own view
  kOutageReadsAsEmpty,              // a failed read is treated as a read that found nothing
  kRepeatedSubmissionRejected,      // a repeated submission is rejected with HTTP status 422
  kUnknownJobsReported,             // a job that was never submitted is reported as queued
  kCompletedRecordedAsCancelled,    // a completed job is recorded as cancelled
  kNoSizeLimit,                     // jobs larger than their team's limit are accepted
  kCallbackLost,                    // after one failed read, users' requests that need a read get no response
  kJobSkipped,                      // the leader never schedules one of the jobs
  kDependenciesDropped,             // the dependencies of a submission are lost
  kDependenciesIgnored,             // the leader grants jobs whose dependencies are not done
  kDependenciesRejected,            // a submission with accepted jobs as dependencies is permanently rejected
  kFailuresNotReported,             // the leader is not notified that a job fails on every machine
  kSavingTasksNotStopped,           // a task that saves its checkpoint gets no second stop
};

struct Options {
  std::uint64_t seed = 1;
  int machines = 14;
  int jobs = 26;      // number of random jobs
  int pipelines = 0;  // number of random pipelines: chains, fan-outs and diamonds of dependent jobs
  // Includes FaultKind::kFailingJobs and the kinds after it in the random faults. They are excluded by
  // default, so that adding these kinds has not changed the schedules of existing seeds.
  bool operations = false;
  // The tasks of random arrays save a checkpoint when they are stopped.
  bool checkpoints = false;
  // Replaces a machine that terminates by one in the same zone, so that no zone of a few machines loses all
  // of them. Not the default, so that the schedules of existing seeds have not changed.
  bool replace_in_zone = false;
  double random_faults_until_s = 90;  // random faults begin before this time
  // All jobs must be served by this time. In some schedules, the random users and faults leave so much work
  // that the teams' CPU limits delay some jobs for more than 300 s. Jobs that wait although they could run
  // violate `starved` much earlier.
  double end_s = 400;
  double heartbeat_period_s = 1;
  bool random_faults = true;  // inject groups of two or three concurrent faults at random times
  bool noise = true;          // occasionally lose, delay or repeat single messages
  SeededBug seeded_bug = SeededBug::kNone;

  // Lets stopped tasks save checkpoints, and leaves so few machines that tasks are often preempted.
  void enable_checkpoints() {
    machines = 5;
    checkpoints = replace_in_zone = true;
  }
  // Returns options for a schedule without random jobs, faults and message noise: only the test's script
  // runs.
  static Options scripted(std::uint64_t seed = 1) {
    Options options;
    options.seed = seed;
    options.jobs = 0;
    options.random_faults = options.noise = false;
    return options;
  }
};

struct Outcome {
  std::map<std::string, int> violations;  // number of violations by invariant
  std::string first_violation;            // invariant, simulated time and description
  int started = 0;                        // task starts
  // Task starts after a confirmed cancellation. Those later than kCancelLimit after it are violations.
  int starts_after_cancellation = 0;
  int saves = 0;             // tasks that began to save a checkpoint
  int failing_starts = 0;    // task starts of jobs that fail on every machine
  int failing_grants = 0;    // writes of grants for such jobs
  int deleted_machines = 0;  // deleted at the request of controllers
  int shard_acquisitions = 0;
  int answered = 0;          // requests of users that got a response or timed out
  std::uint64_t digest = 0;  // of the controllers' decisions; see decision_digest.h
  double served_at = 0;      // simulated time at which all jobs were served after the faults; 0: never
  std::vector<std::string> schedule;  // the faults in the order in which they began
};

}  // namespace beaconsill::sim
