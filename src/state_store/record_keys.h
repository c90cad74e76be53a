// Builds and parses the keys of records in the state store, and assigns machines to registry keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"

namespace beaconsill::state_store {

// The common prefix of all keys of the service.
constexpr std::string_view kKeyPrefix = "beaconsill/";

std::string job_key(const JobId& id);
std::string terminal_key(const JobId& id);
// The key of an additional segment of a job's dependencies. Segments are numbered from 0.
std::string dependency_key(const JobId& id, std::uint32_t segment);
std::string grants_key(const JobId& id);
std::string progress_key(ShardId shard, const JobId& id);
// The key with this number in a shard's machine registry, see kMachineBuckets.
std::string machines_key(ShardId shard, std::uint32_t number);
std::string shard_role_key(ShardId shard);
std::string leader_role_key();
// The key of a controller's liveness record.
std::string alive_key(const ControllerName& controller);
std::string versions_key();

enum class RecordKind {
  kJob,
  kTerminal,
  kDependencies,
  kGrants,
  kProgress,
  kMachines,
  kShardRole,
  kLeaderRole,
  kAlive,
  kVersions
};

// The components of a key. Those that the kind of record doesn't use have their default values.
struct RecordKey {
  RecordKind kind = RecordKind::kJob;
  std::string name;          // the job's ID, or for liveness records the controller's name
  ShardId shard;             // for progress, machines and a shard's role
  std::uint32_t number = 0;  // the segment of the dependencies, or the number of the registry key
};

// Returns std::nullopt if the key doesn't belong to one of the service's records.
std::optional<RecordKey> parse_key(std::string_view key);

// The machines of a shard are distributed over this many buckets by a hash of their names. A bucket that
// exceeds the size limit of a value is continued in further segments: segment K of bucket B has the registry
// key number B + K * kMachineBuckets. The highest format version that all controllers support limits K.
constexpr std::uint32_t kMachineBuckets = 16;
// Returns the bucket of the machine.
std::uint32_t machine_bucket(const MachineName& name);
// Returns how many segments of a bucket a controller of this format version reads.
std::uint32_t readable_segments(std::uint32_t version);
// Returns the lowest format version that reads the registry key with this number.
std::uint32_t registry_key_min_version(std::uint32_t number);

}  // namespace beaconsill::state_store
