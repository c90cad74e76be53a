// What the service keeps in the state service: the keys, one writer each, and the forms of their values.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ranges.h"
#include "wire/api.h"
#include "wire/peer.h"

namespace beaconsill::store {

constexpr std::string_view kPrefix = "beaconsill/";

enum class End { kDone, kCancelled };
struct Ending {
  End end = End::kDone;
  std::uint32_t done = 0;  // tasks that had completed, for display
  // When a job that is done was seen to be; 0: not known (versions before pipelines don't say).
  WallMs at{};
};

// Tasks that the leader gave to a part. A task is in at most one chunk of its job.
struct Chunk {
  Generation generation;
  PartId part;
  Term term;  // of the part, as the leader knew it: to an owner of a higher term this is an earlier grant
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
  bool recall = false;  // gangs: all tasks are to be stopped and given back, so that it can start anew
};
using wire::Returned;
struct Progress {
  Ranges done;
  std::vector<Returned> returned;
  bool operator==(const Progress&) const = default;
};
struct Role {
  NodeName node;
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
  std::string address;  // a successor calls on the worker there rather than wait for its next report
  bool sick = false;    // set aside: a successor would have to find out anew, at the cost of many tasks
  bool operator==(const MachineRecord&) const = default;
};
struct JobRecord {
  std::shared_ptr<const wire::JobSpec> spec;
  WallMs submitted;
  // Further keys (`awaits/`) that hold the jobs which this one awaits, instead of the record itself.
  std::uint32_t awaits_keys = 0;
};
// One of these keys. All of them are written before the record that names their number, and count for nothing
// without it.
struct AwaitsPiece {
  std::vector<JobId> awaits;
  WallMs written;
};

// What records a controller can read and write. 0: before pipelines (`awaits`). Raised with every record or
// field that an earlier version would misread; see docs/upgrade.md.
constexpr std::uint32_t kFormatVersion = 2;
constexpr std::uint32_t kPipelinesSince = 1;
// Registries of any number of keys, and job records whose list of awaited jobs goes on in further keys.
constexpr std::uint32_t kUnboundedKeysSince = 2;
// The highest version that each controller has ever shown.
using Versions = std::map<NodeName, std::uint32_t>;

// Keys.
std::string job_key(const JobId& id);
std::string end_key(const JobId& id);
std::string awaits_key(const JobId& id, std::uint32_t piece);
std::string grants_key(const JobId& id);
std::string progress_key(PartId part, const JobId& id);
std::string machines_key(PartId part, std::uint32_t bucket);
std::string part_role_key(PartId part);
std::string leader_role_key();
std::string alive_key(const NodeName& node);
std::string versions_key();

// The machines of a part are spread over buckets by their names. A bucket that outgrows one value goes on in
// further keys: piece K of bucket B is the key B + K * kMachineBuckets, for any K that the format version
// which all controllers know allows.
constexpr std::uint32_t kMachineBuckets = 16;
std::uint32_t machine_bucket(const MachineName& name);
// How many pieces of a bucket a controller of this version reads.
std::uint32_t readable_pieces(std::uint32_t version);
// The lowest version that reads this key of a registry.
std::uint32_t registry_key_since(std::uint32_t key);

// Values. The parsers throw wire::WireError.
wire::Json to_json(const JobRecord& r);
wire::Json to_json(const AwaitsPiece& p);
wire::Json to_json(const Ending& e);
wire::Json to_json(const Grants& g);
wire::Json to_json(const Progress& p);
wire::Json to_json(const Role& r);
wire::Json to_json(const std::vector<MachineRecord>& m);
wire::Json to_json(const Versions& v);
// The value of alive/NODE: this program's version.
wire::Json alive_value();
JobRecord parse_job_record(const wire::Json& j);
AwaitsPiece parse_awaits_piece(const wire::Json& j);
Ending parse_ending(const wire::Json& j);
Grants parse_grants(const wire::Json& j);
Progress parse_progress(const wire::Json& j);
Role parse_role(const wire::Json& j);
std::vector<MachineRecord> parse_machines(const wire::Json& j);
Versions parse_versions(const wire::Json& j);
std::uint32_t parse_alive(const wire::Json& j);

}  // namespace beaconsill::store
