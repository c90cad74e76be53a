// The protocol between agents, one on each machine, and controllers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// The phase of a task on its machine.
enum class TaskState { kFetching, kWaiting, kRunning, kSaving, kEnded };
// Why a task ended, as the agent reports it. kError also stands for causes that aren't known.
enum class EndCause { kDone, kStopped, kPeersGone, kAlone, kError, kNoCapacityLeft, kBusy, kUnknown };

// A task on a machine.
struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  EndCause cause = EndCause::kDone;  // meaningful once ended
  bool saved = false;                // it has saved a checkpoint
};

// What an agent reports of its machine.
struct WorkerHeartbeat {
  MachineName machine;
  std::string address;  // of the agent: "HOST:PORT"
  MachineType type;
  Zone zone;
  bool spot = false;
  Incarnation incarnation;
  Sequence sequence;               // within the incarnation
  FencingToken token;              // the highest fencing token that the agent has seen
  std::optional<double> notice_s;  // of a spot machine: time until the cloud terminates it
  std::vector<TaskStatus> tasks;

  // Of two heartbeats of a machine, the one with the larger (incarnation, sequence) is the newer.
  bool newer_than(Incarnation other_incarnation, Sequence other_sequence) const {
    return incarnation != other_incarnation ? incarnation > other_incarnation : sequence > other_sequence;
  }
};

// The body of a heartbeat, or of an agent's answer to commands. Throws ProtocolError.
WorkerHeartbeat parse_worker_heartbeat(const Json& json);

// What an agent is to do with a task.
struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;  // of kStop: time to save a checkpoint
};

// The response to a heartbeat.
std::string render_heartbeat_response(FencingToken token, const std::vector<Command>& commands);
// A call of the agent by the controller.
std::string render_commands(FencingToken token, Incarnation incarnation,
                            const std::vector<Command>& commands);
// The response to a heartbeat by a controller that doesn't lead the machine's shard. None: the shard has no
// leader.
std::string render_redirect(const std::optional<ControllerName>& shard_leader);

}  // namespace beaconsill::protocol
