// What workers and controllers say to each other.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "protocol/json.h"

namespace beaconsill::protocol {

enum class TaskState { kFetching, kWaiting, kRunning, kSaving, kEnded };
enum class EndCause { kDone, kStopped, kPeersGone, kAlone, kError, kNoCapacityLeft, kBusy, kUnknown };

struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  EndCause cause = EndCause::kDone;  // meaningful once ended
  bool saved = false;
};

struct WorkerHeartbeat {
  MachineName machine;
  std::string address;
  MachineType type;
  Zone zone;
  bool spot = false;
  Incarnation incarnation;
  Sequence sequence;
  Token token;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;

  // Of two reports of a machine, the one with the larger (session, sequence) is the newer.
  bool newer_than(Incarnation s, Sequence q) const {
    return incarnation != s ? incarnation > s : sequence > q;
  }
};

// Throws ProtocolError.
WorkerHeartbeat parse_worker_heartbeat(const Json& j);

struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;
};

std::string render_heartbeat_response(Token token, const std::vector<Command>& commands);
std::string render_commands(Token token, Incarnation incarnation, const std::vector<Command>& commands);
// The answer to a report by a controller that isn't the machine's owner.
std::string render_redirect(const std::optional<ControllerName>& owner);

}  // namespace beaconsill::protocol
