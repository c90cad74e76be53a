// The kinds of faults, and what one of them affects.
#pragma once

#include <optional>
#include <vector>

#include "base/types.h"
#include "sim/network.h"

namespace beaconsill::sim {

// Each lasts for `duration_s` unless noted otherwise. "Delivery" marks cuts that honour `deliver_later`: what
// is sent meanwhile is delivered afterwards instead of being refused.
enum class FaultKind {
  // Controllers (`controllers`)
  kControllerCrash,   // its next process begins after duration_s
  kControllerPause,   // does nothing; from its next callback of kind `before_callback` on if that is set
  kRepeatedFailover,  // every period_s the leader crashes, and comes back a second later
  kControllerCutFromState,          // delivery
  kControllerCutFromPeers,          // delivery
  kControllerCutFromStateAndPeers,  // it reaches its workers and users only; delivery
  kControllerCut,                   // from state store, controllers, workers and users; delivery
  kStateRefusesController,          // the state store refuses it alone
  // State store
  kStateOutage,    // answers nobody
  kStateSlow,      // `share` of the messages take up to 1.2 s each way
  kLostResponses,  // `share` of the transactions is carried out at once, only the answer is lost
  kLateWrites,     // `share` has no answer and is carried out 2 to 12 s later, after newer ones
  // Zones and messages
  kZoneCut,           // `zone`: nothing passes between it and everything else; delivery
  kLostPeerMessages,  // `share` of the messages between controllers is lost
  kLatePeerMessages,  // `share` comes late, up to 40 s, and again
  kLateHeartbeats,    // of `share` of the heartbeats a copy comes again, up to 25 s later, at any controller
  kHeartbeatsForNextLeader,  // the same, but the copies wait for the next leader and reach every controller
  kLateCommands,  // `share` of direct commands is held up for 2 to 16 s, unanswered, then carried out
  // Machines (`machines`)
  kMachineHangs,        // do nothing, and go on afterwards
  kMachineInboundCut,   // heartbeats arrive; answers and commands to them are lost
  kMachineOutboundCut,  // they reach no controller; commands reach them
  kMachineCrash,        // silently gone
  kFastBoot,            // new machines are up within two seconds
  // Users
  kCancelRunning,  // `count` jobs that run are cancelled within 0.2 s; up to eight of their machines hang for
                   // duration_s
  kCancelAtCompletion,  // `share` of the jobs that end is cancelled at that moment
  kQueryBursts,         // queries at all controllers within milliseconds after accept, end and cancellation
  kInvalidRequests,     // repeats, cancellations of what is over, jobs that can't run, unknown jobs
  kSingleTaskJobs,      // four a second, a quarter of them cancelled
  kQuotasFilled,        // each team submits more than its limit, once
  // What operators reported, see Options::operations
  kFailingJobs,          // `count` jobs that fail on every machine, each cancelled within duration_s
  kPollStorm,            // users ask eight times as often
  kMachineFaulty,        // fail every task that they start (`machines`)
  kSlowBoot,             // new machines take up to a minute to come up
  kLongControllerPause,  // a controller is paused for a minute and more (`controllers`)
};
constexpr int kFaultKinds = static_cast<int>(FaultKind::kLongControllerPause) + 1;
constexpr int kFaultKindsBeforeOperations = static_cast<int>(FaultKind::kFailingJobs);
const char* to_string(FaultKind kind);

// The controllers that a fault affects, selected when it begins.
struct ControllerSelector {
  enum class Kind { kDrawn, kNumber, kLeader, kFollower, kAll };
  Kind kind = Kind::kDrawn;
  int number = 0;

  static ControllerSelector drawn() { return {}; }
  static ControllerSelector controller(int number) { return {Kind::kNumber, number}; }
  static ControllerSelector leader() { return {Kind::kLeader, 0}; }
  // Any controller but the leader.
  static ControllerSelector follower() { return {Kind::kFollower, 0}; }
  static ControllerSelector all() { return {Kind::kAll, 0}; }
};

// The machines that a fault affects, selected when it begins: all that match, or `count` random ones of them.
struct MachineSelector {
  std::optional<MachineName> name;
  std::optional<Zone> zone;
  std::optional<JobId> running;  // a task of this job is there
  int count = 0;                 // 0: all that match, or one if nothing is set

  static MachineSelector machine(MachineName name) { return {std::move(name), {}, {}, 0}; }
  static MachineSelector in_zone(Zone zone, int count = 0) { return {{}, std::move(zone), {}, count}; }
  static MachineSelector of_job(JobId job, int count = 0) { return {{}, {}, std::move(job), count}; }
  static MachineSelector drawn(int count = 1) { return {{}, {}, {}, count}; }
};

struct Fault {
  double at_s = 0;
  FaultKind kind = FaultKind::kControllerCrash;
  double duration_s = 0;
  ControllerSelector controllers = {};
  MachineSelector machines = {};
  std::optional<Zone> zone = {};
  double share = 1;  // of the messages or requests of a kind
  int count = 1;
  double period_s = 12;
  bool deliver_later = false;
  std::optional<CallbackKind> before_callback = {};
};

}  // namespace beaconsill::sim
