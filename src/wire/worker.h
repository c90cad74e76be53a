// What workers and controllers say to each other.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json.h"

namespace beaconsill::wire {

enum class TaskState { kFetching, kWaiting, kRunning, kSaving, kEnded };
enum class EndCause { kDone, kStopped, kPeersGone, kAlone, kError, kNoRoom, kBusy, kUnknown };

struct TaskReport {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  EndCause cause = EndCause::kDone;  // meaningful once ended
  bool saved = false;
};

struct Report {
  MachineName machine;
  std::string address;
  MachineType type;
  Zone zone;
  bool spot = false;
  Session session;
  Sequence sequence;
  Token token;
  std::optional<double> notice_s;
  std::vector<TaskReport> tasks;

  // Of two reports of a machine, the one with the larger (session, sequence) is the newer.
  bool newer_than(Session s, Sequence q) const { return session != s ? session > s : sequence > q; }
};

// Throws WireError.
Report parse_report(const Json& j);

struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;
};

std::string render_report_answer(Token token, const std::vector<Command>& commands);
std::string render_commands(Token token, Session session, const std::vector<Command>& commands);
// The answer to a report by a node that isn't the machine's owner.
std::string render_redirect(const std::optional<NodeName>& owner);

}  // namespace beaconsill::wire
