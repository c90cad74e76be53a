// Defines the kinds of faults that the simulation injects, and the selectors for the components they affect.
#pragma once

#include <optional>
#include <vector>

#include "base/types.h"
#include "sim/network.h"

namespace beaconsill::sim {

// Each fault lasts for `duration_s` unless noted otherwise. "Supports deliver_later" marks network partitions
// that honour `Fault::deliver_later`: messages sent during the partition are delivered after it instead of
// being refused.
enum class FaultKind {
  // Faults of controllers, selected by `controllers`.
  kControllerCrash,   // the controller process restarts after duration_s
  kControllerPause,   // the process is suspended, at once or, if `before_callback` is set, before its next
                      // callback of that kind
  kRepeatedFailover,  // every period_s the current leader crashes, and restarts one second later
  kControllerCutFromState,          // partitioned from the state store; supports deliver_later
  kControllerCutFromPeers,          // partitioned from the other controllers; supports deliver_later
  kControllerCutFromStateAndPeers,  // reaches only its workers and users; supports deliver_later
  kControllerCut,                   // partitioned from state store, controllers, workers and users;
                                    // supports deliver_later
  kStateRefusesController,          // the state store refuses requests of this controller only
  // Faults of the state store.
  kStateOutage,    // the state store answers no requests
  kStateSlow,      // `share` of the requests and of the responses takes 0.1 to 1.2 s to arrive
  kLostResponses,  // `share` of the transactions is executed at once, but the response is lost
  kLateWrites,     // `share` of the transactions gets no response and is executed 2 to 12 s later, after
                   // newer ones
  // Faults of zones and messages.
  kZoneCut,           // no messages pass between `zone` and the rest; supports deliver_later
  kLostPeerMessages,  // `share` of the messages between controllers is lost
  kLatePeerMessages,  // `share` of the messages between controllers is delayed by up to 40 s; independently,
                      // `share` of all of them is delivered a second time, up to 40 s after being sent
  kLateHeartbeats,    // for `share` of the heartbeats, a copy arrives up to 25 s later at a random controller
  kHeartbeatsForNextLeader,  // for `share` of the heartbeats, a copy arrives at every controller once a new
                             // leader is elected
  kLateCommands,             // `share` of direct commands gets no response and is executed 2 to 16 s later
  // Faults of machines, selected by `machines`.
  kMachineHangs,        // the machines do nothing, and continue afterwards
  kMachineInboundCut,   // their heartbeats arrive, but responses and commands to them are lost
  kMachineOutboundCut,  // they reach no controller, but commands reach them
  kMachineCrash,        // the machines disappear without notice
  kFastBoot,            // replacements of terminated machines boot within 2 s; ignores `machines`
  // Unusual behaviour of users.
  kCancelRunning,  // `count` running jobs are cancelled within 0.2 s; up to eight of their machines hang for
                   // duration_s
  kCancelAtCompletion,  // `share` of the completing jobs is cancelled at the moment of completion
  kQueryBursts,      // all controllers are queried within milliseconds after a job is accepted, completed or
                     // cancelled
  kInvalidRequests,  // repeated submissions, cancellations of completed jobs, jobs that cannot run, unknown
                     // jobs
  kSingleTaskJobs,   // four submissions per second, of which a quarter is cancelled
  kQuotasFilled,     // each team submits one job larger than its CPU limit
  // Faults that operators reported; drawn only with Options::operations.
  kFailingJobs,          // `count` jobs fail on every machine; each is cancelled within duration_s
  kPollStorm,            // users send 60 additional queries per second about random jobs
  kMachineFaulty,        // every task that is started on the `machines` fails
  kSlowBoot,             // replacements of terminated machines take 20 to 60 s to boot
  kLongControllerPause,  // the `controllers` are paused for at least a minute
};
constexpr int kFaultKinds = static_cast<int>(FaultKind::kLongControllerPause) + 1;
constexpr int kFaultKindsWithoutOperations = static_cast<int>(FaultKind::kFailingJobs);
const char* to_string(FaultKind kind);

// Selects the controllers that a fault affects. Evaluated when the fault begins.
struct ControllerSelector {
  enum class Kind { kRandom, kNumber, kLeader, kFollower, kAll };
  Kind kind = Kind::kRandom;
  int number = 0;

  static ControllerSelector random() { return {}; }
  static ControllerSelector controller(int number) { return {Kind::kNumber, number}; }
  static ControllerSelector leader() { return {Kind::kLeader, 0}; }
  // Selects a random controller that is not the leader.
  static ControllerSelector follower() { return {Kind::kFollower, 0}; }
  static ControllerSelector all() { return {Kind::kAll, 0}; }
};

// Selects the machines that a fault affects: all matching machines, or `count` random ones of them. Evaluated
// when the fault begins.
struct MachineSelector {
  std::optional<MachineName> name;
  std::optional<Zone> zone;
  std::optional<JobId> running;  // has a task of this job that has not ended
  int count = 0;                 // 0: all matching machines, or a single random one if no criterion is set

  static MachineSelector machine(MachineName name) { return {std::move(name), {}, {}, 0}; }
  static MachineSelector in_zone(Zone zone, int count = 0) { return {{}, std::move(zone), {}, count}; }
  static MachineSelector of_job(JobId job, int count = 0) { return {{}, {}, std::move(job), count}; }
  static MachineSelector random(int count = 1) { return {{}, {}, {}, count}; }
};

struct Fault {
  double at_s = 0;
  FaultKind kind = FaultKind::kControllerCrash;
  double duration_s = 0;
  ControllerSelector controllers = {};
  MachineSelector machines = {};
  std::optional<Zone> zone = {};
  double share = 1;      // fraction of the messages, requests or jobs that is affected, from 0 to 1
  int count = 1;         // number of jobs
  double period_s = 12;  // of kRepeatedFailover
  bool deliver_later = false;
  std::optional<CallbackKind> before_callback = {};
};

}  // namespace beaconsill::sim
