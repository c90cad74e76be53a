#include "controller/cancellation_visibility.h"

#include <algorithm>
#include <vector>

namespace beaconsill::controller {
namespace {
std::vector<ControllerName> controller_names(const std::vector<config::PeerSettings>& peers) {
  std::vector<ControllerName> names;
  names.reserve(peers.size());
  for (const auto& peer : peers) names.push_back(peer.controller);
  return names;
}

shard::CancellationBarrier::Params barrier_params(const config::Settings& settings,
                                                  Duration contact_timeout) {
  auto read_lease = shard::CancellationBarrier::read_lease_for(from_seconds(settings.cancel_s),
                                                               from_seconds(settings.lease_s));
  return {read_lease, contact_timeout};
}
}  // namespace

CancellationVisibility::CancellationVisibility(ControllerContext& ctx, Duration contact_timeout)
    : ctx_(ctx),
      barrier_(barrier_params(ctx.settings, contact_timeout), controller_names(ctx.settings.peers),
               ctx.now()) {}

shard::CancellationBarrier::LocalView CancellationVisibility::local_view() const {
  return {ctx_.watch_cache->ready(), ctx_.watch_cache->revision(), ctx_.view().cancelled()};
}

bool CancellationVisibility::may_reveal(const JobId& id) {
  auto revision = ctx_.view().terminal_revision(id);
  const auto& cancelled = ctx_.view().cancelled();
  // One transaction may have cancelled several jobs; all of them have the revision of that transaction.
  auto first = cancelled.lower_bound({revision, JobId(), 0});
  auto last = first;
  for (; last != cancelled.end() && last->revision == revision; ++last)
    if (!barrier_.may_reveal(*last, local_view(), ctx_.now())) return false;
  if (first == last) return false;
  acknowledged_until_ = std::max(acknowledged_until(), revision);
  return true;
}

std::optional<Instant> CancellationVisibility::known_until() const {
  auto by_peers = barrier_.known_until(ctx_.watch_cache->ready(), ctx_.now());
  return std::max(ctx_.watch_cache->up_to_date_at(), by_peers);
}

bool CancellationVisibility::contains_cancellation(const state_store::StateView::ChangeSet& changes) const {
  return std::any_of(changes.jobs.begin(), changes.jobs.end(), [this](const JobId& id) {
    return ctx_.view().terminal_state(id) == state_store::TerminalState::kCancelled;
  });
}

Revision CancellationVisibility::acknowledged_until() {
  if (!ctx_.watch_cache->ready()) return Revision(UINT64_MAX);
  if (!acknowledged_until_) {
    // An earlier process of this controller may have reported any of the cancellations in the view to users.
    const auto& cancelled = ctx_.view().cancelled();
    acknowledged_until_ = cancelled.empty() ? Revision() : cancelled.rbegin()->revision;
  }
  return *acknowledged_until_;
}

CancellationVisibility::NextHeartbeat CancellationVisibility::on_heartbeat(
    const ControllerName& peer, const protocol::Heartbeat& heartbeat) {
  // The cancellations are applied before any heartbeat is sent that acknowledges them to the peer.
  if (heartbeat.cancellation_sync) ctx_.watch_cache->apply_cancelled(heartbeat.cancellation_sync->cancelled);
  return barrier_.on_heartbeat(peer, heartbeat, local_view(), ctx_.now());
}

}  // namespace beaconsill::controller
