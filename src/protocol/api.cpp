#include "protocol/api.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace beaconsill::protocol {
namespace {

constexpr std::string_view kIdPrefix = "run-";

JobKind parse_kind(const std::string& s) {
  if (s == "batch") return JobKind::kArray;
  if (s == "group") return JobKind::kGang;
  if (s == "daemon") return JobKind::kService;
  throw ProtocolError("shape is unknown");
}

const char* kind_name(JobKind k) {
  switch (k) {
    case JobKind::kArray:
      return "batch";
    case JobKind::kGang:
      return "group";
    case JobKind::kService:
      return "daemon";
  }
  return "batch";
}

Priority parse_priority(const std::string& s) {
  if (s == "production") return Priority::kProduction;
  if (s == "high") return Priority::kHigh;
  if (s == "standard") return Priority::kNormal;
  if (s == "best_effort") return Priority::kLow;
  throw ProtocolError("precedence is unknown");
}

const char* priority_name(Priority p) {
  switch (p) {
    case Priority::kProduction:
      return "production";
    case Priority::kHigh:
      return "high";
    case Priority::kNormal:
      return "standard";
    case Priority::kLow:
      return "best_effort";
  }
  return "standard";
}

const char* state_name(JobState s) {
  switch (s) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kDone:
      return "done";
    case JobState::kCancelled:
      return "withdrawn";
  }
  return "queued";
}

std::vector<JobId> parse_dependencies(const Json& list, const JobId& job) {
  auto depends_on = parse_job_ids(list);
  std::set<JobId> names{job};
  for (const auto& dependency : depends_on) {
    if (dependency == job) throw ProtocolError("awaits names the job itself");
    if (!names.insert(dependency).second) throw ProtocolError("awaits names a job twice");
  }
  return depends_on;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kIdPrefix) || id.size() > 32) return false;
  auto digits = id.substr(kIdPrefix.size());
  return !digits.empty() &&
         std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

JobSpec parse_job(const Json& j) {
  JobSpec s;
  s.id = JobId(get_string(j, "ref"));
  if (!valid_job_id(s.id.value())) throw ProtocolError("ref is not a job id");
  s.job_class = get_string(j, "berth");
  s.team = Team(get_string(j, "crew"));
  s.kind = parse_kind(get_string(j, "shape"));
  s.priority = parse_priority(get_string(j, "precedence"));
  auto tasks = get_count(j, "lamps");
  if (tasks < 1 || tasks > kMaxTasks) throw ProtocolError("lamps is out of range");
  s.tasks = static_cast<std::uint32_t>(tasks);
  s.each = {get_amount(j, "vcpus"), get_amount(j, "cards"), get_amount(j, "memoryGb")};
  s.image = ImageName(get_string(j, "cargo"));
  s.image_gb = get_amount(j, "sizeGb");
  if (const Json* types = find(j, "hulls")) {
    if (!types->is_array()) throw ProtocolError("hulls is not a list");
    s.types.emplace();
    for (const Json& t : *types) {
      if (!t.is_string()) throw ProtocolError("hulls holds something other than a name");
      s.types->emplace_back(t.get<std::string>());
    }
  }
  if (find(j, "harbour")) s.zone = Zone(get_string(j, "harbour"));
  s.one_zone = get_bool(j, "together");
  s.spread = get_bool(j, "scatter");
  s.spot = get_bool(j, "driftwood");
  s.estimate_s = get_amount(j, "reckonS");
  s.checkpoint_s = get_amount(j, "markS");
  s.save_s = get_amount(j, "stowS");
  if (find(j, "tideS")) s.deadline_s = get_amount(j, "tideS");
  if (const Json* depends_on = find(j, "awaits")) s.depends_on = parse_dependencies(*depends_on, s.id);
  return s;
}

Json job_to_json(const JobSpec& s) {
  Json j{{"ref", s.id.value()},
         {"berth", s.job_class},
         {"crew", s.team.value()},
         {"shape", kind_name(s.kind)},
         {"precedence", priority_name(s.priority)},
         {"lamps", s.tasks},
         {"vcpus", s.each.cpus},
         {"cards", s.each.gpus},
         {"memoryGb", s.each.memory_gb},
         {"cargo", s.image.value()},
         {"sizeGb", s.image_gb},
         {"together", s.one_zone},
         {"scatter", s.spread},
         {"driftwood", s.spot},
         {"reckonS", s.estimate_s},
         {"markS", s.checkpoint_s},
         {"stowS", s.save_s}};
  if (s.types) {
    Json list = Json::array();
    for (const auto& t : *s.types) list.push_back(t.value());
    j["hulls"] = std::move(list);
  }
  if (s.zone) j["harbour"] = s.zone->value();
  if (s.deadline_s) j["tideS"] = *s.deadline_s;
  if (!s.depends_on.empty()) j["awaits"] = job_ids_to_json(s.depends_on);
  return j;
}

Json job_ids_to_json(const std::vector<JobId>& ids) {
  Json list = Json::array();
  for (const auto& id : ids) list.push_back(id.value());
  return list;
}

std::vector<JobId> parse_job_ids(const Json& list) {
  if (!list.is_array()) throw ProtocolError("awaits is not a list");
  std::vector<JobId> ids;
  for (const Json& name : list) {
    if (!name.is_string() || !valid_job_id(name.get_ref<const std::string&>()))
      throw ProtocolError("awaits holds something other than a job id");
    ids.emplace_back(name.get<std::string>());
  }
  return ids;
}

std::string render_accepted(const JobId& id, JobState state) {
  return dump(Json{{"ref", id.value()}, {"bearing", state_name(state)}});
}

std::string render_status(const JobId& id, JobState state, std::uint32_t done, std::uint32_t running) {
  return dump(
      Json{{"ref", id.value()}, {"bearing", state_name(state)}, {"done", done}, {"running", running}});
}

std::string render_error(std::string_view reason) {
  return dump(Json{{"error", reason}});
}

std::optional<TaskId> parse_task_id(std::string_view text) {
  auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_job_id(text.substr(0, slash))) return std::nullopt;
  std::uint32_t n = 0;
  auto [p, ec] = std::from_chars(text.data() + slash + 1, text.data() + text.size(), n);
  if (ec != std::errc() || p != text.data() + text.size()) return std::nullopt;
  return TaskId{JobId(std::string(text.substr(0, slash))), n};
}

std::string task_name(const TaskId& id) {
  return id.job.value() + '/' + std::to_string(id.index);
}

}  // namespace beaconsill::protocol
