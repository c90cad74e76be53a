// Defines the service's records in the state store and their JSON forms. Each key has a single writer at a
// time.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ranges.h"
#include "protocol/api.h"
#include "protocol/state_store.h"
#include "protocol/task_records.h"
#include "state_store/record_keys.h"

namespace beaconsill::state_store {

enum class TerminalState { kDone, kCancelled };

// The final state of a job. Written once and never changed.
struct TerminalRecord {
  TerminalState state = TerminalState::kDone;
  std::uint32_t done = 0;  // number of tasks that had completed, for display only
  // When the completion of the job was detected; std::nullopt if unknown (format version 0 has no
  // such field).
  std::optional<WallMs> completed_at;
};

// Tasks that the leader granted to a shard. A task is in at most one chunk of its job.
struct Chunk {
  Generation generation;
  ShardId shard;
  // Term of the shard as the leader knew it. A shard leader with a higher term treats the chunk as a grant
  // made before its own term.
  Term term;
  Ranges tasks;
  // The only zone in which these tasks may run, for jobs that must stay in one zone or spread over zones.
  std::optional<Zone> zone;
  bool preempt = false;  // whether tasks of lower priority are to be preempted to make room for these
  Attempt gang_attempt;  // for gangs: the attempt number that all tasks share
  // Priority inherited from a job that depends on this one, if it is higher than the job's own priority.
  std::optional<Priority> priority;
  bool operator==(const Chunk&) const = default;
};

// The tasks of a job that the leader has granted to shards.
struct Grants {
  std::vector<Chunk> chunks;
  Generation last;      // highest generation ever used for the job
  bool revoke = false;  // for gangs: stop and release all tasks so that the gang can be started again
};

// Shared with the messages between controllers, which report released tasks before they are recorded.
using protocol::ReleasedTasks;

// The progress that a shard has recorded for the tasks of a job granted to it.
struct Progress {
  Ranges done;
  std::vector<ReleasedTasks> released;
  bool operator==(const Progress&) const = default;
};

// The controller that leads the cluster or a shard.
struct Role {
  ControllerName controller;
  Term term;
  // The lowest format version that can read the value. A controller of a lower version treats the key as
  // missing. Its attempts to acquire the role are conditional on the revision that it read, so they always
  // fail. This version never decreases: each later write of the role preserves or raises it.
  std::uint32_t min_reader_version = 0;
};

// A machine that may run tasks of a shard.
struct MachineRecord {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  // Address of the machine's agent, or empty. The next leader of the shard connects to it instead of waiting
  // for the machine's next heartbeat.
  std::string address;
  // Recorded because the next leader of the shard would otherwise detect the faulty machine only after many
  // tasks had failed on it.
  bool quarantined = false;
  bool operator==(const MachineRecord&) const = default;
};

// A job as the user submitted it.
struct JobRecord {
  std::shared_ptr<const protocol::JobSpec> spec;
  WallMs submitted;
  // Number of additional keys that contain the dependencies of the job; 0 if the record itself contains them.
  std::uint32_t dependency_keys = 0;
};

// The value of one additional key with dependencies of a job. All of these keys are written before the job
// record that states their number, and are ignored without it.
struct DependencySegment {
  std::vector<JobId> depends_on;
  WallMs written;
};

// The highest format version of the records that this program can read and write. Version 0 doesn't support
// dependencies between jobs. Must be incremented with every new record or field that an earlier version would
// misread; see docs/upgrade.md.
constexpr std::uint32_t kFormatVersion = 2;
// The lowest format version that supports dependencies between jobs.
constexpr std::uint32_t kDependenciesMinVersion = 1;
// The lowest format version that supports any number of keys per registry, and job records whose dependencies
// are in additional keys.
constexpr std::uint32_t kUnboundedKeysMinVersion = 2;
// The highest format version that each controller has ever advertised.
using Versions = std::map<ControllerName, std::uint32_t>;

// Conversions to and from JSON. The parsers throw protocol::ProtocolError for malformed values.
protocol::Json to_json(const JobRecord& record);
protocol::Json to_json(const DependencySegment& segment);
protocol::Json to_json(const TerminalRecord& record);
protocol::Json to_json(const Grants& grants);
protocol::Json to_json(const Progress& progress);
protocol::Json to_json(const Role& role);
protocol::Json to_json(const std::vector<MachineRecord>& machines);
protocol::Json to_json(const Versions& versions);
// Returns the value of this controller's liveness record, which advertises kFormatVersion.
protocol::Json alive_value();
JobRecord parse_job_record(const protocol::Json& json);
DependencySegment parse_dependency_segment(const protocol::Json& json);
TerminalRecord parse_terminal_record(const protocol::Json& json);
Grants parse_grants(const protocol::Json& json);
Progress parse_progress(const protocol::Json& json);
Role parse_role(const protocol::Json& json);
std::vector<MachineRecord> parse_machines(const protocol::Json& json);
Versions parse_versions(const protocol::Json& json);
// Returns the format version that a liveness record advertises, 0 if it names none.
std::uint32_t parse_alive(const protocol::Json& json);

}  // namespace beaconsill::state_store
