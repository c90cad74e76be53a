#include "controller/peer_service.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
// A peer is reachable for so long after it has answered a heartbeat.
constexpr Duration kReachableTimeout = std::chrono::milliseconds(1700);
// A connection that takes heartbeats for so long without any answer is opened anew.
constexpr Duration kResetTimeout = std::chrono::seconds(4);
// Heartbeats that don't wait for the period are this far apart, so that dozens of cancellations go in one.
constexpr Duration kDueHeartbeatGap = std::chrono::milliseconds(20);
// The state store answers this controller if its last read is no older than this.
constexpr Duration kStateStoreTimeout = std::chrono::milliseconds(1200);

// Of the controller's memory, what may be queued for all peers together if they stall: summaries grow with
// the number of machines, as the memory of a controller has to.
constexpr double kQueueShareOfMemory = 1.0 / 16;
constexpr double kBytesPerMegabyte = 1024 * 1024;

// Heartbeats are numbered from the wall clock's milliseconds, shifted by so many bits.
constexpr unsigned kSequenceBits = 16;

std::vector<ControllerName> controller_names(const std::vector<config::PeerSettings>& peers) {
  std::vector<ControllerName> names;
  names.reserve(peers.size());
  for (const auto& peer : peers) names.push_back(peer.controller);
  return names;
}

std::size_t max_queued_bytes(const config::Settings& settings) {
  auto bytes = settings.memory_mb * kBytesPerMegabyte * kQueueShareOfMemory;
  return static_cast<std::size_t>(bytes /
                                  static_cast<double>(std::max<std::size_t>(1, settings.peers.size())));
}

shard::CancellationBarrier::Params barrier_params(const config::Settings& settings) {
  auto read_lease = shard::CancellationBarrier::read_lease_for(from_seconds(settings.cancel_s),
                                                               from_seconds(settings.lease_s));
  return {read_lease, kReachableTimeout};
}
}  // namespace

PeerService::PeerService(ControllerContext& ctx, MessageHandler on_message, LedTerms led_terms)
    : ctx_(ctx),
      on_message_(std::move(on_message)),
      led_terms_(std::move(led_terms)),
      heartbeat_timer_(ctx.io, [this] { send_heartbeats(); }),
      due_heartbeats_timer_(ctx.io, [this] { send_due_heartbeats(); }),
      // Numbers of an earlier process of this controller must not be taken for this one's.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << kSequenceBits),
      cancellation_barrier_(barrier_params(ctx.settings), controller_names(ctx.settings.peers), ctx.now()) {
  for (const auto& peer : ctx.settings.peers)
    peers_[peer.controller].link = std::make_shared<net::PeerSender>(
        ctx.io, *net::parse_endpoint(peer.address), max_queued_bytes(ctx.settings));
}

void PeerService::start() {
  auto max_connections = 4 * peers_.size() + 4;
  receiver_ = std::make_shared<net::PeerReceiver>(ctx_.io, *net::parse_endpoint(ctx_.settings.peer_listen),
                                                  max_connections,
                                                  [this](std::string_view bytes) { on_bytes(bytes); });
  receiver_->start();
  for (auto& [name, peer] : peers_) peer.link->start();
  heartbeat_timer_.start(kHeartbeatPeriod);
}

void PeerService::stop() {
  heartbeat_timer_.stop();
  due_heartbeats_timer_.stop();
  if (receiver_) receiver_->stop();
  for (auto& [name, peer] : peers_) peer.link->stop();
}

void PeerService::send(const ControllerName& to, protocol::PeerPayload body) {
  auto it = peers_.find(to);
  if (it == peers_.end()) return;
  it->second.link->send(protocol::encode_peer({ctx_.settings.controller, std::move(body)}));
}

void PeerService::broadcast(const protocol::PeerPayload& body) {
  auto bytes = protocol::encode_peer({ctx_.settings.controller, body});
  for (auto& [name, peer] : peers_) peer.link->send(bytes);
}

bool PeerService::reachable(const ControllerName& controller) const {
  if (controller == ctx_.settings.controller) return true;
  if (!peers_.contains(controller)) return false;
  auto echoed = cancellation_barrier_.echoed(controller);
  return echoed && ctx_.now() - *echoed < kReachableTimeout;
}

bool PeerService::others_reach_state_store() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return reachable(entry.first) && entry.second.reaches_state_store;
  });
}

std::optional<PeerService::ShardLeader> PeerService::shard_leader(ShardId shard) const {
  auto it = shard_leaders_.find(shard);
  if (it == shard_leaders_.end()) return std::nullopt;
  return it->second;
}

// ---- Heartbeats sent

protocol::Heartbeat PeerService::make_heartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.acknowledged_until = acknowledged_until();
  heartbeat.terms = led_terms_();
  heartbeat.reaches_state_store =
      ctx_.watch_cache->ready() && ctx_.now() - ctx_.watch_cache->up_to_date_at() < kStateStoreTimeout;
  return heartbeat;
}

void PeerService::send_heartbeat(const ControllerName& name, Peer& peer, protocol::Heartbeat heartbeat) {
  peer.heartbeat_due = false;
  heartbeat.sequence = ++sequence_;
  heartbeat.echo = cancellation_barrier_.received(name);
  heartbeat.cancellation_sync =
      cancellation_barrier_.outgoing(name, heartbeat.sequence, known_cancellations(), ctx_.now());
  send(name, std::move(heartbeat));
}

void PeerService::send_heartbeats() {
  auto heartbeat = make_heartbeat();
  for (auto& [name, peer] : peers_) {
    reset_if_unanswered(name, peer);
    send_heartbeat(name, peer, heartbeat);
  }
}

void PeerService::reset_if_unanswered(const ControllerName& name, Peer& peer) {
  auto now = ctx_.now();
  auto oldest_sent = cancellation_barrier_.oldest_sent(name);
  auto echoed = cancellation_barrier_.echoed(name);
  bool unanswered =
      (!echoed || now - *echoed > kResetTimeout) && oldest_sent && now - *oldest_sent > kResetTimeout;
  if (!peer.link->connected() || !unanswered) return;
  cancellation_barrier_.forget_sent(name);
  peer.link->reset();
}

void PeerService::schedule_heartbeat(Peer& peer) {
  peer.heartbeat_due = true;
  if (due_heartbeats_timer_.pending()) return;
  due_heartbeats_timer_.set(std::max(Duration(0), last_due_heartbeats_ + kDueHeartbeatGap - ctx_.now()));
}

void PeerService::send_due_heartbeats() {
  last_due_heartbeats_ = ctx_.now();
  auto heartbeat = make_heartbeat();
  for (auto& [name, peer] : peers_)
    if (peer.heartbeat_due) send_heartbeat(name, peer, heartbeat);
}

// ---- Messages received

void PeerService::on_bytes(std::string_view bytes) {
  auto message = protocol::decode_peer(bytes);
  if (!message || !peers_.contains(message->from)) {
    spdlog::info("peer_message_dropped reason=malformed_or_unknown_controller");
    return;
  }
  if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message->body)) {
    on_heartbeat(*message, *heartbeat);
  } else {
    on_message_(*message);
  }
}

void PeerService::on_heartbeat(const protocol::PeerMessage& message, const protocol::Heartbeat& heartbeat) {
  const auto& from = message.from;
  note_shard_leaders(from, heartbeat);
  if (!heartbeat.terms.empty()) on_message_(message);
  auto& peer = peers_.at(from);
  // Before anything is sent that acknowledges them.
  if (heartbeat.cancellation_sync) ctx_.watch_cache->apply_cancelled(heartbeat.cancellation_sync->cancelled);
  auto echoed = cancellation_barrier_.echoed(from);
  auto next = cancellation_barrier_.on_heartbeat(from, heartbeat, known_cancellations(), ctx_.now());
  if (next == shard::CancellationBarrier::NextHeartbeat::kAtOnce) schedule_heartbeat(peer);
  if (cancellation_barrier_.echoed(from) >= echoed) peer.reaches_state_store = heartbeat.reaches_state_store;
}

void PeerService::note_shard_leaders(const ControllerName& from, const protocol::Heartbeat& heartbeat) {
  for (const auto& advertised : heartbeat.terms) {
    auto& leader = shard_leaders_[advertised.shard];
    if (advertised.term > leader.term) leader = {from, advertised.term};
  }
}

// ---- Cancellations

shard::CancellationBarrier::Known PeerService::known_cancellations() const {
  return {ctx_.watch_cache->ready(), ctx_.watch_cache->revision(), ctx_.view().cancelled()};
}

Revision PeerService::acknowledged_until() {
  if (!ctx_.watch_cache->ready()) return Revision(UINT64_MAX);
  if (!acknowledged_until_) {
    // An earlier process of this controller may have acknowledged any that were read.
    const auto& cancelled = ctx_.view().cancelled();
    acknowledged_until_ = cancelled.empty() ? Revision() : cancelled.rbegin()->revision;
  }
  return *acknowledged_until_;
}

void PeerService::on_view(const state_store::StateView::ChangeSet& changes) {
  bool cancelled = std::any_of(changes.jobs.begin(), changes.jobs.end(), [&](const JobId& id) {
    return ctx_.view().terminal_state(id) == state_store::TerminalState::kCancelled;
  });
  if (!cancelled) return;
  for (auto& [name, peer] : peers_)
    if (reachable(name) && cancellation_barrier_.lacks_cancellations(name, known_cancellations()))
      schedule_heartbeat(peer);
}

bool PeerService::may_reveal_cancellation(const JobId& id) {
  auto revision = ctx_.view().terminal_revision(id);
  const auto& cancelled = ctx_.view().cancelled();
  // One transaction may have cancelled several jobs.
  auto first = cancelled.lower_bound({revision, JobId(), 0});
  auto last = first;
  for (; last != cancelled.end() && last->revision == revision; ++last)
    if (!cancellation_barrier_.may_reveal(*last, known_cancellations(), ctx_.now())) return false;
  if (first == last) return false;
  acknowledged_until_ = std::max(acknowledged_until(), revision);
  return true;
}

Instant PeerService::cancellations_known_until() const {
  auto up_to_date_at = ctx_.watch_cache->up_to_date_at();
  auto by_peers = cancellation_barrier_.known_until(ctx_.watch_cache->ready(), ctx_.now());
  return by_peers ? std::max(up_to_date_at, *by_peers) : up_to_date_at;
}

}  // namespace beaconsill::controller
