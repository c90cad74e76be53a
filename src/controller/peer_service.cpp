#include "controller/peer_service.h"

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
constexpr Duration kFresh = std::chrono::milliseconds(1700);
constexpr Duration kReset = std::chrono::seconds(4);
// Heartbeats that don't wait for their time are this far apart, so that dozens of cancellations go in one.
constexpr Duration kGatherCancelled = std::chrono::milliseconds(20);
constexpr Duration kStateAnswers = std::chrono::milliseconds(1200);

std::vector<ControllerName> names(const std::vector<config::PeerSettings>& peers) {
  std::vector<ControllerName> out;
  out.reserve(peers.size());
  for (const auto& p : peers) out.push_back(p.controller);
  return out;
}

// Of the controller's memory, what may wait for all peers together if they stall: summaries grow with the
// machines, as the memory of a controller has to.
constexpr double kQueueShareOfMemory = 1.0 / 16;

std::size_t max_queued_bytes(const config::Settings& s) {
  auto bytes = s.memory_mb * 1024 * 1024 * kQueueShareOfMemory;
  return static_cast<std::size_t>(bytes / static_cast<double>(std::max<std::size_t>(1, s.peers.size())));
}

shard::CancellationBarrier::Params barrier_params(const config::Settings& s) {
  using shard::CancellationBarrier;
  return {CancellationBarrier::read_lease_for(from_seconds(s.cancel_s), from_seconds(s.lease_s)), kFresh};
}
}  // namespace

PeerService::PeerService(ControllerContext& ctx, Handler handler,
                         std::function<std::vector<protocol::ShardTerm>()> owned)
    : ctx_(ctx),
      handler_(std::move(handler)),
      owned_(std::move(owned)),
      send_heartbeats_(ctx.io, [this] { send_heartbeats(); }),
      soon_(ctx.io, [this] { send_due_heartbeats(); }),
      // Numbers of an earlier process of this controller must not be taken for this one's.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << 16),
      cancellation_barrier_(barrier_params(ctx.settings), names(ctx.settings.peers), ctx.now()) {
  for (const auto& p : ctx.settings.peers)
    peers_[p.controller].link = std::make_shared<net::PeerSender>(ctx.io, *net::parse_endpoint(p.address),
                                                                  max_queued_bytes(ctx.settings));
}

void PeerService::start() {
  receiver_ = std::make_shared<net::PeerReceiver>(ctx_.io, *net::parse_endpoint(ctx_.settings.peer_listen),
                                                  4 * peers_.size() + 4,
                                                  [this](std::string_view bytes) { on_message(bytes); });
  receiver_->start();
  for (auto& [name, p] : peers_) p.link->start();
  send_heartbeats_.start(kHeartbeatPeriod);
}

void PeerService::stop() {
  send_heartbeats_.stop();
  soon_.stop();
  if (receiver_) receiver_->stop();
  for (auto& [name, p] : peers_) p.link->stop();
}

shard::CancellationBarrier::Known PeerService::known() const {
  return {ctx_.watch_cache->ready(), ctx_.watch_cache->revision(), ctx_.view().cancelled()};
}

Revision PeerService::acknowledged_until() {
  if (!ctx_.watch_cache->ready()) return Revision(UINT64_MAX);
  if (!acknowledged_until_) {
    // An earlier process of this controller may have disclosed any that were read.
    const auto& cancelled = ctx_.view().cancelled();
    acknowledged_until_ = cancelled.empty() ? Revision() : cancelled.rbegin()->revision;
  }
  return *acknowledged_until_;
}

protocol::Heartbeat PeerService::heartbeat() {
  protocol::Heartbeat h;
  h.acknowledged_until = acknowledged_until();
  h.terms = owned_();
  h.state_ok = ctx_.watch_cache->ready() && ctx_.now() - ctx_.watch_cache->as_of() < kStateAnswers;
  return h;
}

void PeerService::send_heartbeat(const ControllerName& name, Peer& p, protocol::Heartbeat h) {
  p.heartbeat_due = false;
  h.sequence = ++sequence_;
  h.echo = cancellation_barrier_.received(name);
  h.cancellation_sync = cancellation_barrier_.outgoing(name, h.sequence, known(), ctx_.now());
  send(name, std::move(h));
}

void PeerService::send_heartbeats() {
  auto now = ctx_.now();
  auto h = heartbeat();
  for (auto& [name, p] : peers_) {
    auto oldest = cancellation_barrier_.oldest_sent(name);
    if (p.link->connected() && now - cancellation_barrier_.echoed(name) > kReset && oldest &&
        now - *oldest > kReset) {
      cancellation_barrier_.forget_sent(name);
      p.link->reset();
    }
    send_heartbeat(name, p, h);
  }
}

void PeerService::schedule_heartbeat(Peer& p) {
  p.heartbeat_due = true;
  if (!soon_.pending()) soon_.set(std::max(Duration(0), last_unscheduled_ + kGatherCancelled - ctx_.now()));
}

void PeerService::send_due_heartbeats() {
  last_unscheduled_ = ctx_.now();
  auto h = heartbeat();
  for (auto& [name, p] : peers_)
    if (p.heartbeat_due) send_heartbeat(name, p, h);
}

void PeerService::on_view(const state_store::StateView::ChangeSet& t) {
  bool cancelled = std::any_of(t.jobs.begin(), t.jobs.end(), [&](const JobId& id) {
    return ctx_.view().end(id) == state_store::TerminalState::kCancelled;
  });
  if (!cancelled) return;
  for (auto& [name, p] : peers_)
    if (reachable(name) && cancellation_barrier_.lacks_cancellations(name, known())) schedule_heartbeat(p);
}

bool PeerService::may_acknowledge_cancellation(const JobId& id) {
  auto revision = ctx_.view().terminal_revision(id);
  const auto& cancelled = ctx_.view().cancelled();
  // One transaction may have cancelled several jobs.
  auto first = cancelled.lower_bound({revision, JobId(), 0});
  auto last = first;
  for (; last != cancelled.end() && last->revision == revision; ++last)
    if (!cancellation_barrier_.may_acknowledge(*last, known(), ctx_.now())) return false;
  if (first == last) return false;
  acknowledged_until_ = std::max(acknowledged_until(), revision);
  return true;
}

void PeerService::on_message(std::string_view bytes) {
  auto m = protocol::decode_peer(bytes);
  if (!m || !peers_.contains(m->from)) {
    spdlog::info("message of an unknown peer, or malformed: dropped");
    return;
  }
  const auto* h = std::get_if<protocol::Heartbeat>(&m->body);
  if (!h) return handler_(*m);
  for (const auto& t : h->terms) {
    auto& known = owners_[t.shard];
    if (t.term > known.term) known = {m->from, t.term};
  }
  if (!h->terms.empty()) handler_(*m);
  on_heartbeat(m->from, *h);
}

void PeerService::on_heartbeat(const ControllerName& from, const protocol::Heartbeat& h) {
  auto& p = peers_.at(from);
  // Before anything is sent that acknowledges them.
  if (h.cancellation_sync) ctx_.watch_cache->apply_cancelled(h.cancellation_sync->cancelled);
  auto echoed = cancellation_barrier_.echoed(from);
  if (cancellation_barrier_.on_heartbeat(from, h, known(), ctx_.now())) schedule_heartbeat(p);
  if (cancellation_barrier_.echoed(from) >= echoed) p.state_ok = h.state_ok;
}

void PeerService::send(const ControllerName& to, protocol::PeerPayload body) {
  auto it = peers_.find(to);
  if (it == peers_.end()) return;
  it->second.link->send(protocol::encode_peer({ctx_.settings.controller, std::move(body)}));
}

void PeerService::broadcast(const protocol::PeerPayload& body) {
  auto bytes = protocol::encode_peer({ctx_.settings.controller, body});
  for (auto& [name, p] : peers_) p.link->send(bytes);
}

bool PeerService::reachable(const ControllerName& controller) const {
  if (controller == ctx_.settings.controller) return true;
  return peers_.contains(controller) && ctx_.now() - cancellation_barrier_.echoed(controller) < kFresh;
}

Instant PeerService::cancellations_known_until() const {
  return cancellation_barrier_.known_until(ctx_.watch_cache->ready(), ctx_.now());
}

std::optional<PeerService::Owner> PeerService::owner(ShardId shard) const {
  auto it = owners_.find(shard);
  if (it == owners_.end()) return std::nullopt;
  return it->second;
}

bool PeerService::others_reach_state_store() const {
  for (const auto& [name, p] : peers_)
    if (reachable(name) && p.state_ok) return true;
  return false;
}

}  // namespace beaconsill::controller
