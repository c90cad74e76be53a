#include "controller/peer_heartbeats.h"

#include <algorithm>
#include <utility>

namespace beaconsill::controller {
namespace {
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
// A connection that takes heartbeats for so long without any answer is opened anew.
constexpr Duration kResetTimeout = std::chrono::seconds(4);
// Heartbeats that don't wait for the period are this far apart, so that dozens of cancellations go in one.
constexpr Duration kDueHeartbeatGap = std::chrono::milliseconds(20);
// The state store answers this controller if its last read is no older than this.
constexpr Duration kStateStoreTimeout = std::chrono::milliseconds(1200);

// Heartbeats are numbered from the wall clock's milliseconds, shifted by so many bits.
constexpr unsigned kSequenceBits = 16;
}  // namespace

PeerHeartbeats::PeerHeartbeats(ControllerContext& ctx, PeerConnections& connections,
                               CancellationVisibility& cancellations, LedTerms led_terms)
    : ctx_(ctx),
      connections_(connections),
      cancellations_(cancellations),
      led_terms_(std::move(led_terms)),
      heartbeat_timer_(ctx.io_context, [this] { send_heartbeats(); }),
      due_heartbeats_timer_(ctx.io_context, [this] { send_due_heartbeats(); }),
      // Numbers of an earlier process of this controller must not be taken for this one's.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << kSequenceBits) {
  for (const auto& peer : ctx.settings.peers) peers_[peer.controller] = {};
}

void PeerHeartbeats::start() {
  heartbeat_timer_.start(kHeartbeatPeriod);
}

void PeerHeartbeats::stop() {
  heartbeat_timer_.stop();
  due_heartbeats_timer_.stop();
}

bool PeerHeartbeats::reachable(const ControllerName& controller) const {
  if (controller == ctx_.settings.controller) return true;
  if (!peers_.contains(controller)) return false;
  auto echoed = cancellations_.echoed(controller);
  return echoed && ctx_.now() - *echoed < kReachableTimeout;
}

bool PeerHeartbeats::others_reach_state_store() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return reachable(entry.first) && entry.second.reaches_state_store;
  });
}

std::optional<AdvertisedLeader> PeerHeartbeats::shard_leader(ShardId shard) const {
  auto it = shard_leaders_.find(shard);
  if (it == shard_leaders_.end()) return std::nullopt;
  return it->second;
}

// ---- Heartbeats sent

protocol::Heartbeat PeerHeartbeats::make_heartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.acknowledged_until = cancellations_.acknowledged_until();
  heartbeat.terms = led_terms_();
  heartbeat.reaches_state_store = ctx_.watch_cache->ready() && ctx_.view_is_newer_than(kStateStoreTimeout);
  return heartbeat;
}

void PeerHeartbeats::send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat) {
  peer.heartbeat_due = false;
  heartbeat.sequence = ++sequence_;
  heartbeat.echo = cancellations_.received(name);
  heartbeat.cancellation_sync = cancellations_.outgoing(name, heartbeat.sequence);
  connections_.send(name, std::move(heartbeat));
}

void PeerHeartbeats::send_heartbeats() {
  auto heartbeat = make_heartbeat();
  for (auto& [name, peer] : peers_) {
    reset_if_unanswered(name);
    send_heartbeat(name, peer, heartbeat);
  }
}

void PeerHeartbeats::reset_if_unanswered(const ControllerName& name) {
  auto now = ctx_.now();
  auto oldest_sent = cancellations_.oldest_sent(name);
  auto echoed = cancellations_.echoed(name);
  bool unanswered =
      (!echoed || now - *echoed > kResetTimeout) && oldest_sent && now - *oldest_sent > kResetTimeout;
  if (!connections_.connected(name) || !unanswered) return;
  cancellations_.forget_sent(name);
  connections_.reset(name);
}

void PeerHeartbeats::schedule_heartbeat(Peer& peer) {
  peer.heartbeat_due = true;
  if (due_heartbeats_timer_.pending()) return;
  Duration delay(0);
  if (last_due_heartbeats_) delay = std::max(delay, *last_due_heartbeats_ + kDueHeartbeatGap - ctx_.now());
  due_heartbeats_timer_.set(delay);
}

void PeerHeartbeats::send_due_heartbeats() {
  last_due_heartbeats_ = ctx_.now();
  auto heartbeat = make_heartbeat();
  for (auto& [name, peer] : peers_)
    if (peer.heartbeat_due) send_heartbeat(name, peer, heartbeat);
}

// ---- Heartbeats received

void PeerHeartbeats::note_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat) {
  for (const auto& advertised : heartbeat.terms) {
    auto& leader = shard_leaders_[advertised.shard];
    if (advertised.term > leader.term) leader = {from, advertised.term};
  }
}

void PeerHeartbeats::on_heartbeat(const ControllerName& from, const protocol::Heartbeat& heartbeat) {
  auto& peer = peers_.at(from);
  auto echoed = cancellations_.echoed(from);
  if (cancellations_.on_heartbeat(from, heartbeat) == CancellationVisibility::NextHeartbeat::kImmediate)
    schedule_heartbeat(peer);
  if (cancellations_.echoed(from) >= echoed) peer.reaches_state_store = heartbeat.reaches_state_store;
}

void PeerHeartbeats::on_view(const state_store::StateView::ChangeSet& changes) {
  if (!cancellations_.has_cancelled(changes)) return;
  for (auto& [name, peer] : peers_)
    if (reachable(name) && cancellations_.lacks_cancellations(name)) schedule_heartbeat(peer);
}

}  // namespace beaconsill::controller
