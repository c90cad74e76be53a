#include "shard/failure_detector.h"

#include <algorithm>

#include "shard/command_channel.h"

namespace beaconsill::shard {
namespace {

// In heartbeat periods: one that takes longer is late.
constexpr double kSuspicionPeriods = 1.6;
// After so many heartbeat periods without contact a machine gets no new tasks.
constexpr int kContactTimeoutPeriods = 3;
// So many commands or probes in a row without an answer count; a single one may have been lost.
constexpr std::size_t kUnansweredProbes = 2;
// From so many suspected machines of a zone on, if they are more than one in kManySuspectedOneIn of it,
// single failures don't explain it.
constexpr std::size_t kManySuspected = 3;
constexpr std::size_t kManySuspectedOneIn = 4;
// The same of unreachable machines, for a zone that counts as partitioned.
constexpr std::size_t kManyUnreachable = 3;
constexpr std::size_t kManyUnreachableOneIn = 2;
// Allowed to a machine after a failover: it is probed at once, but may be there and not reachable yet.
constexpr Duration kFailoverGracePeriod = std::chrono::seconds(2);

}  // namespace

const char* to_string(DeletionReason reason) {
  switch (reason) {
    case DeletionReason::kQuarantined:
      return "quarantined";
    case DeletionReason::kReleased:
      return "released";
    case DeletionReason::kHung:
      return "hung";
    case DeletionReason::kReceivesNothing:
      return "receives_nothing";
    case DeletionReason::kNoContact:
      return "no_contact";
    case DeletionReason::kAnswersWithoutHeartbeat:
      return "answers_without_heartbeat";
  }
  return "unknown";
}

FailureDetector::FailureDetector(const ShardParams& params) : params_(params) {}

Duration FailureDetector::suspicion_timeout() const {
  return std::chrono::duration_cast<Duration>(params_.heartbeat_period * kSuspicionPeriods);
}

void FailureDetector::set_timeouts(Machine& machine) const {
  machine.contact_timeout = params_.heartbeat_period * kContactTimeoutPeriods;
  machine.own_heartbeat_timeout = std::max(machine.contact_timeout, params_.lease / 2);
}

void FailureDetector::on_process_pause(Machines& machines, Instant now) {
  observing_since_ = now;
  for (auto& [name, machine] : machines) machine.forget_unanswered();
}

bool FailureDetector::is_suspected(const Machine& machine, Instant now) const {
  return now - machine.last_contact > suspicion_timeout() ||
         (machine.suspected_since && now - *machine.suspected_since > suspicion_timeout());
}

// A late machine is probed at its own address, since a heartbeat can be late for reasons that are not its
// own: a worker that waited in vain for another controller's answer takes seconds to come here.
std::vector<Machine*> FailureDetector::machines_to_probe(Machines& machines, Instant now) const {
  struct ZoneCount {
    std::size_t all = 0;
    std::size_t suspected = 0;
    bool probing = false;
    Machine* witness =
        nullptr;  // of those that are not late and can be probed, the one with the last contact
  };
  std::map<Zone, ZoneCount> zones;
  for (auto& [name, machine] : machines) {
    auto& zone = zones[machine.zone];
    ++zone.all;
    if (is_suspected(machine, now)) ++zone.suspected;
  }
  std::vector<Machine*> to_probe;
  for (auto& [name, machine] : machines) {
    auto& zone = zones.at(machine.zone);
    if (now - machine.last_own_heartbeat <= suspicion_timeout()) {
      if (machine.can_be_probed() && (!zone.witness || machine.last_contact > zone.witness->last_contact))
        zone.witness = &machine;
      continue;
    }
    if (zone.suspected >= kManySuspected && zone.suspected * kManySuspectedOneIn > zone.all) {
      // This controller or its network is at fault, rather than so many machines. What had no answer
      // meanwhile proves nothing, and hundreds of probes would only add to the load.
      machine.forget_unanswered();
      continue;
    }
    zone.probing = true;
    if (machine.can_be_probed() && now - machine.last_contact > params_.heartbeat_period)
      to_probe.push_back(&machine);
  }
  for (auto& [name, zone] : zones) {
    auto answered = commands_answered(name);
    if (zone.probing && zone.witness && (!answered || now - *answered > kProbeInterval))
      to_probe.push_back(zone.witness);
  }
  return to_probe;
}

std::optional<Instant> FailureDetector::commands_answered(const Zone& zone) const {
  auto it = commands_answered_.find(zone);
  if (it == commands_answered_.end()) return std::nullopt;
  return it->second;
}

// No contact beyond what a late heartbeat and a worker's own timeout with a controller explain, while neither
// commands nor probes were answered, and commands to other machines of its zone were.
bool FailureDetector::is_hung(const Machine& machine, Instant now) const {
  if (!machine.confirmed || !machine.unanswered_since || machine.unanswered < kUnansweredProbes) return false;
  auto answered = commands_answered(machine.zone);
  return now - machine.last_contact > suspicion_timeout() + kHeartbeatAnswerTimeout &&
         now - *machine.unanswered_since > kHeartbeatAnswerTimeout && answered &&
         *answered > *machine.unanswered_since;
}

bool FailureDetector::is_unreachable(const Machine& machine, Duration timeout, Instant now) {
  auto unconfirmed_since = machine.unconfirmed_since();
  return now - machine.last_own_heartbeat > timeout ||
         (unconfirmed_since && now - *unconfirmed_since > timeout);
}

// Rather than so many machines, this controller has lost the zone. So it is when heartbeats come by way of
// other controllers only, while commands don't get through: found on a recorded day when a shard leader that
// had lost its workers deleted some sixty sound ones, one after the other.
std::set<Zone> FailureDetector::update_partitioned_zones(const Machines& machines, Instant now) {
  struct ZoneCount {
    std::size_t all = 0;
    std::size_t unreachable = 0;
  };
  std::map<Zone, ZoneCount> counts;
  for (const auto& [name, machine] : machines) {
    auto& count = counts[machine.zone];
    ++count.all;
    bool relayed_only = machine.relayed_since && now - *machine.relayed_since > machine.contact_timeout;
    if (is_unreachable(machine, machine.contact_timeout, now) || relayed_only) ++count.unreachable;
  }
  std::set<Zone> zones;
  for (const auto& [zone, count] : counts) {
    bool many =
        count.unreachable >= kManyUnreachable && count.unreachable * kManyUnreachableOneIn > count.all;
    if (!many) continue;
    zones.insert(zone);
    partitioned_[zone] = now;
  }
  return zones;
}

std::optional<Instant> FailureDetector::reachable_since(const Zone& zone) const {
  auto it = partitioned_.find(zone);
  if (it == partitioned_.end()) return observing_since_;
  return observing_since_ ? std::max(*observing_since_, it->second) : it->second;
}

std::optional<DeletionReason> FailureDetector::reason_to_delete(const Machine& machine, bool partitioned,
                                                                Instant now) const {
  // What ran on those that have obeyed this leader ends with their leases, and they may come back.
  if (partitioned && machine.confirmed) return std::nullopt;
  // After a failover nothing is known to be there until the machine's first heartbeat, but something may run.
  bool empty = machine.confirmed && machine.tasks.empty() && machine.channel == Machine::Channel::kIdle;
  if (machine.quarantined && empty) return DeletionReason::kQuarantined;
  if (machine.draining && empty) return DeletionReason::kReleased;
  if (is_hung(machine, now)) return DeletionReason::kHung;
  auto timeout = machine.confirmed ? params_.grace : params_.grace + kFailoverGracePeriod;
  // The unconfirmed ones hold up the reconciliation, though not without end: an earlier leader that is
  // partitioned together with them keeps their tasks running until its knowledge of cancellations is too old.
  if (partitioned) timeout = std::max(timeout, params_.cancel_limit);
  // After a partition, or a pause of this controller, half of the machines send a heartbeat before the
  // others do, and those would pass for failed.
  auto observing_since = partitioned ? observing_since_ : reachable_since(machine.zone);
  return reason_if_no_contact(machine, timeout, observing_since, now);
}

std::optional<DeletionReason> FailureDetector::reason_if_no_contact(const Machine& machine, Duration timeout,
                                                                    std::optional<Instant> observing_since,
                                                                    Instant now) const {
  auto exceeded = [&](Instant last, Duration limit) {
    auto counted_from = observing_since ? std::max(last, *observing_since) : last;
    return now - counted_from > limit;
  };
  if (auto since = machine.unconfirmed_since(); since && exceeded(*since, timeout))
    return DeletionReason::kReceivesNothing;
  if (exceeded(machine.last_contact, timeout)) return DeletionReason::kNoContact;
  // A machine that answers probes is alive. What runs there goes on until its lease ends, which answers to
  // commands don't renew; after that it is of no use unless it sends heartbeats.
  if (exceeded(machine.last_own_heartbeat, std::max(timeout, params_.lease)))
    return DeletionReason::kAnswersWithoutHeartbeat;
  return std::nullopt;
}

}  // namespace beaconsill::shard
