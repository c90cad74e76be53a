// The keys of the service's records in the state store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"

namespace beaconsill::state_store {

// All keys of the service begin with it.
constexpr std::string_view kPrefix = "beaconsill/";

std::string job_key(const JobId& id);
std::string terminal_key(const JobId& id);
// One of the further keys that hold the dependencies of a job, by their number from 0 on.
std::string dependency_key(const JobId& id, std::uint32_t segment);
std::string grants_key(const JobId& id);
std::string progress_key(ShardId shard, const JobId& id);
// A key of a shard's machine registry by its number, see kMachineBuckets.
std::string machines_key(ShardId shard, std::uint32_t number);
std::string shard_role_key(ShardId shard);
std::string leader_role_key();
// The liveness record of a controller.
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

// A key taken apart.
struct RecordKey {
  RecordKind kind = RecordKind::kJob;
  std::string name;          // the job's id, or the controller's name of a liveness record
  ShardId shard;             // of progress, of machines and of a shard's role
  std::uint32_t number = 0;  // of a key of dependencies or machines
};

// None for a key that isn't one of the service's records.
std::optional<RecordKey> parse_key(std::string_view key);

// The machines of a shard are spread over buckets by their names. A bucket that outgrows one value goes on in
// further keys: segment K of bucket B is the key B + K * kMachineBuckets, for any K that the format version
// which all controllers know allows.
constexpr std::uint32_t kMachineBuckets = 16;
std::uint32_t machine_bucket(const MachineName& name);
// How many segments of a bucket a controller of this format version reads.
std::uint32_t readable_segments(std::uint32_t version);
// The lowest format version that reads this key of a registry.
std::uint32_t registry_key_since(std::uint32_t number);

}  // namespace beaconsill::state_store
