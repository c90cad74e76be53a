#include "protocol/worker.h"

#include "protocol/api.h"

namespace beaconsill::protocol {
namespace {

TaskState parse_state(const std::string& s) {
  if (s == "fetching") return TaskState::kFetching;
  if (s == "waiting") return TaskState::kWaiting;
  if (s == "running") return TaskState::kRunning;
  if (s == "saving") return TaskState::kSaving;
  if (s == "ended") return TaskState::kEnded;
  throw ProtocolError("bearing of a task is unknown");
}

EndCause parse_cause(const std::string& s) {
  if (s == "done") return EndCause::kDone;
  if (s == "halted") return EndCause::kStopped;
  if (s == "mates_gone") return EndCause::kPeersGone;
  if (s == "alone") return EndCause::kAlone;
  if (s == "full") return EndCause::kNoCapacityLeft;
  if (s == "in_use") return EndCause::kBusy;
  if (s == "unknown") return EndCause::kUnknown;
  return EndCause::kError;  // also any cause that isn't known yet: the task ended without being done
}

}  // namespace

WorkerHeartbeat parse_worker_heartbeat(const Json& j) {
  WorkerHeartbeat r;
  r.machine = MachineName(get_string(j, "beacon"));
  r.address = get_string(j, "address");
  r.type = MachineType(get_string(j, "hull"));
  r.zone = Zone(get_string(j, "harbour"));
  r.spot = get_bool(j, "driftwood");
  r.incarnation = Incarnation(get_count(j, "watch"));
  r.sequence = Sequence(get_count(j, "tally"));
  r.token = Token(get_count(j, "helm"));
  if (find(j, "recallS")) r.notice_s = get_amount(j, "recallS");
  const Json& tasks = need(j, "lamps");
  if (!tasks.is_array()) throw ProtocolError("lamps is not a list");
  r.tasks.reserve(tasks.size());
  for (const Json& t : tasks) {
    TaskStatus tr;
    auto id = parse_task_id(get_string(t, "lamp"));
    if (!id) throw ProtocolError("lamp is not a task id");
    tr.task = std::move(*id);
    tr.attempt = Attempt(get_count(t, "launch"));
    tr.state = parse_state(get_string(t, "bearing"));
    if (tr.state == TaskState::kEnded) tr.cause = parse_cause(get_string(t, "cause"));
    tr.saved = get_bool_or(t, "stored", false);
    r.tasks.push_back(std::move(tr));
  }
  return r;
}

namespace {
Json command_list(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& c : commands) {
    Json e{{"lamp", task_name(c.task)}, {"launch", c.attempt.value()}};
    switch (c.op) {
      case Command::Op::kStart:
        e["signal"] = "run";
        break;
      case Command::Op::kStop:
        e["signal"] = "kill";
        e["dousingS"] = c.grace_s;
        break;
      case Command::Op::kForget:
        e["signal"] = "clear";
        break;
    }
    list.push_back(std::move(e));
  }
  return list;
}
}  // namespace

std::string render_heartbeat_response(Token token, const std::vector<Command>& commands) {
  return dump(Json{{"helm", token.value()}, {"signals", command_list(commands)}});
}

std::string render_commands(Token token, Incarnation incarnation, const std::vector<Command>& commands) {
  return dump(
      Json{{"helm", token.value()}, {"watch", incarnation.value()}, {"signals", command_list(commands)}});
}

std::string render_redirect(const std::optional<ControllerName>& owner) {
  return owner ? dump(Json{{"keeper", owner->value()}}) : std::string("{}");
}

}  // namespace beaconsill::protocol
