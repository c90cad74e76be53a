#include "protocol/api.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/parse_number.h"
#include "protocol/field_names.h"
#include "protocol/named_values.h"

namespace beaconsill::protocol {
namespace {

constexpr std::string_view kIdPrefix = "run-";
constexpr std::size_t kMaxIdBytes = 32;
constexpr char kExpectedJobId[] = "must be a job id (run- followed by digits, at most 32 bytes in total)";
constexpr char kExpectedJobIds[] =
    "must contain only job ids (run- followed by digits, at most 32 bytes in total)";

constexpr NamedValue<JobKind> kJobKinds[] = {
    {JobKind::kArray, "batch"}, {JobKind::kGang, "group"}, {JobKind::kService, "daemon"}};

constexpr NamedValue<Priority> kPriorityNames[] = {{Priority::kNormal, "standard"},
                                                   {Priority::kProduction, "production"},
                                                   {Priority::kHigh, "high"},
                                                   {Priority::kLow, "best_effort"}};

constexpr NamedValue<JobState> kJobStates[] = {{JobState::kQueued, "queued"},
                                               {JobState::kRunning, "running"},
                                               {JobState::kDone, "done"},
                                               {JobState::kCancelled, "withdrawn"}};

template <class Enum, std::size_t Size>
Enum parse_enum(const NamedValue<Enum> (&table)[Size], const Json& json, const char* field) {
  const auto value = find_value(table, get_string(json, field));
  if (!value) throw field_error(field, "is not one of the defined names");
  return *value;
}

std::uint32_t parse_task_count(const Json& json) {
  const auto tasks = get_count(json, field::kTasks);
  if (tasks < 1 || tasks > kMaxTasks)
    throw field_error(field::kTasks,
                      "must be from 1 to " + std::to_string(kMaxTasks) + ", got " + std::to_string(tasks));
  return static_cast<std::uint32_t>(tasks);
}

std::vector<MachineType> parse_types(const Json& list) {
  if (!list.is_array())
    throw field_error(field::kMachineTypes, std::string("must be an array, got ") + list.type_name());
  std::vector<MachineType> types;
  for (const Json& name : list) {
    if (!name.is_string())
      throw field_error(field::kMachineTypes,
                        std::string("must contain only strings, got ") + name.type_name());
    types.emplace_back(name.get<std::string>());
  }
  return types;
}

std::vector<JobId> parse_dependencies(const Json& list, const JobId& job) {
  auto depends_on = parse_job_ids(list);
  std::set<JobId> known_ids{job};
  for (const auto& dependency : depends_on) {
    if (dependency == job)
      throw field_error(field::kDependsOn, "contains the id of the job itself, " + job.value());
    if (!known_ids.insert(dependency).second)
      throw field_error(field::kDependsOn, "contains " + dependency.value() + " more than once");
  }
  return depends_on;
}

// Parses the resources and the image of a task.
void parse_task(const Json& json, JobSpec& spec) {
  spec.each = {get_amount(json, field::kCpus), get_amount(json, field::kGpus),
               get_amount(json, field::kMemoryGb)};
  spec.image = ImageName(get_string(json, field::kImage));
  spec.image_gb = get_amount(json, field::kImageGb);
}

// Parses the constraints on the machines that may run the tasks.
void parse_constraints(const Json& json, JobSpec& spec) {
  if (const Json* types = find_field(json, field::kMachineTypes)) spec.types = parse_types(*types);
  if (find_field(json, field::kZone)) spec.zone = Zone(get_string(json, field::kZone));
  spec.one_zone = get_bool(json, field::kOneZone);
  spec.spread = get_bool(json, field::kSpread);
  spec.spot = get_bool(json, field::kSpot);
}

void parse_times(const Json& json, JobSpec& spec) {
  spec.estimate_s = get_amount(json, field::kEstimateS);
  spec.checkpoint_s = get_amount(json, field::kCheckpointS);
  spec.save_s = get_amount(json, field::kSaveS);
  if (find_field(json, field::kDeadlineS)) spec.deadline_s = get_amount(json, field::kDeadlineS);
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kIdPrefix) || id.size() > kMaxIdBytes) return false;
  const auto digits = id.substr(kIdPrefix.size());
  return !digits.empty() &&
         std::all_of(digits.begin(), digits.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

JobSpec parse_job(const Json& json) {
  JobSpec spec;
  spec.id = JobId(get_string(json, field::kId));
  if (!valid_job_id(spec.id.value())) throw field_error(field::kId, kExpectedJobId);
  spec.job_class = get_string(json, field::kJobClass);
  spec.team = Team(get_string(json, field::kTeam));
  spec.kind = parse_enum(kJobKinds, json, field::kJobKind);
  spec.priority = parse_enum(kPriorityNames, json, field::kPriority);
  spec.tasks = parse_task_count(json);
  parse_task(json, spec);
  parse_constraints(json, spec);
  parse_times(json, spec);
  if (const Json* depends_on = find_field(json, field::kDependsOn))
    spec.depends_on = parse_dependencies(*depends_on, spec.id);
  return spec;
}

Json job_to_json(const JobSpec& spec) {
  Json json{{field::kId, spec.id.value()},
            {field::kJobClass, spec.job_class},
            {field::kTeam, spec.team.value()},
            {field::kJobKind, find_name(kJobKinds, spec.kind)},
            {field::kPriority, find_name(kPriorityNames, spec.priority)},
            {field::kTasks, spec.tasks},
            {field::kCpus, spec.each.cpus},
            {field::kGpus, spec.each.gpus},
            {field::kMemoryGb, spec.each.memory_gb},
            {field::kImage, spec.image.value()},
            {field::kImageGb, spec.image_gb},
            {field::kOneZone, spec.one_zone},
            {field::kSpread, spec.spread},
            {field::kSpot, spec.spot},
            {field::kEstimateS, spec.estimate_s},
            {field::kCheckpointS, spec.checkpoint_s},
            {field::kSaveS, spec.save_s}};
  if (spec.types) {
    Json list = Json::array();
    for (const auto& type : *spec.types) list.push_back(type.value());
    json[field::kMachineTypes] = std::move(list);
  }
  if (spec.zone) json[field::kZone] = spec.zone->value();
  if (spec.deadline_s) json[field::kDeadlineS] = *spec.deadline_s;
  if (!spec.depends_on.empty()) json[field::kDependsOn] = job_ids_to_json(spec.depends_on);
  return json;
}

Json job_ids_to_json(const std::vector<JobId>& ids) {
  Json list = Json::array();
  for (const auto& id : ids) list.push_back(id.value());
  return list;
}

std::vector<JobId> parse_job_ids(const Json& list) {
  if (!list.is_array())
    throw field_error(field::kDependsOn, std::string("must be an array, got ") + list.type_name());
  std::vector<JobId> ids;
  for (const Json& name : list) {
    if (!name.is_string() || !valid_job_id(name.get_ref<const std::string&>()))
      throw field_error(field::kDependsOn, kExpectedJobIds);
    ids.emplace_back(name.get<std::string>());
  }
  return ids;
}

std::string render_submission_response(const JobId& id, JobState state) {
  return dump(Json{{field::kId, id.value()}, {field::kState, find_name(kJobStates, state)}});
}

std::string render_status(const JobId& id, JobState state, std::uint32_t done, std::uint32_t running) {
  return dump(Json{{field::kId, id.value()},
                   {field::kState, find_name(kJobStates, state)},
                   {field::kDone, done},
                   {field::kRunning, running}});
}

std::string render_error(std::string_view reason) {
  return dump(Json{{field::kError, reason}});
}

std::optional<TaskId> parse_task_id(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_job_id(text.substr(0, slash))) return std::nullopt;
  const auto index = parse_number<std::uint32_t>(text.substr(slash + 1));
  if (!index) return std::nullopt;
  return TaskId{JobId(std::string(text.substr(0, slash))), *index};
}

std::string task_name(const TaskId& id) {
  return id.job.value() + '/' + std::to_string(id.index);
}

}  // namespace beaconsill::protocol
