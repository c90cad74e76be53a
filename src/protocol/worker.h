// Messages between controllers and workers. A worker is the process that runs on each machine; it reports the
// machine's tasks in heartbeats and executes commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

// The phase of a task on its machine.
enum class TaskState { kFetching, kWaiting, kRunning, kSaving, kEnded };
// Why a task ended, as reported by the worker. kError also represents causes that this version does not know.
enum class EndCause { kDone, kStopped, kPeersGone, kAlone, kError, kNoCapacityLeft, kBusy, kUnknown };

// The status of a task on a machine, as reported by the worker.
struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  EndCause cause = EndCause::kDone;  // only meaningful if `state` is kEnded
  bool saved = false;                // the task has saved a checkpoint
};

// The state of a machine and its tasks, as reported by the worker.
struct WorkerHeartbeat {
  MachineName machine;
  std::string address;  // of the worker: "HOST:PORT"
  MachineType type;
  Zone zone;
  bool spot = false;
  Incarnation incarnation;
  Sequence sequence;   // number of the heartbeat within the incarnation
  FencingToken token;  // the highest fencing token that the worker has seen
  // Seconds until the cloud terminates the machine. Only set for a spot machine that has received a notice.
  std::optional<double> termination_notice_s;
  std::vector<TaskStatus> tasks;

  // Of two heartbeats from the same machine, the one with the larger (incarnation, sequence) is newer.
  bool is_newer_than(Incarnation other_incarnation, Sequence other_sequence) const {
    return incarnation != other_incarnation ? incarnation > other_incarnation : sequence > other_sequence;
  }
};

// Parses the body of a heartbeat or of a worker's response to commands, which have the same form. Throws
// ProtocolError if a field is missing or invalid.
WorkerHeartbeat parse_worker_heartbeat(const Json& json);

// A command to a worker to start, stop or forget a task.
struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;  // only for kStop: seconds that the task has to save a checkpoint
};

// Renders the body of the response to a heartbeat.
std::string render_heartbeat_response(FencingToken token, const std::vector<Command>& commands);
// Renders the body of a request by which a controller sends commands to a worker between heartbeats.
std::string render_commands(FencingToken token, Incarnation incarnation,
                            const std::vector<Command>& commands);
// Renders the body of the response to a heartbeat from a controller that does not lead the machine's shard.
// The body names the shard leader; it is an empty object if `shard_leader` is std::nullopt because there is
// none.
std::string render_redirect(const std::optional<ControllerName>& shard_leader);

}  // namespace beaconsill::protocol
