#include "shard/failure_detector.h"

#include <algorithm>

#include "shard/command_channel.h"

namespace beaconsill::shard {
namespace {

// A machine is suspected to have failed if its next heartbeat takes longer than this many heartbeat periods.
constexpr double kSuspicionPeriods = 1.6;
// A machine without contact for this many heartbeat periods gets no new tasks.
constexpr int kContactTimeoutPeriods = 3;
// A machine can count as hung after this many commands or probes in a row without an answer: a single one may
// have been lost.
constexpr std::size_t kHungAfterUnanswered = 2;
// If at least kMassSuspicionMinMachines machines of a zone, and more than one in kMassSuspicionDivisor, are
// suspected at the same time, independent failures of machines don't explain it.
constexpr std::size_t kMassSuspicionMinMachines = 3;
constexpr std::size_t kMassSuspicionDivisor = 4;
// A zone counts as partitioned if at least kPartitionMinMachines of its machines, and more than one in
// kPartitionDivisor, are unreachable.
constexpr std::size_t kPartitionMinMachines = 3;
constexpr std::size_t kPartitionDivisor = 2;
// Additional time for a machine after a failover: it is probed at once, but may be alive and not reachable
// yet.
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
  machine.unsolicited_heartbeat_timeout = std::max(machine.contact_timeout, params_.lease / 2);
}

void FailureDetector::on_process_pause(Machines& machines, Instant now) {
  observing_since_ = now;
  for (auto& [name, machine] : machines) machine.reset_unanswered();
}

bool FailureDetector::is_suspected(const Machine& machine, Instant now) const {
  return now - machine.last_contact > suspicion_timeout() ||
         (machine.suspected_since && now - *machine.suspected_since > suspicion_timeout());
}

// A late machine is probed at its own address, since a heartbeat can be late although the machine is healthy:
// a worker that waits in vain for the answer of another controller needs seconds before it contacts this one.
std::vector<Machine*> FailureDetector::machines_to_probe(Machines& machines, Instant now) const {
  struct ZoneCount {
    std::size_t all = 0;
    std::size_t suspected = 0;
    bool probing = false;
    // The machine with the most recent contact among those that are not late and can be probed.
    Machine* reference = nullptr;
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
    if (now - machine.last_unsolicited_heartbeat <= suspicion_timeout()) {
      if (machine.can_be_probed() && (!zone.reference || machine.last_contact > zone.reference->last_contact))
        zone.reference = &machine;
      continue;
    }
    if (zone.suspected >= kMassSuspicionMinMachines && zone.suspected * kMassSuspicionDivisor > zone.all) {
      // This controller or its network is more likely to be at fault than so many machines. Commands that
      // were not answered in this time prove nothing, and hundreds of probes would only add to the load.
      machine.reset_unanswered();
      continue;
    }
    zone.probing = true;
    if (machine.can_be_probed() && now - machine.last_contact > params_.heartbeat_period)
      to_probe.push_back(&machine);
  }
  for (auto& [name, zone] : zones) {
    auto answered = commands_answered(name);
    if (zone.probing && zone.reference && (!answered || now - *answered > kProbeInterval))
      to_probe.push_back(zone.reference);
  }
  return to_probe;
}

std::optional<Instant> FailureDetector::commands_answered(const Zone& zone) const {
  auto it = commands_answered_.find(zone);
  if (it == commands_answered_.end()) return std::nullopt;
  return it->second;
}

// A machine is hung if it has been without contact for longer than the suspicion timeout plus a worker's
// timeout for an answer to its heartbeat, and has answered neither commands nor probes while other machines
// of its zone did.
bool FailureDetector::is_hung(const Machine& machine, Instant now) const {
  if (!machine.confirmed || !machine.unanswered_since || machine.unanswered < kHungAfterUnanswered)
    return false;
  auto answered = commands_answered(machine.zone);
  return now - machine.last_contact > suspicion_timeout() + kHeartbeatAnswerTimeout &&
         now - *machine.unanswered_since > kHeartbeatAnswerTimeout && answered &&
         *answered > *machine.unanswered_since;
}

bool FailureDetector::is_unreachable(const Machine& machine, Duration timeout, Instant now) {
  auto unconfirmed_since = machine.unconfirmed_since();
  return now - machine.last_unsolicited_heartbeat > timeout ||
         (unconfirmed_since && now - *unconfirmed_since > timeout);
}

// If many machines of a zone are unreachable, it is more likely that this controller is partitioned from the
// zone than that so many machines failed. Machines whose heartbeats arrive only through other controllers, so
// that commands probably don't reach them, count as unreachable: on a recorded day of operation, a shard
// leader that had lost contact with its workers deleted about sixty healthy machines one after the other.
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
        count.unreachable >= kPartitionMinMachines && count.unreachable * kPartitionDivisor > count.all;
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
  // The tasks on machines that have confirmed this leader's term end when the leases expire, and the machines
  // may become reachable again.
  if (partitioned && machine.confirmed) return std::nullopt;
  // After a failover the tasks on a machine are unknown until its first heartbeat, so an unconfirmed machine
  // without known tasks may still run some.
  bool empty = machine.confirmed && machine.tasks.empty() && machine.channel == Machine::Channel::kIdle;
  if (machine.quarantined && empty) return DeletionReason::kQuarantined;
  if (machine.draining && empty) return DeletionReason::kReleased;
  if (is_hung(machine, now)) return DeletionReason::kHung;
  auto timeout = machine.confirmed ? params_.grace : params_.grace + kFailoverGracePeriod;
  // Unconfirmed machines delay the reconciliation, so they can't be exempt from deletion forever. An earlier
  // leader that is partitioned together with them keeps their tasks running until its knowledge of
  // cancellations is too old.
  if (partitioned) timeout = std::max(timeout, params_.cancel_limit);
  // After a partition or a pause of this controller, time without contact counts from its end. Otherwise,
  // once half of the machines have sent a heartbeat, the zone no longer counts as partitioned and the other
  // half would be taken for failed.
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
  // A machine that answers probes is alive. Its tasks run until its lease expires, which its answers to
  // probes don't renew. After that the machine is useless unless it sends heartbeats.
  if (exceeded(machine.last_unsolicited_heartbeat, std::max(timeout, params_.lease)))
    return DeletionReason::kAnswersWithoutHeartbeat;
  return std::nullopt;
}

}  // namespace beaconsill::shard
