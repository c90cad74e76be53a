// What a simulated schedule consists of, and what came of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sim/topology.h"

namespace beaconsill::sim {

// Once faults are over, so long a time is left before everything has to be in order.
constexpr double kCalmAfter = 30;

// Bugs that a test seeds into the simulated controllers, and that the invariant checker must find.
enum class SeededBug {
  kNone,
  kRegistryNotRead,                 // a new shard leader doesn't wait for the registered machines
  kCancellationsIgnored,            // shard leaders don't learn of cancellations
  kCancellationAcknowledgedAtOnce,  // users get confirmations of cancellations that other controllers haven't
                                    // acknowledged
  kNoFencing,                       // leaders write though they have been replaced
  kReleasesNotReported,             // nobody learns which tasks a shard releases
  kLimitIgnored,                    // the leader knows no team's limit
  kCompletedTooEarly,               // a job is taken for done when half of its tasks are
  kStaleHeartbeatsAccepted,         // late copies of heartbeats pass for the newest
  kZoneDropped,                     // the zone that a job sets gets lost
  kZoneConstraintsDropped,          // that a job's tasks must be in one zone, or in several, gets lost
  kNoReadBarrier,                   // users are answered without a read through the state store
  kNoReadBarrierForKnownJobs,       // the same, only for jobs that the controller knows of
  kOutageReadsAsEmpty,              // what can't be read passes for what isn't there
  kRepeatedSubmissionRejected,      // a repeated submission is judged as if it were new
  kUnknownJobsReported,             // a job that nobody submitted passes for queued
  kCompletedRecordedAsCancelled,    // a job that is done is recorded as cancelled
  kNoSizeLimit,                     // jobs larger than their team's limit are accepted
  kCallbackLost,                    // after a read that failed nobody who asks is answered any more
  kJobSkipped,                      // the leader overlooks a job
  kDependenciesDropped,             // the dependencies of a submission get lost
  kDependenciesIgnored,             // the leader grants jobs whose dependencies aren't done
  kDependenciesRejected,            // a submission that names accepted jobs is refused for good
  kFailuresNotReported,             // the leader doesn't learn that a job fails wherever it's started
};

struct Options {
  std::uint64_t seed = 1;
  int machines = 14;
  int jobs = 26;      // drawn ones
  int pipelines = 0;  // drawn ones: chains, fans and diamonds of jobs that depend on each other
  // The faults from FaultKind::kFailingJobs on are drawn as well. Without them the schedules of a seed
  // are the same as before these were added.
  bool operations = false;
  double faults_s = 90;  // drawn faults begin until then
  // By then everything must be served. The drawn faults and users leave work beyond the teams' limits for
  // longer than 300 s in some schedules; who waits though it could run breaks `starved` long before.
  double end_s = 400;
  double heartbeat_period_s = 1;
  bool random_faults = true;  // groups of two or three concurrent faults at random times
  bool noise = true;          // the rare losses, delays and repetitions of single messages
  SeededBug seeded_bug = SeededBug::kNone;

  // Nothing happens but what a test scripts, and messages are never lost.
  static Options scripted(std::uint64_t seed = 1) {
    Options options;
    options.seed = seed;
    options.jobs = 0;
    options.random_faults = options.noise = false;
    return options;
  }
};

struct Outcome {
  std::map<std::string, int> violations;  // invariant -> how often
  std::string first_violation;            // the first one, with its details
  int started = 0;
  int started_cancelled = 0;  // starts after a confirmed cancellation; counted, not forbidden
  int failing_starts = 0;     // starts of jobs that fail on every machine
  int failing_grants = 0;     // writes of such jobs' grants
  int deleted_machines = 0;   // at the request of controllers
  int shard_acquisitions = 0;
  int answered = 0;
  std::uint64_t digest = 0;           // of the controllers' decisions, see decision_digest.h
  double served_at = 0;               // when everything was in order after the faults; 0: never
  std::vector<std::string> schedule;  // the faults, as they came
};

}  // namespace beaconsill::sim
