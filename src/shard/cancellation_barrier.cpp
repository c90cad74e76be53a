#include "shard/cancellation_barrier.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {
// Heartbeats whose echoes are awaited, for each peer.
constexpr std::size_t kMaxSent = 64;
// Steady clocks of different machines drift apart by as much as 0.05%; twice that is taken off a read lease.
constexpr double kDriftMargin = 0.001;

// The first one above the revision.
auto first_after(const std::set<protocol::CancelledJob>& jobs, Revision revision) {
  return jobs.lower_bound({Revision(revision.value() + 1), JobId(), 0});
}
}  // namespace

CancellationBarrier::CancellationBarrier(Params params, const std::vector<ControllerName>& peers,
                                         Instant started)
    : params_(params) {
  for (const auto& name : peers) peers_[name].read_lease_until = started + params_.read_lease;
}

bool CancellationBarrier::has(const Peer& peer, const protocol::CancelledJob& job) {
  return job.revision <= peer.read_until || peer.acknowledged.contains(job);
}

protocol::CancellationSync CancellationBarrier::outgoing(const ControllerName& name, std::uint64_t sequence,
                                                         const Known& known, Instant now) {
  auto& peer = peers_.at(name);
  protocol::CancellationSync sync;
  sync.ready = known.ready;
  if (known.ready) sync.read_until = known.read_until;
  // A peer that isn't ready can conclude nothing; it reads all by itself.
  if (known.ready && peer.ready) sync.complete = list_missing(peer, known, sync.cancelled);
  if (peer.ready && peer.echoed && now - *peer.echoed < params_.contact_timeout) {
    sync.read_lease = std::chrono::floor<std::chrono::milliseconds>(params_.read_lease);
    peer.read_lease_until = std::max(peer.read_lease_until, now + params_.read_lease);
  }
  peer.sent.push_back({sequence, now, sync.cancelled});
  if (peer.sent.size() > kMaxSent) peer.sent.pop_front();
  return sync;
}

bool CancellationBarrier::list_missing(const Peer& peer, const Known& known,
                                       std::vector<protocol::CancelledJob>& listed) const {
  for (auto it = first_after(known.cancelled, peer.read_until); it != known.cancelled.end(); ++it) {
    if (peer.acknowledged.contains(*it)) continue;
    if (listed.size() == params_.max_listed) return false;
    listed.push_back(*it);
  }
  return true;
}

const CancellationBarrier::SentHeartbeat* CancellationBarrier::find_echoed(
    Peer& peer, const protocol::Heartbeat& heartbeat) {
  auto echoed = std::find_if(peer.sent.begin(), peer.sent.end(),
                             [&](const SentHeartbeat& sent) { return sent.sequence == heartbeat.echo; });
  if (echoed == peer.sent.end()) return nullptr;
  peer.sent.erase(peer.sent.begin(), echoed);
  return &peer.sent.front();
}

void CancellationBarrier::acknowledge(Peer& peer, const std::vector<protocol::CancelledJob>& jobs) {
  for (const auto& job : jobs)
    if (job.revision > peer.read_until) peer.acknowledged.insert(job);
}

void CancellationBarrier::apply_sync(Peer& peer, const protocol::CancellationSync& sync) {
  peer.read_until = std::max(peer.read_until, sync.read_until);
  peer.acknowledged.erase(peer.acknowledged.begin(), first_after(peer.acknowledged, peer.read_until));
  // What a peer lists it has.
  acknowledge(peer, sync.cancelled);
}

CancellationBarrier::NextHeartbeat CancellationBarrier::on_heartbeat(const ControllerName& name,
                                                                     const protocol::Heartbeat& heartbeat,
                                                                     const Known& known, Instant now) {
  auto& peer = peers_.at(name);
  const auto& sync = heartbeat.cancellation_sync;
  peer.received = heartbeat.sequence;
  if (sync) apply_sync(peer, *sync);
  bool should_answer = sync && !sync->cancelled.empty();
  // Without an echo of a heartbeat of this process it may be minutes old.
  if (const auto* echoed = find_echoed(peer, heartbeat)) {
    // A version without the barrier echoes what it hasn't read.
    if (sync) acknowledge(peer, echoed->listed);
    on_echo(peer, heartbeat, echoed->sent_at, known, now);
    should_answer |= !echoed->listed.empty() && lacks_cancellations(name, known);
  }
  return should_answer ? NextHeartbeat::kAtOnce : NextHeartbeat::kPeriodic;
}

void CancellationBarrier::on_echo(Peer& peer, const protocol::Heartbeat& heartbeat, Instant echoed_sent_at,
                                  const Known& known, Instant now) {
  const auto& sync = heartbeat.cancellation_sync;
  if (sync) extend_completeness(peer, *sync, echoed_sent_at, known.ready, now);
  if (peer.echoed && echoed_sent_at < *peer.echoed) return;
  peer.echoed = echoed_sent_at;
  peer.ready = sync && sync->ready;
  if (!sync) set_completeness_without_read_lease(peer, heartbeat, echoed_sent_at, known);
}

// The heartbeat was sent after the one that it echoes, so its read lease lasts until that was sent + the read
// lease at least. What was acknowledged to users before it was sent is known here if it lists all that isn't
// known; or if an earlier read lease by the same controller, which a restarted process keeps as well, was
// still running when it came.
void CancellationBarrier::extend_completeness(Peer& peer, const protocol::CancellationSync& sync,
                                              Instant echoed_sent_at, bool ready, Instant now) {
  bool lists_all = ready && sync.ready && sync.complete;
  bool read_lease_running = peer.complete_until && now <= *peer.complete_until;
  if (!lists_all && !read_lease_running) return;
  auto read_lease = std::chrono::duration_cast<Duration>(sync.read_lease * (1 - kDriftMargin));
  auto until = echoed_sent_at + read_lease;
  peer.complete_until = peer.complete_until ? std::max(*peer.complete_until, until) : until;
}

// A version without the barrier grants no read lease: all that it had acknowledged to users when it sent this
// is known if it's within what was read here, and what it may have acknowledged since isn't.
void CancellationBarrier::set_completeness_without_read_lease(Peer& peer,
                                                              const protocol::Heartbeat& heartbeat,
                                                              Instant echoed_sent_at, const Known& known) {
  bool all_read = known.ready && heartbeat.acknowledged_until <= known.read_until;
  if (all_read) {
    peer.complete_until = echoed_sent_at;
  } else if (peer.complete_until) {
    peer.complete_until = std::min(*peer.complete_until, echoed_sent_at);
  }
}

bool CancellationBarrier::may_reveal(const protocol::CancelledJob& job, const Known& known,
                                     Instant now) const {
  if (!known.ready) return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return has(entry.second, job) || now > entry.second.read_lease_until;
  });
}

bool CancellationBarrier::lacks_cancellations(const ControllerName& name, const Known& known) const {
  const auto& peer = peers_.at(name);
  if (!known.ready || !peer.ready) return false;
  return std::any_of(first_after(known.cancelled, peer.read_until), known.cancelled.end(),
                     [&](const auto& job) { return !peer.acknowledged.contains(job); });
}

std::optional<Instant> CancellationBarrier::known_until(bool ready, Instant now) const {
  // While the view is loaded anew it lacks what had been acknowledged.
  if (!ready) return std::nullopt;
  auto until = now;
  for (const auto& [name, peer] : peers_) {
    if (!peer.complete_until) return std::nullopt;
    until = std::min(until, *peer.complete_until);
  }
  return until;
}

std::optional<Instant> CancellationBarrier::oldest_sent(const ControllerName& name) const {
  const auto& sent = peers_.at(name).sent;
  if (sent.empty()) return std::nullopt;
  return sent.front().sent_at;
}

}  // namespace beaconsill::shard
