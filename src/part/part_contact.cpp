// Contact with machines: who is late with a report, probes of those, and which zones seem to be out of reach.
#include <algorithm>

#include "part/part.h"

namespace beaconsill::part {
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

Duration Part::late_after() const {
  return std::chrono::duration_cast<Duration>(params_.report_period * kReportsVary);
}

void Part::set_patience(Machine& m) const {
  m.quiet = params_.report_period * kQuietPeriods;
  m.mute = std::max(m.quiet, params_.lease / 2);
}

void Part::on_stood_still(Instant now) {
  listening_since_ = now;
  for (auto& [name, m] : machines_) m.forget_unanswered();
}

// A late machine is probed at its own address, since a report can be late for reasons that are not its own: a
// worker that waited in vain for another controller's answer takes seconds to come here.
void Part::probe_late(Instant now) {
  struct Count {
    std::size_t all = 0, silent = 0;
    bool probing = false;
    Machine* witness = nullptr;  // of those that are not late and can be probed, the one heard last
  };
  std::map<Zone, Count> zones;
  auto silent = [&](const Machine& m) {
    return now - m.heard > late_after() || (m.doubted && now - *m.doubted > late_after());
  };
  for (auto& [name, m] : machines_) {
    auto& zone = zones[m.zone];
    ++zone.all;
    if (silent(m)) ++zone.silent;
  }
  for (auto& [name, m] : machines_) {
    auto& zone = zones.at(m.zone);
    if (now - m.last_report <= late_after()) {
      if (m.can_be_probed() && (!zone.witness || m.heard > zone.witness->heard)) zone.witness = &m;
      continue;
    }
    if (zone.silent >= kManySilent && zone.silent * kManySilentOneIn > zone.all) {
      // This node or its network is at fault, rather than so many machines. What had no answer meanwhile
      // proves nothing, and hundreds of probes would only add to the load.
      m.forget_unanswered();
      continue;
    }
    zone.probing = true;
    if (m.can_be_probed() && now - m.heard > params_.report_period) probe(m, now);
  }
  // That a machine doesn't answer says something only while others of its zone do.
  for (auto& [name, zone] : zones)
    if (zone.probing && zone.witness && now - commands_answered(name) > kProbeInterval)
      probe(*zone.witness, now);
}

void Part::probe(Machine& m, Instant now) {
  if (m.probed && now - *m.probed < kProbeInterval) return;
  m.retry_at = now;
  touch(m);
}

Instant Part::commands_answered(const Zone& zone) const {
  auto it = commands_answered_.find(zone);
  return it == commands_answered_.end() ? Instant{} : it->second;
}

// Silent beyond what a late report and a worker's own patience with a controller explain, while neither
// commands nor probes were answered, and commands to other machines of its zone were.
bool Part::hangs(const Machine& m, Instant now) const {
  if (!m.reported || !m.unanswered_since || m.unanswered < kUnansweredProbes) return false;
  return now - m.heard > late_after() + kAnswerPatience && now - *m.unanswered_since > kAnswerPatience &&
         commands_answered(m.zone) > *m.unanswered_since;
}

bool Part::out_of_touch(const Machine& m, Duration patience, Instant now) const {
  auto doubted = m.in_doubt_since();
  return now - m.last_report > patience || (doubted && now - *doubted > patience);
}

bool Part::settled(Instant now) const {
  return rebuilt_ && std::none_of(machines_.begin(), machines_.end(),
                                  [&](const auto& m) { return out_of_touch(m.second, m.second.quiet, now); });
}

// More machines of a zone out of touch than single failures explain: rather this node is cut off from it. So
// it is when their reports come by way of other controllers only, while commands don't get through: found on
// a day when an owner that had lost its workers deleted some sixty sound ones, one after the other.
std::set<Zone> Part::cut_off_zones(Instant now) const {
  std::map<Zone, std::pair<std::size_t, std::size_t>> count;  // out of touch, all
  for (const auto& [name, m] : machines_) {
    auto& [out, all] = count[m.zone];
    ++all;
    bool relayed_only = m.relayed_since && now - *m.relayed_since > m.quiet;
    if (out_of_touch(m, m.quiet, now) || relayed_only) ++out;
  }
  std::set<Zone> zones;
  for (const auto& [zone, n] : count)
    if (n.first >= 3 && n.first * 2 > n.second) zones.insert(zone);
  return zones;
}

// Since when this node could hear the machines of the zone.
Instant Part::in_reach_since(const Zone& zone) const {
  auto it = cut_off_.find(zone);
  return it == cut_off_.end() ? listening_since_ : std::max(listening_since_, it->second);
}

}  // namespace beaconsill::part
