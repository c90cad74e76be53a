#include "protocol/worker.h"

#include <utility>

#include "protocol/api.h"
#include "protocol/field_names.h"
#include "protocol/named_values.h"

namespace beaconsill::protocol {
namespace {

constexpr NamedValue<TaskState> kTaskStates[] = {{TaskState::kFetching, "fetching"},
                                                 {TaskState::kWaiting, "waiting"},
                                                 {TaskState::kRunning, "running"},
                                                 {TaskState::kSaving, "saving"},
                                                 {TaskState::kEnded, "ended"}};

constexpr NamedValue<EndCause> kEndCauses[] = {
    {EndCause::kDone, "done"},      {EndCause::kStopped, "halted"},      {EndCause::kPeersGone, "mates_gone"},
    {EndCause::kAlone, "alone"},    {EndCause::kNoCapacityLeft, "full"}, {EndCause::kBusy, "in_use"},
    {EndCause::kUnknown, "unknown"}};

constexpr char kStart[] = "run";
constexpr char kStop[] = "kill";
constexpr char kForget[] = "clear";

TaskState parse_state(const std::string& name) {
  const auto state = find_value(kTaskStates, name);
  if (!state) throw field_error(field::kState, "is not one of the defined task states");
  return *state;
}

TaskStatus parse_task_status(const Json& json) {
  TaskStatus status;
  auto id = parse_task_id(get_string(json, field::kTask));
  if (!id) throw field_error(field::kTask, "must be a task id of the form JOB/INDEX");
  status.task = std::move(*id);
  status.attempt = Attempt(get_count(json, field::kAttempt));
  status.state = parse_state(get_string(json, field::kState));
  // A cause that only later versions define means that the task ended without completing its work.
  if (status.state == TaskState::kEnded)
    status.cause = find_value(kEndCauses, get_string(json, field::kCause)).value_or(EndCause::kError);
  status.saved = get_bool_or(json, field::kSaved, false);
  return status;
}

Json command_to_json(const Command& command) {
  Json json{{field::kTask, task_name(command.task)}, {field::kAttempt, command.attempt.value()}};
  switch (command.op) {
    case Command::Op::kStart:
      json[field::kCommand] = kStart;
      break;
    case Command::Op::kStop:
      json[field::kCommand] = kStop;
      json[field::kGraceS] = command.grace_s;
      break;
    case Command::Op::kForget:
      json[field::kCommand] = kForget;
      break;
  }
  return json;
}

Json commands_to_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) list.push_back(command_to_json(command));
  return list;
}

}  // namespace

WorkerHeartbeat parse_worker_heartbeat(const Json& json) {
  WorkerHeartbeat heartbeat;
  heartbeat.machine = MachineName(get_string(json, field::kMachine));
  heartbeat.address = get_string(json, field::kAddress);
  heartbeat.type = MachineType(get_string(json, field::kMachineType));
  heartbeat.zone = Zone(get_string(json, field::kZone));
  heartbeat.spot = get_bool(json, field::kSpot);
  heartbeat.incarnation = Incarnation(get_count(json, field::kIncarnation));
  heartbeat.sequence = Sequence(get_count(json, field::kSequence));
  heartbeat.token = FencingToken(get_count(json, field::kFencingToken));
  if (find_field(json, field::kTerminationNoticeS))
    heartbeat.termination_notice_s = get_amount(json, field::kTerminationNoticeS);
  const Json& tasks = get_list(json, field::kTasks);
  heartbeat.tasks.reserve(tasks.size());
  for (const Json& task : tasks) heartbeat.tasks.push_back(parse_task_status(task));
  return heartbeat;
}

std::string render_heartbeat_response(FencingToken token, const std::vector<Command>& commands) {
  return dump(Json{{field::kFencingToken, token.value()}, {field::kCommands, commands_to_json(commands)}});
}

std::string render_commands(FencingToken token, Incarnation incarnation,
                            const std::vector<Command>& commands) {
  return dump(Json{{field::kFencingToken, token.value()},
                   {field::kIncarnation, incarnation.value()},
                   {field::kCommands, commands_to_json(commands)}});
}

std::string render_redirect(const std::optional<ControllerName>& shard_leader) {
  return shard_leader ? dump(Json{{field::kShardLeader, shard_leader->value()}}) : std::string("{}");
}

}  // namespace beaconsill::protocol
