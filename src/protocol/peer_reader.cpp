// Converts received peer messages from their Cap'n Proto types.
#include <kj/debug.h>

#include <algorithm>
#include <utility>

#include "protocol/peer_messages.h"

namespace beaconsill::protocol {
namespace {

std::string read_text(capnp::Text::Reader reader) {
  return {reader.cStr(), reader.size()};
}

std::vector<MachineName> read_names(peer::Machines::Reader reader) {
  std::vector<MachineName> names;
  for (auto name : reader.getNames()) names.emplace_back(read_text(name));
  return names;
}

Ranges read_ranges(capnp::Text::Reader reader) {
  auto ranges = Ranges::parse(read_text(reader));
  KJ_REQUIRE(ranges.has_value(), "a set of task numbers is malformed");
  return std::move(*ranges);
}

ResourceRequest read_resource_request(peer::ResourceRequest::Reader reader) {
  ResourceRequest request;
  request.each = {reader.getCpus(), reader.getGpus(), reader.getMemoryGb()};
  if (!reader.getAnyType()) {
    request.types.emplace();
    for (auto type : reader.getTypes()) request.types->emplace_back(read_text(type));
  }
  if (reader.getZone().size() > 0) request.zone = Zone(read_text(reader.getZone()));
  request.spot = reader.getSpot();
  request.image = ImageName(read_text(reader.getImage()));
  request.priority =
      static_cast<Priority>(std::min<int>(reader.getPriority(), static_cast<int>(Priority::kProduction)));
  request.wanted = reader.getWanted();
  return request;
}

CancellationSync read_cancellation_sync(peer::CancellationSync::Reader reader) {
  CancellationSync sync;
  sync.ready = reader.getReady();
  sync.read_until = Revision(reader.getReadRevision());
  sync.read_lease = std::chrono::milliseconds(reader.getReadLeaseMs());
  sync.complete = reader.getComplete();
  for (auto job : reader.getCancelled())
    sync.cancelled.push_back({Revision(job.getRevision()), JobId(read_text(job.getJob())), job.getDone()});
  return sync;
}

// Values that only later versions define are treated as kNone.
JobHealth from_peer_health(peer::JobHealth health) {
  if (health == peer::JobHealth::FAILS) return JobHealth::kFailing;
  return health == peer::JobHealth::WORKS ? JobHealth::kHealthy : JobHealth::kNone;
}

Heartbeat read_heartbeat(peer::Heartbeat::Reader reader) {
  Heartbeat heartbeat;
  heartbeat.acknowledged_until = Revision(reader.getAcknowledgedRevision());
  heartbeat.sequence = reader.getSequence();
  heartbeat.echo = reader.getEcho();
  heartbeat.reaches_state_store = reader.getReachesStateStore();
  if (reader.hasCancellationSync())
    heartbeat.cancellation_sync = read_cancellation_sync(reader.getCancellationSync());
  for (auto term : reader.getTerms())
    heartbeat.terms.push_back({ShardId(term.getShard()), Term(term.getTerm())});
  return heartbeat;
}

EstimateRequest read_estimate_request(peer::EstimateRequest::Reader reader) {
  EstimateRequest request;
  request.round = reader.getRound();
  for (auto resource_request : reader.getResourceRequests())
    request.resource_requests.push_back(read_resource_request(resource_request));
  return request;
}

CapacityByZone read_capacity_by_zone(peer::CapacityByZone::Reader reader) {
  CapacityByZone capacity;
  for (auto zone : reader.getZones())
    capacity.push_back({Zone(read_text(zone.getZone())), zone.getFree(), zone.getImageCached(),
                        zone.getPreemptible(), zone.getImageCachedPreemptible()});
  return capacity;
}

EstimateResponse read_estimate_response(peer::EstimateResponse::Reader reader) {
  EstimateResponse response;
  response.round = reader.getRound();
  response.shard = ShardId(reader.getShard());
  response.term = Term(reader.getTerm());
  response.seen = Revision(reader.getSeenRevision());
  for (auto capacity : reader.getCapacities()) response.capacities.push_back(read_capacity_by_zone(capacity));
  return response;
}

MachineCapacity read_machine(peer::MachineCapacity::Reader reader) {
  MachineCapacity machine;
  machine.name = MachineName(read_text(reader.getName()));
  machine.type = MachineType(read_text(reader.getType()));
  machine.zone = Zone(read_text(reader.getZone()));
  machine.spot = reader.getSpot();
  machine.free = {reader.getCpus(), reader.getGpus(), reader.getMemoryGb()};
  machine.idle_s = reader.getIdleS();
  machine.usable = reader.getUsable();
  return machine;
}

Summary read_summary(peer::Summary::Reader reader) {
  Summary summary;
  summary.shard = ShardId(reader.getShard());
  summary.term = Term(reader.getTerm());
  summary.seen = Revision(reader.getSeenRevision());
  for (auto machine : reader.getMachines()) summary.machines.push_back(read_machine(machine));
  for (auto count : reader.getRunning())
    summary.running.push_back({JobId(read_text(count.getJob())), count.getRunning()});
  summary.page = reader.getPage();
  summary.more = reader.getMore();
  return summary;
}

JobProgress read_job_progress(peer::JobProgress::Reader reader) {
  JobProgress progress;
  progress.job = JobId(read_text(reader.getJob()));
  progress.done = read_ranges(reader.getDone());
  progress.health = from_peer_health(reader.getHealth());
  for (auto released : reader.getReleased())
    progress.released.push_back({Generation(released.getGeneration()), read_ranges(released.getTasks())});
  return progress;
}

ProgressReport read_progress_report(peer::ProgressReport::Reader reader) {
  ProgressReport report;
  report.shard = ShardId(reader.getShard());
  report.term = Term(reader.getTerm());
  for (auto job : reader.getJobs()) report.jobs.push_back(read_job_progress(job));
  return report;
}

RelayedHeartbeat read_relayed_heartbeat(peer::RelayedHeartbeat::Reader reader) {
  return {reader.getId(), read_text(reader.getHeartbeat())};
}

RelayedReply read_relayed_reply(peer::RelayedReply::Reader reader) {
  return {reader.getId(), reader.getStatus(), read_text(reader.getBody())};
}

}  // namespace

PeerPayload read_payload(peer::Message::Reader reader) {
  switch (reader.which()) {
    case peer::Message::HEARTBEAT:
      return read_heartbeat(reader.getHeartbeat());
    case peer::Message::CHANGE_NOTIFICATION:
      return ChangeNotification{Revision(reader.getChangeNotification().getRevision())};
    case peer::Message::ESTIMATE_REQUEST:
      return read_estimate_request(reader.getEstimateRequest());
    case peer::Message::ESTIMATE_RESPONSE:
      return read_estimate_response(reader.getEstimateResponse());
    case peer::Message::SUMMARY:
      return read_summary(reader.getSummary());
    case peer::Message::RELEASE_MACHINES:
      return ReleaseMachines{read_names(reader.getReleaseMachines())};
    case peer::Message::TERMINATED_MACHINES:
      return TerminatedMachines{read_names(reader.getTerminatedMachines())};
    case peer::Message::RELAYED_HEARTBEAT:
      return read_relayed_heartbeat(reader.getRelayedHeartbeat());
    case peer::Message::RELAYED_REPLY:
      return read_relayed_reply(reader.getRelayedReply());
    case peer::Message::PROGRESS_REPORT:
      return read_progress_report(reader.getProgressReport());
  }
  KJ_FAIL_REQUIRE("the kind of the peer message is unknown");
}

}  // namespace beaconsill::protocol
