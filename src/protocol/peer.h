// The protocol between controllers: messages, and their encoding with Cap'n Proto (peer.capnp).
#pragma once

#include <chrono>
#include <cstdint>
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

// A shard and the term under which its leader leads it.
struct ShardTerm {
  ShardId shard;
  Term term;
};

// What the receiver of a heartbeat may conclude about cancellations that its sender acknowledges to users;
// the fields are explained in peer.capnp.
struct CancellationSync {
  bool ready = false;
  Revision read_until;
  std::chrono::milliseconds read_lease{0};
  bool complete = false;
  std::vector<CancelledJob> cancelled;
};

// Sent to each controller periodically; the fields are explained in peer.capnp.
struct Heartbeat {
  Revision acknowledged_until;
  std::vector<ShardTerm> terms;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0;
  bool reaches_state_store = false;
  std::optional<CancellationSync> cancellation_sync;  // none: the sender is of a version without it
};

// The state store has changes up to this revision.
struct ChangeNotification {
  Revision revision;
};

// What a task needs, and the machines that it may use.
struct ResourceRequest {
  Resources each;
  std::optional<std::vector<MachineType>> types;  // none: any
  std::optional<Zone> zone;                       // none: any
  bool spot = false;
  ImageName image;
  Priority priority = Priority::kNormal;
  std::uint32_t wanted = 0;  // no more tasks than this need to be counted
  bool operator==(const ResourceRequest&) const = default;
};

// The leader asks each shard for how many tasks it has capacity.
struct EstimateRequest {
  std::uint64_t round = 0;
  std::vector<ResourceRequest> resource_requests;
};

// For how many tasks a zone of a shard has capacity.
struct ZoneCapacity {
  Zone zone;
  std::uint32_t free = 0;
  std::uint32_t image_cached = 0;              // of the free, on machines that hold the image
  std::uint32_t preemptible = 0;               // further ones, if work of lower priority were preempted
  std::uint32_t image_cached_preemptible = 0;  // of the preemptible, on machines that hold the image
  bool operator==(const ZoneCapacity&) const = default;
};
// The zones of a shard that have capacity.
using CapacityByZone = std::vector<ZoneCapacity>;

// A shard's answer to an EstimateRequest.
struct EstimateResponse {
  std::uint64_t round = 0;
  ShardId shard;
  Term term;
  Revision seen;                           // grants up to it were known
  std::vector<CapacityByZone> capacities;  // one for each resource request
};

// A machine of a shard and what is free there.
struct MachineCapacity {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources free;
  double idle_s = 0;
  bool usable = true;
};

// How many tasks of a job run in a shard.
struct JobCount {
  JobId job;
  std::uint32_t running = 0;
};

// What a shard reports to the leader periodically.
struct Summary {
  ShardId shard;
  Term term;
  Revision seen;
  std::vector<MachineCapacity> machines;
  std::vector<JobCount> running;
  std::uint32_t page = 0;  // see protocol/paging.h
  bool more = false;
};

// The leader asks a shard to release these machines, so that they can be returned to the cloud.
struct ReleaseMachines {
  std::vector<MachineName> machines;
};

// These machines are proved to be terminated.
struct TerminatedMachines {
  std::vector<MachineName> machines;
};

// An agent's heartbeat, passed on to the leader of its shard.
struct RelayedHeartbeat {
  std::uint64_t id = 0;
  std::string heartbeat;
};

// The shard leader's reply to it.
struct RelayedReply {
  std::uint64_t id = 0;
  int status = 0;  // of HTTP
  std::string body;
};

// What a shard leader has found out about a job of which tasks failed.
enum class JobHealth {
  kNone,   // nothing new
  kFails,  // its tasks fail on several machines, and none is known to work
  kWorks   // it was taken to fail, but some task has completed or runs well
};

// What became of the granted tasks of one job.
struct JobProgress {
  JobId job;
  Ranges done;
  std::vector<ReleasedTasks> released;
  JobHealth health = JobHealth::kNone;
};

// What became of tasks granted to a shard, as far as its record may not hold it yet.
struct ProgressReport {
  ShardId shard;
  Term term;
  std::vector<JobProgress> jobs;
};

// Everything that controllers send each other.
using PeerPayload =
    std::variant<Heartbeat, ChangeNotification, EstimateRequest, EstimateResponse, Summary, ReleaseMachines,
                 TerminatedMachines, RelayedHeartbeat, RelayedReply, ProgressReport>;

// A message with its sender.
struct PeerMessage {
  ControllerName from;
  PeerPayload payload;
};

// The bytes of a frame.
std::string encode_peer(const PeerMessage& message);
// None for anything that isn't a well-formed message.
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace beaconsill::protocol
