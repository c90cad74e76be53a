// What controllers say to each other: Cap'n Proto messages and their plain forms.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ranges.h"
#include "base/types.h"
#include "protocol/task_records.h"

namespace beaconsill::protocol {

struct ShardTerm {
  ShardId shard;
  Term term;
};
// What the receiver of a heartbeat may conclude about cancellations that its sender discloses to users; the
// fields are explained in peer.capnp.
struct CancellationSync {
  bool ready = false;
  Revision read_until;
  std::chrono::milliseconds read_lease{0};
  bool complete = false;
  std::vector<CancelledJob> cancelled;
};
struct Heartbeat {
  Revision acknowledged_until;
  std::vector<ShardTerm> terms;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0;
  bool state_ok = false;
  std::optional<CancellationSync> cancellation_sync;  // none: the sender is of a version without it
};
struct ChangeNotification {
  Revision revision;
};

// What an estimate is asked for: a task's needs and the machines it may use.
struct ResourceRequest {
  Resources each;
  std::optional<std::vector<MachineType>> types;
  std::optional<Zone> zone;
  bool spot = false;
  ImageName image;
  Priority priority = Priority::kNormal;
  std::uint32_t wanted = 0;
  bool operator==(const ResourceRequest&) const = default;
};
struct EstimateRequest {
  std::uint64_t round = 0;
  std::vector<ResourceRequest> resource_requests;
};
struct ZoneCapacity {
  Zone zone;
  std::uint32_t free = 0;
  std::uint32_t warm = 0;
  std::uint32_t preemptible = 0;
  std::uint32_t warm_preemptible = 0;
  bool operator==(const ZoneCapacity&) const = default;
};
using CapacityByZone = std::vector<ZoneCapacity>;
struct EstimateResponse {
  std::uint64_t round = 0;
  ShardId shard;
  Term term;
  Revision seen;
  std::vector<CapacityByZone> rooms;  // one for each shape asked for
};
struct MachineCapacity {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources free;
  double idle_s = 0;
  bool usable = true;
};
struct JobCount {
  JobId job;
  std::uint32_t running = 0;
};
struct Summary {
  ShardId shard;
  Term term;
  Revision seen;
  std::vector<MachineCapacity> machines;
  std::vector<JobCount> running;
  std::uint32_t page = 0;  // see wire/paging.h
  bool more = false;
};
struct ReleaseMachines {
  std::vector<MachineName> machines;
};
struct TerminatedMachines {
  std::vector<MachineName> machines;
};

struct RelayedHeartbeat {
  std::uint64_t id = 0;
  std::string heartbeat;
};
struct RelayedReply {
  std::uint64_t id = 0;
  int status = 0;
  std::string body;
};

// What an owner has found out about a job of which tasks failed.
enum class JobHealth {
  kNone,   // nothing new
  kFails,  // its tasks fail on several machines, and none is known to work
  kWorks   // it was taken to fail, but some task has completed or runs well
};
struct JobProgress {
  JobId job;
  Ranges done;
  std::vector<ReleasedTasks> released;
  JobHealth verdict = JobHealth::kNone;
};
// What became of tasks granted to a shard, as far as its owner's record may not hold it yet.
struct ProgressReport {
  ShardId shard;
  Term term;
  std::vector<JobProgress> jobs;
};

using PeerPayload =
    std::variant<Heartbeat, ChangeNotification, EstimateRequest, EstimateResponse, Summary, ReleaseMachines,
                 TerminatedMachines, RelayedHeartbeat, RelayedReply, ProgressReport>;
struct PeerMessage {
  ControllerName from;
  PeerPayload body;
};

std::string encode_peer(const PeerMessage& m);
// None for anything that isn't a well-formed message.
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace beaconsill::protocol
