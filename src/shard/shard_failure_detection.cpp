// Contact with machines: who is late with a report, probes of those, and which zones seem to be out of reach.
#include <algorithm>

#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

// Of what the interval between two reports is expected to be: beyond that a report is late.
constexpr double kReportsVary = 1.6;
// After so many report periods without a sign of life a machine gets no new tasks.
constexpr int kQuietPeriods = 3;
// Probes of a machine are at least so far apart.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// So many commands or probes in a row without an answer count; a single one may have been lost.
constexpr std::size_t kUnansweredProbes = 2;
// From so many silent machines of a zone on, if they are more than one in kManySilentOneIn of it, single
// failures don't explain it.
constexpr std::size_t kManySilent = 3;
constexpr std::size_t kManySilentOneIn = 4;

}  // namespace

Duration ShardManager::suspicion_timeout() const {
  return std::chrono::duration_cast<Duration>(params_.heartbeat_period * kReportsVary);
}

void ShardManager::set_failure_timeouts(Machine& m) const {
  m.contact_timeout = params_.heartbeat_period * kQuietPeriods;
  m.own_heartbeat_timeout = std::max(m.contact_timeout, params_.lease / 2);
}

void ShardManager::on_process_pause(Instant now) {
  observing_since_ = now;
  for (auto& [name, m] : machines_) m.forget_unanswered();
}

// A late machine is probed at its own address, since a report can be late for reasons that are not its own: a
// worker that waited in vain for another controller's answer takes seconds to come here.
void ShardManager::probe_late(Instant now) {
  struct Count {
    std::size_t all = 0, silent = 0;
    bool probing = false;
    Machine* witness = nullptr;  // of those that are not late and can be probed, the one heard last
  };
  std::map<Zone, Count> zones;
  auto silent = [&](const Machine& m) {
    return now - m.last_contact > suspicion_timeout() ||
           (m.suspected_since && now - *m.suspected_since > suspicion_timeout());
  };
  for (auto& [name, m] : machines_) {
    auto& zone = zones[m.zone];
    ++zone.all;
    if (silent(m)) ++zone.silent;
  }
  for (auto& [name, m] : machines_) {
    auto& zone = zones.at(m.zone);
    if (now - m.last_own_heartbeat <= suspicion_timeout()) {
      if (m.can_be_probed() && (!zone.witness || m.last_contact > zone.witness->last_contact))
        zone.witness = &m;
      continue;
    }
    if (zone.silent >= kManySilent && zone.silent * kManySilentOneIn > zone.all) {
      // This controller or its network is at fault, rather than so many machines. What had no answer
      // meanwhile proves nothing, and hundreds of probes would only add to the load.
      m.forget_unanswered();
      continue;
    }
    zone.probing = true;
    if (m.can_be_probed() && now - m.last_contact > params_.heartbeat_period) probe(m, now);
  }
  // That a machine doesn't answer says something only while others of its zone do.
  for (auto& [name, zone] : zones)
    if (zone.probing && zone.witness && now - commands_answered(name) > kProbeInterval)
      probe(*zone.witness, now);
}

void ShardManager::probe(Machine& m, Instant now) {
  if (m.probed && now - *m.probed < kProbeInterval) return;
  m.retry_at = now;
  mark_for_dispatch(m);
}

Instant ShardManager::commands_answered(const Zone& zone) const {
  auto it = commands_answered_.find(zone);
  return it == commands_answered_.end() ? Instant{} : it->second;
}

// Silent beyond what a late report and a worker's own patience with a controller explain, while neither
// commands nor probes were answered, and commands to other machines of its zone were.
bool ShardManager::hangs(const Machine& m, Instant now) const {
  if (!m.confirmed || !m.unanswered_since || m.unanswered < kUnansweredProbes) return false;
  return now - m.last_contact > suspicion_timeout() + kHeartbeatAnswerTimeout &&
         now - *m.unanswered_since > kHeartbeatAnswerTimeout &&
         commands_answered(m.zone) > *m.unanswered_since;
}

bool ShardManager::is_unreachable(const Machine& m, Duration patience, Instant now) const {
  auto suspected_since = m.unconfirmed_since();
  return now - m.last_own_heartbeat > patience || (suspected_since && now - *suspected_since > patience);
}

bool ShardManager::is_stable(Instant now) const {
  return reconciled_ && std::none_of(machines_.begin(), machines_.end(), [&](const auto& m) {
           return is_unreachable(m.second, m.second.contact_timeout, now);
         });
}

// More machines of a zone out of touch than single failures explain: rather this controller is cut off from
// it. So it is when their reports come by way of other controllers only, while commands don't get through:
// found on a day when an owner that had lost its workers deleted some sixty sound ones, one after the other.
std::set<Zone> ShardManager::partitioned_zones(Instant now) const {
  std::map<Zone, std::pair<std::size_t, std::size_t>> count;  // out of touch, all
  for (const auto& [name, m] : machines_) {
    auto& [out, all] = count[m.zone];
    ++all;
    bool relayed_only = m.relayed_since && now - *m.relayed_since > m.contact_timeout;
    if (is_unreachable(m, m.contact_timeout, now) || relayed_only) ++out;
  }
  std::set<Zone> zones;
  for (const auto& [zone, n] : count)
    if (n.first >= 3 && n.first * 2 > n.second) zones.insert(zone);
  return zones;
}

// Since when this controller could hear the machines of the zone.
Instant ShardManager::reachable_since(const Zone& zone) const {
  auto it = partitioned_.find(zone);
  return it == partitioned_.end() ? observing_since_ : std::max(observing_since_, it->second);
}

}  // namespace beaconsill::shard
