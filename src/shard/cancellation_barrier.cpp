#include "shard/cancellation_barrier.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {
// Maximum number of sent heartbeats per peer whose echoes are still awaited.
constexpr std::size_t kMaxAwaitedHeartbeats = 64;
// Steady clocks of different machines drift apart by up to 0.05%. A received read lease is shortened by twice
// that share.
constexpr double kClockDriftMargin = 0.001;

// Returns an iterator to the first cancellation with a higher revision.
auto first_after(const std::set<protocol::CancelledJob>& jobs, Revision revision) {
  return jobs.lower_bound({Revision(revision.value() + 1), JobId(), 0});
}
}  // namespace

CancellationBarrier::CancellationBarrier(Params params, const std::vector<ControllerName>& peers,
                                         Instant started)
    : params_(params) {
  for (const auto& name : peers) peers_[name].read_lease_until = started + params_.read_lease;
}

bool CancellationBarrier::has_cancellation(const Peer& peer, const protocol::CancelledJob& job) {
  return job.revision <= peer.read_until || peer.acknowledged.contains(job);
}

protocol::CancellationSync CancellationBarrier::prepare_sync(const ControllerName& name,
                                                             std::uint64_t sequence, const LocalView& view,
                                                             Instant now) {
  auto& peer = peers_.at(name);
  protocol::CancellationSync sync;
  sync.ready = view.ready;
  if (view.ready) sync.read_until = view.read_until;
  // A peer that is not ready cannot use the list: it first reads all cancellations from the state store.
  if (view.ready && peer.ready) sync.complete = list_missing(peer, view, sync.cancelled);
  if (peer.ready && peer.last_echoed_sent_at && now - *peer.last_echoed_sent_at < params_.contact_timeout) {
    sync.read_lease = std::chrono::floor<std::chrono::milliseconds>(params_.read_lease);
    peer.read_lease_until = std::max(peer.read_lease_until, now + params_.read_lease);
  }
  peer.sent.push_back({sequence, now, sync.cancelled});
  if (peer.sent.size() > kMaxAwaitedHeartbeats) peer.sent.pop_front();
  return sync;
}

bool CancellationBarrier::list_missing(const Peer& peer, const LocalView& view,
                                       std::vector<protocol::CancelledJob>& listed) const {
  for (auto it = first_after(view.cancelled, peer.read_until); it != view.cancelled.end(); ++it) {
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
  // The peer has every cancellation that it lists.
  acknowledge(peer, sync.cancelled);
}

CancellationBarrier::NextHeartbeat CancellationBarrier::on_heartbeat(const ControllerName& name,
                                                                     const protocol::Heartbeat& heartbeat,
                                                                     const LocalView& view, Instant now) {
  auto& peer = peers_.at(name);
  const auto& sync = heartbeat.cancellation_sync;
  peer.last_received_sequence = heartbeat.sequence;
  if (sync) apply_sync(peer, *sync);
  bool should_answer = sync && !sync->cancelled.empty();
  // A heartbeat that echoes none of those sent by this process may be minutes old, so nothing but its own
  // cancellation sync is used.
  if (const auto* echoed = find_echoed(peer, heartbeat)) {
    // Versions without the cancellation barrier send no sync, and echo heartbeats whose cancellations they
    // have not read.
    if (sync) acknowledge(peer, echoed->listed);
    on_echo(peer, heartbeat, echoed->sent_at, view, now);
    should_answer |= !echoed->listed.empty() && lacks_cancellations(name, view);
  }
  return should_answer ? NextHeartbeat::kImmediate : NextHeartbeat::kPeriodic;
}

void CancellationBarrier::on_echo(Peer& peer, const protocol::Heartbeat& heartbeat, Instant echoed_sent_at,
                                  const LocalView& view, Instant now) {
  const auto& sync = heartbeat.cancellation_sync;
  if (sync) extend_completeness(peer, *sync, echoed_sent_at, view.ready, now);
  if (peer.last_echoed_sent_at && echoed_sent_at < *peer.last_echoed_sent_at) return;
  peer.last_echoed_sent_at = echoed_sent_at;
  peer.ready = sync && sync->ready;
  if (!sync) set_completeness_without_read_lease(peer, heartbeat, echoed_sent_at, view);
}

// The peer sent this heartbeat after it had received the echoed one. So the read lease that it grants lasts
// at least until the time at which the echoed heartbeat was sent plus the duration of the lease. All
// cancellations that the peer acknowledged to users before it sent this heartbeat are known here if the
// heartbeat lists all that were missing. They are also known if an earlier read lease from the same
// controller was still running when the heartbeat arrived; a restarted process of the controller honours such
// a lease as well.
void CancellationBarrier::extend_completeness(Peer& peer, const protocol::CancellationSync& sync,
                                              Instant echoed_sent_at, bool ready, Instant now) {
  bool lists_all = ready && sync.ready && sync.complete;
  bool read_lease_running = peer.complete_until && now <= *peer.complete_until;
  if (!lists_all && !read_lease_running) return;
  auto read_lease = std::chrono::duration_cast<Duration>(sync.read_lease * (1 - kClockDriftMargin));
  auto until = echoed_sent_at + read_lease;
  peer.complete_until = peer.complete_until ? std::max(*peer.complete_until, until) : until;
}

// A version without the cancellation barrier grants no read lease. All cancellations that it had acknowledged
// to users when it sent this heartbeat are known here if this controller has read up to the heartbeat's
// acknowledged_until. Cancellations that it acknowledged afterwards may be unknown here.
void CancellationBarrier::set_completeness_without_read_lease(Peer& peer,
                                                              const protocol::Heartbeat& heartbeat,
                                                              Instant echoed_sent_at, const LocalView& view) {
  bool all_read = view.ready && heartbeat.acknowledged_until <= view.read_until;
  if (all_read) {
    peer.complete_until = echoed_sent_at;
  } else if (peer.complete_until) {
    peer.complete_until = std::min(*peer.complete_until, echoed_sent_at);
  }
}

bool CancellationBarrier::may_reveal(const protocol::CancelledJob& job, const LocalView& view,
                                     Instant now) const {
  if (!view.ready) return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return has_cancellation(entry.second, job) || now > entry.second.read_lease_until;
  });
}

bool CancellationBarrier::lacks_cancellations(const ControllerName& name, const LocalView& view) const {
  const auto& peer = peers_.at(name);
  if (!view.ready || !peer.ready) return false;
  return std::any_of(first_after(view.cancelled, peer.read_until), view.cancelled.end(),
                     [&](const auto& job) { return !peer.acknowledged.contains(job); });
}

std::optional<Instant> CancellationBarrier::known_until(bool ready, Instant now) const {
  // While the state view is being reloaded it may lack cancellations that were acknowledged to users.
  if (!ready) return std::nullopt;
  auto until = now;
  for (const auto& [name, peer] : peers_) {
    if (!peer.complete_until) return std::nullopt;
    until = std::min(until, *peer.complete_until);
  }
  return until;
}

std::optional<Instant> CancellationBarrier::oldest_awaited_sent_at(const ControllerName& name) const {
  const auto& sent = peers_.at(name).sent;
  if (sent.empty()) return std::nullopt;
  return sent.front().sent_at;
}

}  // namespace beaconsill::shard
