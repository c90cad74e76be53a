#include "state_store/records.h"

#include <algorithm>
#include <array>
#include <utility>

#include "protocol/field_names.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;
using protocol::ProtocolError;

// The field that names the controller of a role, indexed by the lowest format version that must be able to
// read the role.
constexpr std::array<const char*, 3> kControllerFields{"node", "holder", "owner"};

Ranges parse_ranges(const Json& json, const char* field) {
  const Json& text = protocol::required_field(json, field);
  if (!text.is_string()) throw protocol::field_error(field, "is not a string");
  auto ranges = Ranges::parse(text.get_ref<const std::string&>());
  if (!ranges) throw protocol::field_error(field, "is not a list of ranges such as 0-9,12");
  return *ranges;
}

WallMs parse_wall_time(const Json& json, const char* field) {
  const Json& number = protocol::required_field(json, field);
  if (!number.is_number_integer()) throw protocol::field_error(field, "is not an integer");
  return WallMs(number.get<std::int64_t>());
}

Priority parse_priority(std::uint64_t number) {
  if (number >= kPriorityCount)
    throw ProtocolError("q has the priority " + std::to_string(number) + ", which is not less than " +
                        std::to_string(kPriorityCount));
  return static_cast<Priority>(number);
}

}  // namespace

Json to_json(const JobRecord& record) {
  Json json{{"job", protocol::job_to_json(*record.spec)}, {"at", record.submitted.value()}};
  if (record.dependency_keys == 0) return json;
  json["job"].erase(protocol::field::kDependsOn);
  json["awaitsKeys"] = record.dependency_keys;
  return json;
}

JobRecord parse_job_record(const Json& json) {
  const auto keys = protocol::find_field(json, "awaitsKeys") ? protocol::get_count(json, "awaitsKeys") : 0;
  return {
      std::make_shared<const protocol::JobSpec>(protocol::parse_job(protocol::required_field(json, "job"))),
      parse_wall_time(json, "at"), static_cast<std::uint32_t>(keys)};
}

Json to_json(const DependencySegment& segment) {
  return {{"awaits", protocol::job_ids_to_json(segment.depends_on)}, {"at", segment.written.value()}};
}

DependencySegment parse_dependency_segment(const Json& json) {
  return {protocol::parse_job_ids(protocol::required_field(json, "awaits")), parse_wall_time(json, "at")};
}

Json to_json(const TerminalRecord& record) {
  Json json{{"end", record.state == TerminalState::kDone ? "done" : "cancelled"}, {"done", record.done}};
  if (record.completed_at > WallMs()) json["at"] = record.completed_at->value();
  return json;
}

TerminalRecord parse_terminal_record(const Json& json) {
  const auto state = protocol::get_string(json, "end");
  const auto done = static_cast<std::uint32_t>(protocol::get_count(json, "done"));
  std::optional<WallMs> completed_at;
  if (const Json* field = protocol::find_field(json, "at"); field && field->is_number_integer())
    completed_at = WallMs(field->get<std::int64_t>());
  if (completed_at <= WallMs()) completed_at.reset();
  if (state == "done") return {TerminalState::kDone, done, completed_at};
  if (state == "cancelled") return {TerminalState::kCancelled, done, completed_at};
  throw ProtocolError("end is neither done nor cancelled but " + state);
}

namespace {

Json chunk_to_json(const Chunk& chunk) {
  Json json{{"g", chunk.generation.value()},
            {"p", chunk.shard.value()},
            {"t", chunk.term.value()},
            {"r", chunk.tasks.str()}};
  if (chunk.zone) json["z"] = chunk.zone->value();
  if (chunk.preempt) json["x"] = true;
  if (chunk.gang_attempt.value()) json["a"] = chunk.gang_attempt.value();
  if (chunk.priority) json["q"] = static_cast<std::size_t>(*chunk.priority);
  return json;
}

Chunk parse_chunk(const Json& json) {
  Chunk chunk;
  chunk.generation = Generation(protocol::get_count(json, "g"));
  chunk.shard = ShardId(static_cast<std::uint32_t>(protocol::get_count(json, "p")));
  chunk.term = Term(protocol::get_count(json, "t"));
  chunk.tasks = parse_ranges(json, "r");
  if (protocol::find_field(json, "z")) chunk.zone = Zone(protocol::get_string(json, "z"));
  chunk.preempt = protocol::get_bool_or(json, "x", false);
  if (protocol::find_field(json, "a")) chunk.gang_attempt = Attempt(protocol::get_count(json, "a"));
  if (protocol::find_field(json, "q")) chunk.priority = parse_priority(protocol::get_count(json, "q"));
  return chunk;
}

}  // namespace

Json to_json(const Grants& grants) {
  Json chunks = Json::array();
  for (const auto& chunk : grants.chunks) chunks.push_back(chunk_to_json(chunk));
  Json json{{"last", grants.last.value()}, {"chunks", std::move(chunks)}};
  if (grants.revoke) json["recall"] = true;
  return json;
}

Grants parse_grants(const Json& json) {
  Grants grants;
  grants.last = Generation(protocol::get_count(json, "last"));
  grants.revoke = protocol::get_bool_or(json, "recall", false);
  for (const Json& chunk : protocol::get_list(json, "chunks")) grants.chunks.push_back(parse_chunk(chunk));
  return grants;
}

Json to_json(const Progress& progress) {
  Json released = Json::array();
  for (const auto& tasks : progress.released)
    released.push_back({{"g", tasks.generation.value()}, {"r", tasks.tasks.str()}});
  return {{"done", progress.done.str()}, {"returned", std::move(released)}};
}

Progress parse_progress(const Json& json) {
  Progress progress;
  progress.done = parse_ranges(json, "done");
  for (const Json& released : protocol::get_list(json, "returned"))
    progress.released.push_back(
        {Generation(protocol::get_count(released, "g")), parse_ranges(released, "r")});
  return progress;
}

Json to_json(const Role& role) {
  const auto version = std::min<std::size_t>(role.min_reader_version, kControllerFields.size() - 1);
  return {{kControllerFields[version], role.controller.value()}, {"term", role.term.value()}};
}

Role parse_role(const Json& json) {
  std::uint32_t version = kControllerFields.size() - 1;
  while (version > 0 && !protocol::find_field(json, kControllerFields[version])) --version;
  return {ControllerName(protocol::get_string(json, kControllerFields[version])),
          Term(protocol::get_count(json, "term")), version};
}

Json to_json(const Versions& versions) {
  Json advertised = Json::object();
  for (const auto& [controller, version] : versions) advertised[controller.value()] = version;
  return {{"shown", std::move(advertised)}};
}

Versions parse_versions(const Json& json) {
  const Json& advertised = protocol::required_field(json, "shown");
  if (!advertised.is_object()) throw ProtocolError("shown is not an object");
  Versions versions;
  for (const auto& [controller, version] : advertised.items()) {
    if (!version.is_number_unsigned())
      throw ProtocolError("the version of controller " + controller +
                          " in shown is not an integer of at least 0");
    versions[ControllerName(controller)] = version.get<std::uint32_t>();
  }
  return versions;
}

Json alive_value() {
  return {{"up", true}, {"version", kFormatVersion}};
}

std::uint32_t parse_alive(const Json& json) {
  if (!protocol::find_field(json, "version")) return 0;
  return static_cast<std::uint32_t>(protocol::get_count(json, "version"));
}

Json to_json(const std::vector<MachineRecord>& machines) {
  Json list = Json::array();
  for (const auto& machine : machines) {
    Json json{{"n", machine.name.value()},
              {"t", machine.type.value()},
              {"z", machine.zone.value()},
              {"s", machine.spot}};
    if (!machine.address.empty()) json["a"] = machine.address;
    if (machine.quarantined) json["k"] = true;
    list.push_back(std::move(json));
  }
  return {{"machines", std::move(list)}};
}

std::vector<MachineRecord> parse_machines(const Json& json) {
  std::vector<MachineRecord> machines;
  for (const Json& machine : protocol::get_list(json, "machines"))
    machines.push_back(
        {MachineName(protocol::get_string(machine, "n")), MachineType(protocol::get_string(machine, "t")),
         Zone(protocol::get_string(machine, "z")), protocol::get_bool(machine, "s"),
         protocol::find_field(machine, "a") ? protocol::get_string(machine, "a") : std::string(),
         protocol::get_bool_or(machine, "k", false)});
  return machines;
}

}  // namespace beaconsill::state_store
