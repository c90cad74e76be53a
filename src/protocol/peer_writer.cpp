// Converts peer messages into their Cap'n Proto types for sending.
#include "protocol/peer_messages.h"

namespace beaconsill::protocol {
namespace {

void write_names(peer::Machines::Builder builder, const std::vector<MachineName>& names) {
  auto list = builder.initNames(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) list.set(i, names[i].value());
}

void write_resource_request(peer::ResourceRequest::Builder builder, const ResourceRequest& request) {
  builder.setCpus(request.each.cpus);
  builder.setGpus(request.each.gpus);
  builder.setMemoryGb(request.each.memory_gb);
  builder.setAnyType(!request.types);
  if (request.types) {
    auto list = builder.initTypes(request.types->size());
    for (std::size_t i = 0; i < request.types->size(); ++i) list.set(i, (*request.types)[i].value());
  }
  if (request.zone) builder.setZone(request.zone->value());
  builder.setSpot(request.spot);
  builder.setImage(request.image.value());
  builder.setPriority(static_cast<std::uint8_t>(request.priority));
  builder.setWanted(request.wanted);
}

void write_cancellation_sync(peer::CancellationSync::Builder builder, const CancellationSync& sync) {
  builder.setReady(sync.ready);
  builder.setReadRevision(sync.read_until.value());
  builder.setReadLeaseMs(static_cast<std::uint32_t>(sync.read_lease.count()));
  builder.setComplete(sync.complete);
  auto list = builder.initCancelled(sync.cancelled.size());
  for (std::size_t i = 0; i < sync.cancelled.size(); ++i) {
    list[i].setJob(sync.cancelled[i].job.value());
    list[i].setRevision(sync.cancelled[i].revision.value());
    list[i].setDone(sync.cancelled[i].done);
  }
}

peer::JobHealth to_peer_health(JobHealth health) {
  switch (health) {
    case JobHealth::kFailing:
      return peer::JobHealth::FAILS;
    case JobHealth::kHealthy:
      return peer::JobHealth::WORKS;
    case JobHealth::kNone:
      break;
  }
  return peer::JobHealth::NONE;
}

void write_capacity_by_zone(peer::CapacityByZone::Builder builder, const CapacityByZone& capacity) {
  auto zones = builder.initZones(capacity.size());
  for (std::size_t i = 0; i < capacity.size(); ++i) {
    zones[i].setZone(capacity[i].zone.value());
    zones[i].setFree(capacity[i].free);
    zones[i].setImageCached(capacity[i].image_cached);
    zones[i].setPreemptible(capacity[i].preemptible);
    zones[i].setImageCachedPreemptible(capacity[i].image_cached_preemptible);
  }
}

void write_machine(peer::MachineCapacity::Builder builder, const MachineCapacity& machine) {
  builder.setName(machine.name.value());
  builder.setType(machine.type.value());
  builder.setZone(machine.zone.value());
  builder.setSpot(machine.spot);
  builder.setCpus(machine.free.cpus);
  builder.setGpus(machine.free.gpus);
  builder.setMemoryGb(machine.free.memory_gb);
  builder.setIdleS(machine.idle_s);
  builder.setUsable(machine.usable);
}

void write_job_progress(peer::JobProgress::Builder builder, const JobProgress& progress) {
  builder.setJob(progress.job.value());
  builder.setDone(progress.done.str());
  builder.setHealth(to_peer_health(progress.health));
  auto released = builder.initReleased(progress.released.size());
  for (std::size_t i = 0; i < progress.released.size(); ++i) {
    released[i].setGeneration(progress.released[i].generation.value());
    released[i].setTasks(progress.released[i].tasks.str());
  }
}

// Writes each kind of payload. Lists and texts are placed in the encoded message in the order in which they
// are set here, so this order determines the encoded bytes.
class PayloadWriter {
 public:
  explicit PayloadWriter(peer::Message::Builder builder) : builder_(builder) {}

  void operator()(const Heartbeat& heartbeat) {
    auto builder = builder_.initHeartbeat();
    builder.setAcknowledgedRevision(heartbeat.acknowledged_until.value());
    builder.setSequence(heartbeat.sequence);
    builder.setEcho(heartbeat.echo);
    builder.setReachesStateStore(heartbeat.reaches_state_store);
    if (heartbeat.cancellation_sync)
      write_cancellation_sync(builder.initCancellationSync(), *heartbeat.cancellation_sync);
    auto terms = builder.initTerms(heartbeat.terms.size());
    for (std::size_t i = 0; i < heartbeat.terms.size(); ++i) {
      terms[i].setShard(heartbeat.terms[i].shard.value());
      terms[i].setTerm(heartbeat.terms[i].term.value());
    }
  }
  void operator()(const ChangeNotification& notification) {
    builder_.initChangeNotification().setRevision(notification.revision.value());
  }
  void operator()(const EstimateRequest& request) {
    auto builder = builder_.initEstimateRequest();
    builder.setRound(request.round);
    auto list = builder.initResourceRequests(request.resource_requests.size());
    for (std::size_t i = 0; i < request.resource_requests.size(); ++i)
      write_resource_request(list[i], request.resource_requests[i]);
  }
  void operator()(const EstimateResponse& response) {
    auto builder = builder_.initEstimateResponse();
    builder.setRound(response.round);
    builder.setShard(response.shard.value());
    builder.setTerm(response.term.value());
    builder.setSeenRevision(response.seen.value());
    auto list = builder.initCapacities(response.capacities.size());
    for (std::size_t i = 0; i < response.capacities.size(); ++i)
      write_capacity_by_zone(list[i], response.capacities[i]);
  }
  void operator()(const Summary& summary) {
    auto builder = builder_.initSummary();
    builder.setShard(summary.shard.value());
    builder.setTerm(summary.term.value());
    builder.setSeenRevision(summary.seen.value());
    builder.setPage(summary.page);
    builder.setMore(summary.more);
    auto machines = builder.initMachines(summary.machines.size());
    for (std::size_t i = 0; i < summary.machines.size(); ++i) write_machine(machines[i], summary.machines[i]);
    auto running = builder.initRunning(summary.running.size());
    for (std::size_t i = 0; i < summary.running.size(); ++i) {
      running[i].setJob(summary.running[i].job.value());
      running[i].setRunning(summary.running[i].running);
    }
  }
  void operator()(const ReleaseMachines& message) {
    write_names(builder_.initReleaseMachines(), message.machines);
  }
  void operator()(const TerminatedMachines& message) {
    write_names(builder_.initTerminatedMachines(), message.machines);
  }
  void operator()(const RelayedHeartbeat& relayed) {
    auto builder = builder_.initRelayedHeartbeat();
    builder.setId(relayed.id);
    builder.setHeartbeat(relayed.heartbeat);
  }
  void operator()(const RelayedReply& reply) {
    auto builder = builder_.initRelayedReply();
    builder.setId(reply.id);
    builder.setStatus(static_cast<std::uint16_t>(reply.status));
    builder.setBody(reply.body);
  }
  void operator()(const ProgressReport& report) {
    auto builder = builder_.initProgressReport();
    builder.setShard(report.shard.value());
    builder.setTerm(report.term.value());
    auto jobs = builder.initJobs(report.jobs.size());
    for (std::size_t i = 0; i < report.jobs.size(); ++i) write_job_progress(jobs[i], report.jobs[i]);
  }

 private:
  peer::Message::Builder builder_;
};

}  // namespace

void write_payload(peer::Message::Builder builder, const PeerPayload& payload) {
  std::visit(PayloadWriter(builder), payload);
}

}  // namespace beaconsill::protocol
