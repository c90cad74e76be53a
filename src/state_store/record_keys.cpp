#include "state_store/record_keys.h"

#include <algorithm>
#include <array>

#include "base/parse_number.h"

namespace beaconsill::state_store {
namespace {

// Possible first components of a key after the prefix.
constexpr std::string_view kJobs = "jobs";
constexpr std::string_view kTerminalRecords = "ends";
constexpr std::string_view kDependencies = "awaits";
constexpr std::string_view kGrants = "grants";
constexpr std::string_view kProgress = "progress";
constexpr std::string_view kMachines = "machines";
constexpr std::string_view kRoles = "roles";
constexpr std::string_view kAlive = "alive";
constexpr std::string_view kVersions = "versions";
// Possible second components of the keys of roles.
constexpr std::string_view kLeader = "leader";
constexpr std::string_view kShard = "part";

// How many segments of a bucket each format version reads, indexed by the version. Later versions read as
// many as the last one listed.
constexpr std::array<std::uint32_t, 3> kReadableSegmentsByVersion{1, 4, UINT32_MAX / kMachineBuckets};

std::string make_key(std::string_view kind, std::string_view name) {
  return std::string(kKeyPrefix) + std::string(kind) + '/' + std::string(name);
}

std::string append_number(std::string_view name, std::uint32_t number) {
  return std::string(name) + '/' + std::to_string(number);
}

// The parts of a path before and after its first slash: "a/b/c" has the head "a" and the tail "b/c".
struct SplitPath {
  std::string_view head;
  std::string_view tail;
};

SplitPath split_at_first_slash(std::string_view path) {
  auto slash = path.find('/');
  if (slash == std::string_view::npos) return {path, {}};
  return {path.substr(0, slash), path.substr(slash + 1)};
}

std::optional<RecordKey> parse_dependency_key(std::string_view path) {
  const auto [job, segment] = split_at_first_slash(path);
  const auto number = parse_number<std::uint32_t>(segment);
  if (!number) return std::nullopt;
  return RecordKey{RecordKind::kDependencies, std::string(job), {}, *number};
}

std::optional<RecordKey> parse_progress_key(std::string_view path) {
  const auto [shard, job] = split_at_first_slash(path);
  const auto number = parse_number<std::uint32_t>(shard);
  if (!number) return std::nullopt;
  return RecordKey{RecordKind::kProgress, std::string(job), ShardId(*number)};
}

std::optional<RecordKey> parse_machines_key(std::string_view path) {
  const auto [shard, registry_key] = split_at_first_slash(path);
  const auto shard_number = parse_number<std::uint32_t>(shard);
  const auto number = parse_number<std::uint32_t>(registry_key);
  if (!shard_number || !number) return std::nullopt;
  return RecordKey{RecordKind::kMachines, {}, ShardId(*shard_number), *number};
}

std::optional<RecordKey> parse_role_key(std::string_view path) {
  const auto [role, name] = split_at_first_slash(path);
  if (role == kLeader) return RecordKey{RecordKind::kLeaderRole};
  const auto shard = parse_number<std::uint32_t>(name);
  if (role != kShard || !shard) return std::nullopt;
  return RecordKey{RecordKind::kShardRole, {}, ShardId(*shard)};
}

}  // namespace

std::string job_key(const JobId& id) {
  return make_key(kJobs, id.value());
}

std::string terminal_key(const JobId& id) {
  return make_key(kTerminalRecords, id.value());
}

std::string dependency_key(const JobId& id, std::uint32_t segment) {
  return make_key(kDependencies, append_number(id.value(), segment));
}

std::string grants_key(const JobId& id) {
  return make_key(kGrants, id.value());
}

std::string progress_key(ShardId shard, const JobId& id) {
  return make_key(kProgress, std::to_string(shard.value()) + '/' + id.value());
}

std::string machines_key(ShardId shard, std::uint32_t number) {
  return make_key(kMachines, append_number(std::to_string(shard.value()), number));
}

std::string shard_role_key(ShardId shard) {
  return make_key(kRoles, append_number(kShard, shard.value()));
}

std::string leader_role_key() {
  return make_key(kRoles, kLeader);
}

std::string alive_key(const ControllerName& controller) {
  return make_key(kAlive, controller.value());
}

std::string versions_key() {
  return std::string(kKeyPrefix) + std::string(kVersions);
}

std::optional<RecordKey> parse_key(std::string_view key) {
  if (!key.starts_with(kKeyPrefix)) return std::nullopt;
  const auto [kind, path] = split_at_first_slash(key.substr(kKeyPrefix.size()));
  if (kind == kJobs) return RecordKey{RecordKind::kJob, std::string(path)};
  if (kind == kGrants) return RecordKey{RecordKind::kGrants, std::string(path)};
  if (kind == kTerminalRecords) return RecordKey{RecordKind::kTerminal, std::string(path)};
  if (kind == kAlive) return RecordKey{RecordKind::kAlive, std::string(path)};
  if (kind == kVersions) return RecordKey{RecordKind::kVersions};
  if (kind == kProgress) return parse_progress_key(path);
  if (kind == kDependencies) return parse_dependency_key(path);
  if (kind == kRoles) return parse_role_key(path);
  if (kind == kMachines) return parse_machines_key(path);
  return std::nullopt;
}

std::uint32_t machine_bucket(const MachineName& name) {
  return static_cast<std::uint32_t>(stable_hash(name.value()) >> 32) % kMachineBuckets;
}

std::uint32_t readable_segments(std::uint32_t version) {
  return kReadableSegmentsByVersion[std::min<std::size_t>(version, kReadableSegmentsByVersion.size() - 1)];
}

std::uint32_t registry_key_min_version(std::uint32_t number) {
  std::uint32_t version = 0;
  while (number / kMachineBuckets >= readable_segments(version)) ++version;
  return version;
}

}  // namespace beaconsill::state_store
