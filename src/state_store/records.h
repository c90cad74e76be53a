// The service's records in the state store, one writer for each key, and their JSON forms.
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

// How a job ended. Written once and never changed.
struct TerminalRecord {
  TerminalState state = TerminalState::kDone;
  std::uint32_t done = 0;  // tasks that had completed, for display
  // When the job was seen to be done; none: not known (format version 0 doesn't record it).
  std::optional<WallMs> completed_at;
};

// Tasks that the leader gave to a shard. A task is in at most one chunk of its job.
struct Chunk {
  Generation generation;
  ShardId shard;
  Term term;  // of the shard, as the leader knew it: to a shard leader of a higher term it's an earlier grant
  Ranges tasks;
  std::optional<Zone>
      zone;              // the only zone for these tasks (jobs that keep to one zone or spread over zones)
  bool preempt = false;  // capacity for them is to be made by preempting work of lower priority
  Attempt gang_attempt;  // gangs: the attempt number shared by all tasks
  // That of a job which depends on this one, if it's higher than its own.
  std::optional<Priority> priority;
  bool operator==(const Chunk&) const = default;
};

// What the leader has granted of a job.
struct Grants {
  std::vector<Chunk> chunks;
  Generation last;      // highest generation ever used for the job
  bool revoke = false;  // gangs: all tasks are to be stopped and released, so that it can start anew
};

// The same form as in messages between controllers, which report it ahead of the record.
using protocol::ReleasedTasks;

// What a shard has recorded of the tasks granted to it.
struct Progress {
  Ranges done;
  std::vector<ReleasedTasks> released;
  bool operator==(const Progress&) const = default;
};

// Who leads: the cluster, or a shard.
struct Role {
  ControllerName controller;
  Term term;
  // The lowest format version that can read the value. A lower one takes the key for missing; since its
  // attempts to acquire the role are conditional on the version of what it read, it never does. It never
  // falls: whoever writes the role next keeps it.
  std::uint32_t min_reader_version = 0;
};

// A machine that may run tasks of a shard.
struct MachineRecord {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  std::string address;       // a successor calls the agent there rather than wait for its next heartbeat
  bool quarantined = false;  // a successor would have to find out anew, at the cost of many tasks
  bool operator==(const MachineRecord&) const = default;
};

// A job as it was submitted.
struct JobRecord {
  std::shared_ptr<const protocol::JobSpec> spec;
  WallMs submitted;
  // How many further keys hold the dependencies of the job; 0: the record itself holds them.
  std::uint32_t dependency_keys = 0;
};

// The value of one of these keys. All of them are written before the record that has their number, and count
// for nothing without it.
struct DependencySegment {
  std::vector<JobId> depends_on;
  WallMs written;
};

// The format version of the records that a controller can read and write. 0: before dependencies. Raised with
// every record or field that an earlier version would misread; see docs/upgrade.md.
constexpr std::uint32_t kFormatVersion = 2;
constexpr std::uint32_t kDependenciesSince = 1;
// Registries of any number of keys, and job records whose dependencies go on in further keys.
constexpr std::uint32_t kUnboundedKeysSince = 2;
// The highest format version that each controller has ever advertised.
using Versions = std::map<ControllerName, std::uint32_t>;

// The JSON forms. The parsers throw protocol::ProtocolError.
protocol::Json to_json(const JobRecord& record);
protocol::Json to_json(const DependencySegment& segment);
protocol::Json to_json(const TerminalRecord& record);
protocol::Json to_json(const Grants& grants);
protocol::Json to_json(const Progress& progress);
protocol::Json to_json(const Role& role);
protocol::Json to_json(const std::vector<MachineRecord>& machines);
protocol::Json to_json(const Versions& versions);
// The value of this controller's liveness record: it advertises the program's format version.
protocol::Json alive_value();
JobRecord parse_job_record(const protocol::Json& json);
DependencySegment parse_dependency_segment(const protocol::Json& json);
TerminalRecord parse_terminal_record(const protocol::Json& json);
Grants parse_grants(const protocol::Json& json);
Progress parse_progress(const protocol::Json& json);
Role parse_role(const protocol::Json& json);
std::vector<MachineRecord> parse_machines(const protocol::Json& json);
Versions parse_versions(const protocol::Json& json);
// The format version that a liveness record advertises.
std::uint32_t parse_alive(const protocol::Json& json);

}  // namespace beaconsill::state_store
