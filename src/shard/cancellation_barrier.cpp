#include "shard/cancellation_barrier.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {
// Heartbeats whose echoes are waited for, for each peer.
constexpr std::size_t kMaxSent = 64;
// Steady clocks of different machines drift apart by as much as 0.05%; twice that is taken off a promise.
constexpr double kDriftMargin = 0.001;

// The first one above the revision.
auto first_after(const std::set<protocol::CancelledJob>& jobs, Revision r) {
  return jobs.lower_bound({Revision(r.value() + 1), JobId(), 0});
}
}  // namespace

CancellationBarrier::CancellationBarrier(Params params, const std::vector<ControllerName>& peers,
                                         Instant started)
    : params_(params) {
  for (const auto& name : peers) peers_[name].read_lease_until = started + params_.read_lease;
}

bool CancellationBarrier::has(const Peer& p, const protocol::CancelledJob& job) const {
  return job.revision <= p.read_until || p.acknowledged.contains(job);
}

protocol::CancellationSync CancellationBarrier::outgoing(const ControllerName& peer, std::uint64_t sequence,
                                                         const Known& known, Instant now) {
  auto& p = peers_.at(peer);
  protocol::CancellationSync d;
  d.ready = known.ready;
  if (known.ready) d.read_until = known.read_until;
  // A peer that isn't ready can conclude nothing; it reads all by itself.
  if (known.ready && p.ready) {
    d.complete = true;
    for (auto it = first_after(known.cancelled, p.read_until); it != known.cancelled.end(); ++it) {
      if (p.acknowledged.contains(*it)) continue;
      if (d.cancelled.size() == params_.max_listed) {
        d.complete = false;
        break;
      }
      d.cancelled.push_back(*it);
    }
  }
  if (p.ready && now - p.echoed < params_.in_touch) {
    d.read_lease = std::chrono::floor<std::chrono::milliseconds>(params_.read_lease);
    p.read_lease_until = std::max(p.read_lease_until, now + params_.read_lease);
  }
  p.sent.push_back({sequence, now, d.cancelled});
  if (p.sent.size() > kMaxSent) p.sent.pop_front();
  return d;
}

const CancellationBarrier::SentHeartbeat* CancellationBarrier::find_echoed(Peer& p,
                                                                           const protocol::Heartbeat& h) {
  auto sent = std::find_if(p.sent.begin(), p.sent.end(),
                           [&](const SentHeartbeat& s) { return s.sequence == h.echo; });
  if (sent == p.sent.end()) return nullptr;
  p.sent.erase(p.sent.begin(), sent);
  return &p.sent.front();
}

void CancellationBarrier::acknowledge(Peer& p, const std::vector<protocol::CancelledJob>& jobs) {
  for (const auto& job : jobs)
    if (job.revision > p.read_until) p.acknowledged.insert(job);
}

void CancellationBarrier::learn(Peer& p, const protocol::CancellationSync& d) {
  p.read_until = std::max(p.read_until, d.read_until);
  p.acknowledged.erase(p.acknowledged.begin(), first_after(p.acknowledged, p.read_until));
  // What a peer lists it has.
  acknowledge(p, d.cancelled);
}

bool CancellationBarrier::on_heartbeat(const ControllerName& peer, const protocol::Heartbeat& h,
                                       const Known& known, Instant now) {
  auto& p = peers_.at(peer);
  p.received = h.sequence;
  if (h.cancellation_sync) learn(p, *h.cancellation_sync);
  bool answer = h.cancellation_sync && !h.cancellation_sync->cancelled.empty();
  // Without an echo of a heartbeat of this process it may be minutes old.
  if (const auto* echoed = find_echoed(p, h)) {
    // A version without disclosures echoes what it hasn't read.
    if (h.cancellation_sync) acknowledge(p, echoed->listed);
    conclude(p, h, echoed->at, known, now);
    answer |= !echoed->listed.empty() && lacks_cancellations(peer, known);
  }
  return answer;
}

void CancellationBarrier::conclude(Peer& p, const protocol::Heartbeat& h, Instant echoed, const Known& known,
                                   Instant now) {
  if (h.cancellation_sync) extend_completeness(p, *h.cancellation_sync, echoed, known.ready, now);
  if (echoed < p.echoed) return;
  p.echoed = echoed;
  p.ready = h.cancellation_sync && h.cancellation_sync->ready;
  if (!h.cancellation_sync) conclude_without_read_lease(p, h, echoed, known);
}

// The heartbeat was sent after the one that it echoes, so its promise lasts until `echoed` + promise at
// least. What was disclosed before it was sent is known here if it lists all that isn't known; or if an
// earlier promise of the same controller, which a restarted process keeps as well, was still running when it
// came.
void CancellationBarrier::extend_completeness(Peer& p, const protocol::CancellationSync& d, Instant echoed,
                                              bool ready, Instant now) {
  bool lists_all = ready && d.ready && d.complete;
  if (!lists_all && now > p.complete_until) return;
  auto read_lease = std::chrono::duration_cast<Duration>(d.read_lease * (1 - kDriftMargin));
  p.complete_until = std::max(p.complete_until, echoed + read_lease);
}

// An earlier version promises nothing: all that it had disclosed when it sent this is known if it's within
// what was read here, and what it may have disclosed since isn't.
void CancellationBarrier::conclude_without_read_lease(Peer& p, const protocol::Heartbeat& h, Instant echoed,
                                                      const Known& known) {
  bool all_read = known.ready && h.acknowledged_until <= known.read_until;
  p.complete_until = all_read ? echoed : std::min(p.complete_until, echoed);
}

bool CancellationBarrier::may_acknowledge(const protocol::CancelledJob& job, const Known& known,
                                          Instant now) const {
  if (!known.ready) return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return has(entry.second, job) || now > entry.second.read_lease_until;
  });
}

bool CancellationBarrier::lacks_cancellations(const ControllerName& peer, const Known& known) const {
  const auto& p = peers_.at(peer);
  if (!known.ready || !p.ready) return false;
  return std::any_of(first_after(known.cancelled, p.read_until), known.cancelled.end(),
                     [&](const auto& job) { return !p.acknowledged.contains(job); });
}

Instant CancellationBarrier::known_until(bool ready, Instant now) const {
  // While the view is loaded anew it lacks what had been acknowledged.
  if (!ready) return {};
  auto until = now;
  for (const auto& [name, p] : peers_) until = std::min(until, p.complete_until);
  return until;
}

std::optional<Instant> CancellationBarrier::oldest_sent(const ControllerName& peer) const {
  const auto& sent = peers_.at(peer).sent;
  if (sent.empty()) return std::nullopt;
  return sent.front().at;
}

}  // namespace beaconsill::shard
