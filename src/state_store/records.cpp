#include "state_store/records.h"

#include <algorithm>
#include <array>

namespace beaconsill::state_store {
namespace {

using protocol::Json;
using protocol::ProtocolError;

Ranges parse_ranges(const Json& j, const char* field) {
  const Json& f = protocol::need(j, field);
  if (!f.is_string()) throw ProtocolError(std::string(field) + " is not a string");
  auto r = Ranges::parse(f.get_ref<const std::string&>());
  if (!r) throw ProtocolError(std::string(field) + " is not a set of ranges");
  return *r;
}

const Json& need_list(const Json& j, const char* field) {
  const Json& f = protocol::need(j, field);
  if (!f.is_array()) throw ProtocolError(std::string(field) + " is not a list");
  return f;
}

WallMs parse_wall(const Json& j, const char* field) {
  const Json& f = protocol::need(j, field);
  if (!f.is_number_integer()) throw ProtocolError(std::string(field) + " is not an integer");
  return WallMs(f.get<std::int64_t>());
}

Priority parse_priority(std::uint64_t number) {
  if (number >= kPriorities) throw ProtocolError("a priority is out of range");
  return static_cast<Priority>(number);
}

std::string key(std::string_view kind, std::string_view name) {
  return std::string(kPrefix) + std::string(kind) + '/' + std::string(name);
}

}  // namespace

std::string job_key(const JobId& id) {
  return key("jobs", id.value());
}
std::string terminal_key(const JobId& id) {
  return key("ends", id.value());
}
std::string dependency_key(const JobId& id, std::uint32_t piece) {
  return key("awaits", id.value() + '/' + std::to_string(piece));
}
std::string grants_key(const JobId& id) {
  return key("grants", id.value());
}
std::string progress_key(ShardId shard, const JobId& id) {
  return key("progress", std::to_string(shard.value()) + '/' + id.value());
}
std::string machines_key(ShardId shard, std::uint32_t bucket) {
  return key("machines", std::to_string(shard.value()) + '/' + std::to_string(bucket));
}
std::string shard_role_key(ShardId shard) {
  return key("roles", "part/" + std::to_string(shard.value()));
}
std::string leader_role_key() {
  return key("roles", "leader");
}
std::string alive_key(const ControllerName& controller) {
  return key("alive", controller.value());
}

std::string versions_key() {
  return std::string(kPrefix) + "versions";
}

std::uint32_t machine_bucket(const MachineName& name) {
  return static_cast<std::uint32_t>(stable_hash(name.value()) >> 32) % kMachineBuckets;
}

namespace {
// Pieces of a bucket that a version reads, by its number; the last holds for all later ones.
constexpr std::array<std::uint32_t, 3> kPiecesByVersion{1, 4, UINT32_MAX / kMachineBuckets};
// The field that names the holder of a role, by the lowest version that is to read it.
constexpr std::array<const char*, 3> kHolderFields{"node", "holder", "owner"};
}  // namespace

std::uint32_t readable_pieces(std::uint32_t version) {
  return kPiecesByVersion[std::min<std::size_t>(version, kPiecesByVersion.size() - 1)];
}

std::uint32_t registry_key_since(std::uint32_t key) {
  std::uint32_t version = 0;
  while (key / kMachineBuckets >= readable_pieces(version)) ++version;
  return version;
}

Json to_json(const JobRecord& r) {
  Json j{{"job", protocol::job_to_json(*r.spec)}, {"at", r.submitted.value()}};
  if (r.dependency_keys == 0) return j;
  j["job"].erase("awaits");
  j["awaitsKeys"] = r.dependency_keys;
  return j;
}

JobRecord parse_job_record(const Json& j) {
  auto keys = protocol::find(j, "awaitsKeys") ? protocol::get_count(j, "awaitsKeys") : 0;
  return {std::make_shared<const protocol::JobSpec>(protocol::parse_job(protocol::need(j, "job"))),
          parse_wall(j, "at"), static_cast<std::uint32_t>(keys)};
}

Json to_json(const DependencyPiece& p) {
  return {{"awaits", protocol::job_ids_to_json(p.depends_on)}, {"at", p.written.value()}};
}

DependencyPiece parse_dependency_piece(const Json& j) {
  return {protocol::parse_job_ids(protocol::need(j, "awaits")), parse_wall(j, "at")};
}

Json to_json(const TerminalRecord& e) {
  Json j{{"end", e.end == TerminalState::kDone ? "done" : "cancelled"}, {"done", e.done}};
  if (e.at.value() > 0) j["at"] = e.at.value();
  return j;
}

TerminalRecord parse_terminal_record(const Json& j) {
  auto s = protocol::get_string(j, "end");
  auto done = static_cast<std::uint32_t>(protocol::get_count(j, "done"));
  WallMs at;
  if (const Json* f = protocol::find(j, "at"); f && f->is_number_integer())
    at = WallMs(f->get<std::int64_t>());
  if (s == "done") return {TerminalState::kDone, done, at};
  if (s == "cancelled") return {TerminalState::kCancelled, done, at};
  throw ProtocolError("end is unknown");
}

Json to_json(const Grants& g) {
  Json chunks = Json::array();
  for (const auto& c : g.chunks) {
    Json e{{"g", c.generation.value()}, {"p", c.shard.value()}, {"t", c.term.value()}, {"r", c.tasks.str()}};
    if (c.zone) e["z"] = c.zone->value();
    if (c.preempt) e["x"] = true;
    if (c.gang_attempt.value()) e["a"] = c.gang_attempt.value();
    if (c.priority) e["q"] = static_cast<std::size_t>(*c.priority);
    chunks.push_back(std::move(e));
  }
  Json j{{"last", g.last.value()}, {"chunks", std::move(chunks)}};
  if (g.revoke) j["recall"] = true;
  return j;
}

Grants parse_grants(const Json& j) {
  Grants g;
  g.last = Generation(protocol::get_count(j, "last"));
  g.revoke = protocol::get_bool_or(j, "recall", false);
  for (const Json& e : need_list(j, "chunks")) {
    Chunk c;
    c.generation = Generation(protocol::get_count(e, "g"));
    c.shard = ShardId(static_cast<std::uint32_t>(protocol::get_count(e, "p")));
    c.term = Term(protocol::get_count(e, "t"));
    c.tasks = parse_ranges(e, "r");
    if (protocol::find(e, "z")) c.zone = Zone(protocol::get_string(e, "z"));
    c.preempt = protocol::get_bool_or(e, "x", false);
    if (protocol::find(e, "a")) c.gang_attempt = Attempt(protocol::get_count(e, "a"));
    if (protocol::find(e, "q")) c.priority = parse_priority(protocol::get_count(e, "q"));
    g.chunks.push_back(std::move(c));
  }
  return g;
}

Json to_json(const Progress& p) {
  Json released = Json::array();
  for (const auto& r : p.released) released.push_back({{"g", r.generation.value()}, {"r", r.tasks.str()}});
  return {{"done", p.done.str()}, {"returned", std::move(released)}};
}

Progress parse_progress(const Json& j) {
  Progress p;
  p.done = parse_ranges(j, "done");
  for (const Json& e : need_list(j, "returned"))
    p.released.push_back({Generation(protocol::get_count(e, "g")), parse_ranges(e, "r")});
  return p;
}

Json to_json(const Role& r) {
  auto since = std::min<std::size_t>(r.readable_since, kHolderFields.size() - 1);
  return {{kHolderFields[since], r.controller.value()}, {"term", r.term.value()}};
}

Role parse_role(const Json& j) {
  std::uint32_t since = kHolderFields.size() - 1;
  while (since > 0 && !protocol::find(j, kHolderFields[since])) --since;
  return {ControllerName(protocol::get_string(j, kHolderFields[since])), Term(protocol::get_count(j, "term")),
          since};
}

Json to_json(const Versions& versions) {
  Json shown = Json::object();
  for (const auto& [controller, version] : versions) shown[controller.value()] = version;
  return {{"shown", std::move(shown)}};
}

Versions parse_versions(const Json& j) {
  const Json& shown = protocol::need(j, "shown");
  if (!shown.is_object()) throw ProtocolError("shown is not an object");
  Versions versions;
  for (const auto& [controller, version] : shown.items()) {
    if (!version.is_number_unsigned()) throw ProtocolError("a version is not a non-negative integer");
    versions[ControllerName(controller)] = version.get<std::uint32_t>();
  }
  return versions;
}

Json alive_value() {
  return {{"up", true}, {"version", kFormatVersion}};
}

std::uint32_t parse_alive(const Json& j) {
  return protocol::find(j, "version") ? static_cast<std::uint32_t>(protocol::get_count(j, "version")) : 0;
}

Json to_json(const std::vector<MachineRecord>& machines) {
  Json list = Json::array();
  for (const auto& m : machines) {
    Json e{{"n", m.name.value()}, {"t", m.type.value()}, {"z", m.zone.value()}, {"s", m.spot}};
    if (!m.address.empty()) e["a"] = m.address;
    if (m.quarantined) e["k"] = true;
    list.push_back(std::move(e));
  }
  return {{"machines", std::move(list)}};
}

std::vector<MachineRecord> parse_machines(const Json& j) {
  std::vector<MachineRecord> v;
  for (const Json& e : need_list(j, "machines"))
    v.push_back({MachineName(protocol::get_string(e, "n")), MachineType(protocol::get_string(e, "t")),
                 Zone(protocol::get_string(e, "z")), protocol::get_bool(e, "s"),
                 protocol::find(e, "a") ? protocol::get_string(e, "a") : std::string(),
                 protocol::get_bool_or(e, "k", false)});
  return v;
}

}  // namespace beaconsill::state_store
