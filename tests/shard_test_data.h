// Test data for a shard's leader: its parameters, a catalogue with one machine type, and builders for workers
// and jobs. Times are seconds from an arbitrary start.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "shard/shard_manager.h"

namespace beaconsill::shard::fixture {

constexpr double kHeartbeatSeconds = 1;
constexpr double kLeaseSeconds = 10;
constexpr double kCancelLimitSeconds = 40;
constexpr double kGraceSeconds = 5;

inline Instant at(double time_s) {
  return Instant{} + from_seconds(1000 + time_s);
}

inline ShardParams params() {
  ShardParams out;
  out.heartbeat_period = from_seconds(kHeartbeatSeconds);
  out.lease = from_seconds(kLeaseSeconds);
  out.cancel_limit = from_seconds(kCancelLimitSeconds);
  out.grace = from_seconds(kGraceSeconds);
  return out;
}

// Returns a catalogue with one machine type, which has four CPUs and is offered in these zones.
inline std::shared_ptr<const protocol::Catalogue> catalogue(const std::vector<Zone>& zones) {
  auto types = std::make_shared<protocol::Catalogue>();
  (*types)[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, zones};
  return types;
}

// Returns the first heartbeat of a worker without tasks.
inline protocol::WorkerHeartbeat new_worker(const std::string& name, const Zone& zone) {
  protocol::WorkerHeartbeat worker;
  worker.machine = MachineName(name);
  worker.address = "127.0.0.1:1";
  worker.type = MachineType("t4");
  worker.zone = zone;
  worker.incarnation = Incarnation(1);
  return worker;
}

inline state_store::MachineRecord machine_record(const protocol::WorkerHeartbeat& worker) {
  return {worker.machine, worker.type, worker.zone, worker.spot, worker.address};
}

// Returns the specification of a job whose tasks take one CPU each.
inline protocol::JobSpec job_spec(const JobId& id, std::uint32_t tasks) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = Team("blue");
  spec.tasks = tasks;
  spec.each = {1, 0, 1};
  spec.image = ImageName("img");
  return spec;
}

inline void record_job(state_store::Job& job, const protocol::JobSpec& spec) {
  job.record = {std::make_shared<const protocol::JobSpec>(spec), WallMs(0)};
  job.created = Revision(1);
}

}  // namespace beaconsill::shard::fixture
