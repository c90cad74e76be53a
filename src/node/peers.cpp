#include "node/peers.h"

#include "base/log.h"

namespace beaconsill::node {
namespace {
constexpr Duration kBeat = std::chrono::milliseconds(500);
constexpr Duration kFresh = std::chrono::milliseconds(1700);
constexpr Duration kReset = std::chrono::seconds(4);
constexpr std::size_t kMaxSent = 32;
}  // namespace

PeersDuty::PeersDuty(Context& ctx, Handler handler, std::function<std::vector<wire::PartTerm>()> owned)
    : ctx_(ctx),
      handler_(std::move(handler)),
      owned_(std::move(owned)),
      beat_(ctx.io, [this] { beat(); }),
      // Numbers of an earlier process of this node must not be taken for this one's.
      sequence_(static_cast<std::uint64_t>(ctx.clock.wall().value()) << 16) {
  for (const auto& p : ctx.settings.peers)
    peers_[p.node].link = std::make_shared<net::PeerSender>(ctx.io, *net::parse_endpoint(p.address));
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
  if (receiver_) receiver_->stop();
  for (auto& [name, p] : peers_) p.link->stop();
}

void PeersDuty::beat() {
  auto now = ctx_.now();
  wire::Heartbeat h;
  // An earlier process of this node may have told more than this one knows, until it has read everything.
  h.told = ctx_.mirror->ready() ? told_ : Revision(UINT64_MAX);
  h.terms = owned_();
  h.state_ok = ctx_.mirror->ready() && now - ctx_.mirror->word() < std::chrono::milliseconds(1200);
  for (auto& [name, p] : peers_) {
    h.sequence = ++sequence_;
    h.echo = p.last_sequence;
    p.sent.emplace_back(h.sequence, now);
    if (p.sent.size() > kMaxSent) p.sent.pop_front();
    if (p.link->connected() && now - p.echoed > kReset && now - p.sent.front().second > kReset) {
      p.sent.clear();
      p.link->reset();
    }
    send(name, h);
  }
}

void PeersDuty::on_message(std::string_view bytes) {
  auto m = wire::decode_peer(bytes);
  auto it = m ? peers_.find(m->from) : peers_.end();
  if (it == peers_.end()) {
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
  auto& p = it->second;
  p.last_sequence = h->sequence;
  for (auto s = p.sent.begin(); s != p.sent.end(); ++s) {
    if (s->first != h->echo) continue;
    if (s->second < p.echoed) break;
    p.echoed = s->second;
    p.told = h->told;
    p.state_ok = h->state_ok;
    p.sent.erase(p.sent.begin(), s);
    break;
  }
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
  auto it = peers_.find(node);
  return it != peers_.end() && ctx_.now() - it->second.echoed < kFresh;
}

Instant PeersDuty::word() const {
  Instant w = ctx_.now();
  for (const auto& [name, p] : peers_) {
    if (p.told > ctx_.mirror->revision()) return Instant{};
    w = std::min(w, p.echoed);
  }
  return w;
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
