#include "node/peers.h"

#include "base/log.h"

namespace beaconsill::node {
namespace {
constexpr Duration kBeat = std::chrono::milliseconds(500);
constexpr Duration kFresh = std::chrono::milliseconds(1700);
constexpr Duration kReset = std::chrono::seconds(4);
// Heartbeats that don't wait for their time are this far apart, so that dozens of cancellations go in one.
constexpr Duration kGatherCancelled = std::chrono::milliseconds(20);
constexpr Duration kStateAnswers = std::chrono::milliseconds(1200);

std::vector<NodeName> names(const std::vector<config::PeerSettings>& peers) {
  std::vector<NodeName> out;
  out.reserve(peers.size());
  for (const auto& p : peers) out.push_back(p.node);
  return out;
}

// Of the node's memory, what may wait for all peers together if they stall: summaries grow with the machines,
// as the memory of a controller has to.
constexpr double kQueueShareOfMemory = 1.0 / 16;

std::size_t max_queued_bytes(const config::Settings& s) {
  auto bytes = s.memory_mb * 1024 * 1024 * kQueueShareOfMemory;
  return static_cast<std::size_t>(bytes / static_cast<double>(std::max<std::size_t>(1, s.peers.size())));
}

part::CancellationDisclosure::Params disclosure_params(const config::Settings& s) {
  using part::CancellationDisclosure;
  return {CancellationDisclosure::promise_for(from_seconds(s.cancel_s), from_seconds(s.lease_s)), kFresh};
}
}  // namespace

PeersDuty::PeersDuty(Context& ctx, Handler handler, std::function<std::vector<wire::PartTerm>()> owned)
    : ctx_(ctx),
      handler_(std::move(handler)),
      owned_(std::move(owned)),
      beat_(ctx.io, [this] { beat(); }),
      soon_(ctx.io, [this] { beat_hurried(); }),
      // Numbers of an earlier process of this node must not be taken for this one's.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << 16),
      disclosure_(disclosure_params(ctx.settings), names(ctx.settings.peers), ctx.now()) {
  for (const auto& p : ctx.settings.peers)
    peers_[p.node].link = std::make_shared<net::PeerSender>(ctx.io, *net::parse_endpoint(p.address),
                                                            max_queued_bytes(ctx.settings));
}

void PeersDuty::start() {
  receiver_ = std::make_shared<net::PeerReceiver>(ctx_.io, *net::parse_endpoint(ctx_.settings.peer_listen),
                                                  4 * peers_.size() + 4,
                                                  [this](std::string_view bytes) { on_message(bytes); });
  receiver_->start();
  for (auto& [name, p] : peers_) p.link->start();
  beat_.start(kBeat);
}

void PeersDuty::stop() {
  beat_.stop();
  soon_.stop();
  if (receiver_) receiver_->stop();
  for (auto& [name, p] : peers_) p.link->stop();
}

part::CancellationDisclosure::Known PeersDuty::known() const {
  return {ctx_.mirror->ready(), ctx_.mirror->revision(), ctx_.view().cancelled()};
}

Revision PeersDuty::disclosed_until() {
  if (!ctx_.mirror->ready()) return Revision(UINT64_MAX);
  if (!disclosed_) {
    // An earlier process of this node may have disclosed any that were read.
    const auto& cancelled = ctx_.view().cancelled();
    disclosed_ = cancelled.empty() ? Revision() : cancelled.rbegin()->revision;
  }
  return *disclosed_;
}

wire::Heartbeat PeersDuty::heartbeat() {
  wire::Heartbeat h;
  h.told = disclosed_until();
  h.terms = owned_();
  h.state_ok = ctx_.mirror->ready() && ctx_.now() - ctx_.mirror->as_of() < kStateAnswers;
  return h;
}

void PeersDuty::send_heartbeat(const NodeName& name, Peer& p, wire::Heartbeat h) {
  p.hurry = false;
  h.sequence = ++sequence_;
  h.echo = disclosure_.received(name);
  h.disclosure = disclosure_.outgoing(name, h.sequence, known(), ctx_.now());
  send(name, std::move(h));
}

void PeersDuty::beat() {
  auto now = ctx_.now();
  auto h = heartbeat();
  for (auto& [name, p] : peers_) {
    auto oldest = disclosure_.oldest_sent(name);
    if (p.link->connected() && now - disclosure_.echoed(name) > kReset && oldest && now - *oldest > kReset) {
      disclosure_.forget_sent(name);
      p.link->reset();
    }
    send_heartbeat(name, p, h);
  }
}

void PeersDuty::hurry(Peer& p) {
  p.hurry = true;
  if (!soon_.pending()) soon_.set(std::max(Duration(0), hurried_ + kGatherCancelled - ctx_.now()));
}

void PeersDuty::beat_hurried() {
  hurried_ = ctx_.now();
  auto h = heartbeat();
  for (auto& [name, p] : peers_)
    if (p.hurry) send_heartbeat(name, p, h);
}

void PeersDuty::on_view(const store::View::Touched& t) {
  bool cancelled = std::any_of(t.jobs.begin(), t.jobs.end(), [&](const JobId& id) {
    return ctx_.view().end(id) == store::End::kCancelled;
  });
  if (!cancelled) return;
  for (auto& [name, p] : peers_)
    if (reachable(name) && disclosure_.lacks_some(name, known())) hurry(p);
}

bool PeersDuty::disclose(const JobId& id) {
  auto revision = ctx_.view().ended_by(id);
  const auto& cancelled = ctx_.view().cancelled();
  // One transaction may have cancelled several jobs.
  auto first = cancelled.lower_bound({revision, JobId(), 0});
  auto last = first;
  for (; last != cancelled.end() && last->revision == revision; ++last)
    if (!disclosure_.may_disclose(*last, known(), ctx_.now())) return false;
  if (first == last) return false;
  disclosed_ = std::max(disclosed_until(), revision);
  return true;
}

void PeersDuty::on_message(std::string_view bytes) {
  auto m = wire::decode_peer(bytes);
  if (!m || !peers_.contains(m->from)) {
    spdlog::info("message of an unknown peer, or malformed: dropped");
    return;
  }
  const auto* h = std::get_if<wire::Heartbeat>(&m->body);
  if (!h) return handler_(*m);
  for (const auto& t : h->terms) {
    auto& known = owners_[t.part];
    if (t.term > known.term) known = {m->from, t.term};
  }
  if (!h->terms.empty()) handler_(*m);
  on_heartbeat(m->from, *h);
}

void PeersDuty::on_heartbeat(const NodeName& from, const wire::Heartbeat& h) {
  auto& p = peers_.at(from);
  // Before anything is sent that acknowledges them.
  if (h.disclosure) ctx_.mirror->apply_cancelled(h.disclosure->cancelled);
  auto echoed = disclosure_.echoed(from);
  if (disclosure_.on_heartbeat(from, h, known(), ctx_.now())) hurry(p);
  if (disclosure_.echoed(from) >= echoed) p.state_ok = h.state_ok;
}

void PeersDuty::send(const NodeName& to, wire::PeerBody body) {
  auto it = peers_.find(to);
  if (it == peers_.end()) return;
  it->second.link->send(wire::encode_peer({ctx_.settings.node, std::move(body)}));
}

void PeersDuty::broadcast(const wire::PeerBody& body) {
  auto bytes = wire::encode_peer({ctx_.settings.node, body});
  for (auto& [name, p] : peers_) p.link->send(bytes);
}

bool PeersDuty::reachable(const NodeName& node) const {
  if (node == ctx_.settings.node) return true;
  return peers_.contains(node) && ctx_.now() - disclosure_.echoed(node) < kFresh;
}

Instant PeersDuty::cancellations_known_until() const {
  return disclosure_.known_until(ctx_.mirror->ready(), ctx_.now());
}

std::optional<PeersDuty::Owner> PeersDuty::owner(PartId part) const {
  auto it = owners_.find(part);
  if (it == owners_.end()) return std::nullopt;
  return it->second;
}

bool PeersDuty::state_answers_others() const {
  for (const auto& [name, p] : peers_)
    if (reachable(name) && p.state_ok) return true;
  return false;
}

}  // namespace beaconsill::node
