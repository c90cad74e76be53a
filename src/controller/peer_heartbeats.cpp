#include "controller/peer_heartbeats.h"

#include <algorithm>
#include <utility>

namespace beaconsill::controller {
namespace {
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
// A connection on which no heartbeat has been echoed for this long is closed and opened again.
constexpr Duration kResetTimeout = std::chrono::seconds(4);
// Minimum time between immediate heartbeats, which don't wait for the end of the period. It lets one
// heartbeat carry dozens of cancellations.
constexpr Duration kMinImmediateHeartbeatGap = std::chrono::milliseconds(20);
// This controller reports that it reaches the state store if its last read is no older than this.
constexpr Duration kMaxStateStoreReadAge = std::chrono::milliseconds(1200);

// The first sequence number of a process is the wall-clock time in milliseconds, shifted left by this many
// bits.
constexpr unsigned kSequenceShiftBits = 16;
}  // namespace

PeerHeartbeats::PeerHeartbeats(ControllerContext& ctx, PeerConnections& connections,
                               CancellationVisibility& cancellations, LedTerms led_terms)
    : ctx_(ctx),
      connections_(connections),
      cancellations_(cancellations),
      led_terms_(std::move(led_terms)),
      heartbeat_timer_(ctx.io_context, [this] { send_heartbeats(); }),
      immediate_heartbeat_timer_(ctx.io_context, [this] { send_immediate_heartbeats(); }),
      // Sequence numbers must not be confused with those of an earlier process of this controller.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << kSequenceShiftBits) {
  for (const auto& peer : ctx.settings.peers) peers_[peer.controller] = {};
}

void PeerHeartbeats::start() {
  heartbeat_timer_.start(kHeartbeatPeriod);
}

void PeerHeartbeats::stop() {
  heartbeat_timer_.stop();
  immediate_heartbeat_timer_.stop();
}

bool PeerHeartbeats::reachable(const ControllerName& controller) const {
  if (controller == ctx_.settings.controller) return true;
  if (!peers_.contains(controller)) return false;
  auto echoed_sent_at = cancellations_.last_echoed_sent_at(controller);
  return echoed_sent_at && ctx_.now() - *echoed_sent_at < kReachableTimeout;
}

bool PeerHeartbeats::any_peer_reaches_state_store() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return reachable(entry.first) && entry.second.reaches_state_store;
  });
}

std::optional<AdvertisedLeader> PeerHeartbeats::shard_leader(ShardId shard) const {
  auto it = shard_leaders_.find(shard);
  if (it == shard_leaders_.end()) return std::nullopt;
  return it->second;
}

// ---- Sending heartbeats

protocol::Heartbeat PeerHeartbeats::make_heartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.acknowledged_until = cancellations_.acknowledged_until();
  heartbeat.terms = led_terms_();
  heartbeat.reaches_state_store = ctx_.watch_cache->ready() && ctx_.view_is_newer_than(kMaxStateStoreReadAge);
  return heartbeat;
}

void PeerHeartbeats::send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat) {
  peer.immediate_heartbeat_scheduled = false;
  heartbeat.sequence = ++sequence_;
  heartbeat.echo = cancellations_.last_received_sequence(name);
  heartbeat.cancellation_sync = cancellations_.prepare_sync(name, heartbeat.sequence);
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
  auto oldest_sent_at = cancellations_.oldest_awaited_sent_at(name);
  auto echoed_sent_at = cancellations_.last_echoed_sent_at(name);
  bool unanswered = (!echoed_sent_at || now - *echoed_sent_at > kResetTimeout) && oldest_sent_at &&
                    now - *oldest_sent_at > kResetTimeout;
  if (!connections_.connected(name) || !unanswered) return;
  cancellations_.discard_sent_heartbeats(name);
  connections_.reset(name);
}

void PeerHeartbeats::schedule_immediate_heartbeat(Peer& peer) {
  peer.immediate_heartbeat_scheduled = true;
  if (immediate_heartbeat_timer_.pending()) return;
  Duration delay(0);
  if (last_immediate_heartbeats_at_)
    delay = std::max(delay, *last_immediate_heartbeats_at_ + kMinImmediateHeartbeatGap - ctx_.now());
  immediate_heartbeat_timer_.set(delay);
}

void PeerHeartbeats::send_immediate_heartbeats() {
  last_immediate_heartbeats_at_ = ctx_.now();
  auto heartbeat = make_heartbeat();
  for (auto& [name, peer] : peers_)
    if (peer.immediate_heartbeat_scheduled) send_heartbeat(name, peer, heartbeat);
}

// ---- Receiving heartbeats

void PeerHeartbeats::record_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat) {
  for (const auto& advertised : heartbeat.terms) {
    auto& leader = shard_leaders_[advertised.shard];
    if (advertised.term > leader.term) leader = {from, advertised.term};
  }
}

void PeerHeartbeats::on_heartbeat(const ControllerName& from, const protocol::Heartbeat& heartbeat) {
  auto& peer = peers_.at(from);
  auto previous_echoed_sent_at = cancellations_.last_echoed_sent_at(from);
  if (cancellations_.on_heartbeat(from, heartbeat) == CancellationVisibility::NextHeartbeat::kImmediate)
    schedule_immediate_heartbeat(peer);
  if (cancellations_.last_echoed_sent_at(from) >= previous_echoed_sent_at)
    peer.reaches_state_store = heartbeat.reaches_state_store;
}

void PeerHeartbeats::on_view(const state_store::StateView::ChangeSet& changes) {
  if (!cancellations_.contains_cancellation(changes)) return;
  for (auto& [name, peer] : peers_)
    if (reachable(name) && cancellations_.lacks_cancellations(name)) schedule_immediate_heartbeat(peer);
}

}  // namespace beaconsill::controller
