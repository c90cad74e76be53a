// What a simulated schedule consists of, and what came of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sim/topology.h"

namespace beaconsill::sim {

// Once troubles are over, so long a time is left before everything has to be in order.
constexpr double kCalmAfter = 30;

// Mistakes that the checkers must find.
enum class Mistake {
  kNone,
  kRegistryNotRead,     // a new owner doesn't wait for the machines of the one before it
  kCancellationUnseen,  // owners don't learn of cancellations
  kDisclosedAtOnce,     // users are told of cancellations that other controllers haven't acknowledged
  kNoRoleCondition,     // leaders write though they have been replaced
  kReturnsUntold,       // what a shard returns nobody learns of
  kLimitIgnored,        // the leader knows no team's limit
  kDoneTooSoon,         // a job passes for done when half of its tasks are
  kCopiesAreNews,       // late copies of reports pass for the newest word
  kZoneIgnored,         // the zone that a job sets gets lost
  kZonesIgnored,        // that a job's tasks must be in one zone, or in several, gets lost
  kAnswersUnread,       // users are answered without a read through the state store
  kKnownUnread,         // the same, only for jobs that the controller knows of
  kOutageIsEmpty,       // what can't be read passes for what isn't there
  kKnownJudgedAgain,    // a repeated submission is judged as if it were new
  kInventsJobs,         // a job that nobody submitted passes for queued
  kDoneIsCancelled,     // a job that is done is recorded as cancelled
  kNothingTooLarge,     // jobs larger than their team's limit are accepted
  kCallbackLost,        // after a read that failed nobody who asks is answered any more
  kJobPassedOver,       // the leader overlooks a job
  kAwaitsLost,          // what a submission awaits gets lost
  kStartsUnready,       // the leader grants jobs whose needed jobs aren't done
  kAwaitedUnknown,      // a submission that names accepted jobs is refused for good
  kFailuresUntold,      // the leader doesn't learn that a job fails wherever it's started
};

struct Options {
  std::uint64_t seed = 1;
  int machines = 14;
  int jobs = 26;      // drawn ones
  int pipelines = 0;  // drawn ones: chains, fans and diamonds of jobs that await each other
  // The troubles from TroubleKind::kMistakenJobs on are drawn as well. Without them the schedules of a seed
  // are those from before there were these.
  bool operations = false;
  double troubles_s = 90;  // drawn troubles begin until then
  // By then everything must be served. The drawn troubles and users leave work beyond the teams' limits for
  // longer than 300 s in some schedules; who waits though it could run breaks `starved` long before.
  double end_s = 400;
  double report_s = 1;
  bool drawn_troubles = true;  // meetings of two or three troubles at drawn times
  bool noise = true;           // the rare losses, delays and repetitions of single messages
  Mistake mistake = Mistake::kNone;

  // Nothing happens but what a test scripts, and messages are never lost.
  static Options scripted(std::uint64_t seed = 1) {
    Options o;
    o.seed = seed;
    o.jobs = 0;
    o.drawn_troubles = o.noise = false;
    return o;
  }
};

struct Outcome {
  std::map<std::string, int> broken;  // rule -> how often
  std::string first;                  // what was seen first
  int started = 0;
  int started_cancelled = 0;  // starts after a confirmed cancellation; counted, not forbidden
  int started_mistaken = 0;   // starts of jobs that fail on every machine
  int granted_mistaken = 0;   // writes of such jobs' grants
  int removed = 0;            // machines that controllers had deleted
  int takeovers = 0;
  int answered = 0;
  std::uint64_t digest = 0;           // of the controllers' decisions, see decision_digest.h
  double served_at = 0;               // when everything was in order after the troubles; 0: never
  std::vector<std::string> schedule;  // the troubles, as they came
};

}  // namespace beaconsill::sim
