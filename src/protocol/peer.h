// Messages that controllers send each other, and their encoding and decoding. The wire format is defined in
// peer.capnp.
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

// A shard and a term of its leadership.
struct ShardTerm {
  ShardId shard;
  Term term;
};

// The part of a heartbeat from which its receiver learns which cancellations the sender may acknowledge to
// users. The fields are documented in peer.capnp.
struct CancellationSync {
  bool ready = false;
  Revision read_until;
  std::chrono::milliseconds read_lease{0};
  bool complete = false;
  std::vector<CancelledJob> cancelled;
};

// A message that each controller periodically sends to each other controller. The fields are documented in
// peer.capnp.
struct Heartbeat {
  Revision acknowledged_until;
  std::vector<ShardTerm> terms;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0;
  bool reaches_state_store = false;
  std::optional<CancellationSync> cancellation_sync;  // std::nullopt: not supported by the sender's version
};

// Notifies the receiver that the state store has changes up to this revision.
struct ChangeNotification {
  Revision revision;
};

// The resources that a task requires, and the machines that it may use.
struct ResourceRequest {
  Resources each;
  std::optional<std::vector<MachineType>> types;  // std::nullopt: any
  std::optional<Zone> zone;                       // std::nullopt: any
  bool spot = false;
  ImageName image;
  Priority priority = Priority::kNormal;
  std::uint32_t wanted = 0;  // the estimate may stop counting at this number of tasks
  bool operator==(const ResourceRequest&) const = default;
};

// Sent by the leader to ask all shards how many tasks of each resource request they have capacity for.
struct EstimateRequest {
  std::uint64_t round = 0;
  std::vector<ResourceRequest> resource_requests;
};

// The capacity of one zone of a shard for a resource request, in tasks.
struct ZoneCapacity {
  Zone zone;
  std::uint32_t free = 0;
  std::uint32_t image_cached = 0;  // part of `free`: on machines that cache the image
  std::uint32_t preemptible = 0;   // in addition to `free`, if tasks of lower priority were preempted
  std::uint32_t image_cached_preemptible = 0;  // part of `preemptible`: on machines that cache the image
  bool operator==(const ZoneCapacity&) const = default;
};
// The zones of a shard that have capacity for a resource request.
using CapacityByZone = std::vector<ZoneCapacity>;

// The response of a shard to an EstimateRequest.
struct EstimateResponse {
  std::uint64_t round = 0;
  ShardId shard;
  Term term;
  Revision seen;                           // the estimate includes all grants up to this revision
  std::vector<CapacityByZone> capacities;  // one for each resource request
};

// A machine of a shard and its free resources.
struct MachineCapacity {
  MachineName name;
  MachineType type;
  Zone zone;
  bool spot = false;
  Resources free;
  double idle_s = 0;   // seconds since the machine had tasks; 0 while it has any
  bool usable = true;  // tasks may be started on the machine
};

// The number of tasks of a job that run in a shard.
struct JobCount {
  JobId job;
  std::uint32_t running = 0;
};

// The machines and running tasks of a shard. Sent periodically to all peers.
struct Summary {
  ShardId shard;
  Term term;
  Revision seen;  // the summary includes all grants up to this revision
  std::vector<MachineCapacity> machines;
  std::vector<JobCount> running;
  std::uint32_t page = 0;  // number of this page, from 0; see protocol/paging.h
  bool more = false;       // further pages follow
};

// Asks a shard to release these machines so that they can be deleted in the cloud.
struct ReleaseMachines {
  std::vector<MachineName> machines;
};

// Reports machines that are known for certain to be terminated.
struct TerminatedMachines {
  std::vector<MachineName> machines;
};

// A worker's heartbeat, forwarded by the controller that received it to the leader of the worker's shard.
struct RelayedHeartbeat {
  std::uint64_t id = 0;
  std::string heartbeat;
};

// The shard leader's response to a RelayedHeartbeat with the same id.
struct RelayedReply {
  std::uint64_t id = 0;
  int status = 0;  // HTTP status code
  std::string body;
};

// A shard leader's new findings about a job of which tasks have failed.
enum class JobHealth {
  kNone,     // no new finding
  kFailing,  // tasks of the job fail on several machines, and none is known to work
  kHealthy   // the job was considered failing, but one of its tasks has completed or runs well
};

// The progress of the granted tasks of one job.
struct JobProgress {
  JobId job;
  Ranges done;
  std::vector<ReleasedTasks> released;
  JobHealth health = JobHealth::kNone;
};

// The progress of tasks granted to a shard, as far as the shard's record in the state store may not include
// it yet.
struct ProgressReport {
  ShardId shard;
  Term term;
  std::vector<JobProgress> jobs;
};

// All kinds of messages between controllers.
using PeerPayload =
    std::variant<Heartbeat, ChangeNotification, EstimateRequest, EstimateResponse, Summary, ReleaseMachines,
                 TerminatedMachines, RelayedHeartbeat, RelayedReply, ProgressReport>;

// A message and the name of the controller that sent it.
struct PeerMessage {
  ControllerName from;
  PeerPayload payload;
};

// Encodes a message as the content of a frame.
std::string encode_peer(const PeerMessage& message);
// Decodes the content of a frame. Returns std::nullopt if it is not a well-formed message.
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace beaconsill::protocol
