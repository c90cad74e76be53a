// What the service keeps in the state store: the keys, one writer each, and the forms of their values.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ranges.h"
#include "protocol/api.h"
#include "protocol/peer.h"

namespace beaconsill::state_store {

constexpr std::string_view kPrefix = "beaconsill/";

enum class TerminalState { kDone, kCancelled };
struct TerminalRecord {
  TerminalState end = TerminalState::kDone;
  std::uint32_t done = 0;  // tasks that had completed, for display
  // When a job that is done was seen to be; 0: not known (versions before pipelines don't say).
  WallMs at{};
};

// Tasks that the leader gave to a shard. A task is in at most one chunk of its job.
struct Chunk {
  Generation generation;
  ShardId shard;
  Term term;  // of the shard, as the leader knew it: to an owner of a higher term this is an earlier grant
  Ranges tasks;
  std::optional<Zone> zone;  // the only zone for these tasks (jobs that set together or scatter)
  bool preempt = false;      // room for them is to be made by stopping work of lower priority
  Attempt gang_attempt;      // gangs: the attempt number shared by all tasks
  // That of a job which needs this one, if it's higher than its own.
  std::optional<Priority> priority;
  bool operator==(const Chunk&) const = default;
};
struct Grants {
  std::vector<Chunk> chunks;
  Generation last;      // highest generation ever used for the job
  bool revoke = false;  // gangs: all tasks are to be stopped and given back, so that it can start anew
};
using protocol::ReleasedTasks;
struct Progress {
  Ranges done;
  std::vector<ReleasedTasks> released;
  bool operator==(const Progress&) const = default;
};
struct Role {
  ControllerName controller;
  Term term;
  // The lowest format version that can read the value. A lower one takes the key for missing; since its
  // claims are conditional on the version of what it read, it never takes this role. It never falls: whoever
  // writes the role next keeps it.
  std::uint32_t readable_since = 0;
};
struct MachineRecord {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  std::string address;       // a successor calls on the worker there rather than wait for its next report
  bool quarantined = false;  // set aside: a successor would have to find out anew, at the cost of many tasks
  bool operator==(const MachineRecord&) const = default;
};
struct JobRecord {
  std::shared_ptr<const protocol::JobSpec> spec;
  WallMs submitted;
  // Further keys (`awaits/`) that hold the jobs which this one awaits, instead of the record itself.
  std::uint32_t dependency_keys = 0;
};
// One of these keys. All of them are written before the record that names their number, and count for nothing
// without it.
struct DependencyPiece {
  std::vector<JobId> depends_on;
  WallMs written;
};

// What records a controller can read and write. 0: before pipelines (`awaits`). Raised with every record or
// field that an earlier version would misread; see docs/upgrade.md.
constexpr std::uint32_t kFormatVersion = 2;
constexpr std::uint32_t kPipelinesSince = 1;
// Registries of any number of keys, and job records whose list of awaited jobs goes on in further keys.
constexpr std::uint32_t kUnboundedKeysSince = 2;
// The highest version that each controller has ever shown.
using Versions = std::map<ControllerName, std::uint32_t>;

// Keys.
std::string job_key(const JobId& id);
std::string terminal_key(const JobId& id);
std::string dependency_key(const JobId& id, std::uint32_t piece);
std::string grants_key(const JobId& id);
std::string progress_key(ShardId shard, const JobId& id);
std::string machines_key(ShardId shard, std::uint32_t bucket);
std::string shard_role_key(ShardId shard);
std::string leader_role_key();
std::string alive_key(const ControllerName& controller);
std::string versions_key();

// The machines of a shard are spread over buckets by their names. A bucket that outgrows one value goes on in
// further keys: piece K of bucket B is the key B + K * kMachineBuckets, for any K that the format version
// which all controllers know allows.
constexpr std::uint32_t kMachineBuckets = 16;
std::uint32_t machine_bucket(const MachineName& name);
// How many pieces of a bucket a controller of this version reads.
std::uint32_t readable_pieces(std::uint32_t version);
// The lowest version that reads this key of a registry.
std::uint32_t registry_key_since(std::uint32_t key);

// Values. The parsers throw wire::ProtocolError.
protocol::Json to_json(const JobRecord& r);
protocol::Json to_json(const DependencyPiece& p);
protocol::Json to_json(const TerminalRecord& e);
protocol::Json to_json(const Grants& g);
protocol::Json to_json(const Progress& p);
protocol::Json to_json(const Role& r);
protocol::Json to_json(const std::vector<MachineRecord>& m);
protocol::Json to_json(const Versions& v);
// The value of alive/NODE: this program's version.
protocol::Json alive_value();
JobRecord parse_job_record(const protocol::Json& j);
DependencyPiece parse_dependency_piece(const protocol::Json& j);
TerminalRecord parse_terminal_record(const protocol::Json& j);
Grants parse_grants(const protocol::Json& j);
Progress parse_progress(const protocol::Json& j);
Role parse_role(const protocol::Json& j);
std::vector<MachineRecord> parse_machines(const protocol::Json& j);
Versions parse_versions(const protocol::Json& j);
std::uint32_t parse_alive(const protocol::Json& j);

}  // namespace beaconsill::state_store
