#include "sim/heartbeats.h"

#include <algorithm>

namespace beaconsill::sim {
namespace {
constexpr Duration kFresh = std::chrono::milliseconds(1700);
constexpr std::size_t kMaxSent = 32;
}  // namespace

wire::Heartbeat Heartbeats::next(int to, Instant now) {
  auto& p = peers_[static_cast<std::size_t>(to)];
  wire::Heartbeat h;
  h.sequence = ++sequence_;
  h.echo = p.last_sequence;
  p.sent.emplace_back(h.sequence, now);
  if (p.sent.size() > kMaxSent) p.sent.pop_front();
  return h;
}

void Heartbeats::on_heartbeat(int from, const wire::Heartbeat& h) {
  for (const auto& t : h.terms) {
    auto& known = owners_[t.part];
    if (t.term > known.term) known = {from, t.term};
  }
  auto& p = peers_[static_cast<std::size_t>(from)];
  p.last_sequence = h.sequence;
  auto s = std::find_if(p.sent.begin(), p.sent.end(), [&](const auto& x) { return x.first == h.echo; });
  if (s == p.sent.end() || s->second < p.echoed) return;
  p.echoed = s->second;
  p.told = h.told;
  p.sent.erase(p.sent.begin(), s);
}

Instant Heartbeats::word(Revision known, Instant now) const {
  Instant w = now;
  for (int n = 0; n < kControllers; ++n) {
    if (n == node_) continue;
    const auto& p = peers_[static_cast<std::size_t>(n)];
    if (p.told > known) return Instant{};
    w = std::min(w, p.echoed);
  }
  return w;
}

bool Heartbeats::reachable(int node, Instant now) const {
  return node == node_ || now - peers_[static_cast<std::size_t>(node)].echoed < kFresh;
}

std::optional<Heartbeats::Owner> Heartbeats::owner(PartId part) const {
  auto it = owners_.find(part);
  if (it == owners_.end()) return std::nullopt;
  return it->second;
}

}  // namespace beaconsill::sim
