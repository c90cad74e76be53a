#include "sim/network.h"

namespace beaconsill::sim {
namespace {

std::optional<Cut> first(std::optional<Cut> a, std::optional<Cut> b) {
  return a ? a : b;
}

}  // namespace

void Network::start(int node) {
  auto& p = at(node);
  p.up = true;
  ++p.life;
  p.still_until = 0;
  p.still_at.reset();
}

void Network::stand_still_at(int node, Await await, double for_s) {
  at(node).still_at = {await, for_s};
}

void Network::run(int node, std::uint64_t life, Await await, std::function<void()> f) {
  auto& p = at(node);
  if (!p.up || p.life != life) return;
  if (p.still_at && p.still_at->first == await) {
    p.still_until = queue_.now() + p.still_at->second;
    p.still_at.reset();
  }
  if (queue_.now() >= p.still_until) return f();
  // Events at one time happen in the order in which they were queued.
  queue_.at(p.still_until, [this, node, life, await, f = std::move(f)] { run(node, life, await, f); });
}

void Network::later(int node, double d, Await await, std::function<void()> f) {
  queue_.after(d, [this, node, life = life(node), await, f = std::move(f)] { run(node, life, await, f); });
}

std::optional<Cut> Network::active(const Cut& c) const {
  if (queue_.now() >= c.until) return std::nullopt;
  return c;
}

std::optional<Cut> Network::leaving(const Zone& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? std::nullopt : active(it->second);
}

std::optional<Cut> Network::between(const Zone& a, const Zone& b) const {
  if (a == b) return std::nullopt;
  return first(leaving(a), leaving(b));
}

std::optional<Cut> Network::way_to_state(int node) const {
  return first(active(at(node).state), leaving(node_zone(node)));
}

std::optional<Cut> Network::way_between(int node, int other) const {
  return first(first(active(at(node).peers), active(at(other).peers)),
               between(node_zone(node), node_zone(other)));
}

std::optional<Cut> Network::way_to_worker(int node, const Zone& zone) const {
  return first(active(at(node).workers), between(node_zone(node), zone));
}

std::optional<Cut> Network::way_to_user(int node) const {
  return first(active(at(node).users), leaving(node_zone(node)));
}

void Network::peer(int from, int to, std::function<void()> f) {
  if (from == to) return f();
  auto arrive = [this, to, f] { run(to, Await::kPeer, f); };
  if (auto cut = way_between(from, to)) {
    if (cut->hold) queue_.at(cut->until + queue_.uniform(0, 0.5), arrive);
    return;
  }
  if (queue_.mishap(0.01) || lost_.hits(queue_)) return;
  if (delayed_.hits(queue_)) {
    queue_.after(queue_.uniform(0.5, 40), arrive);
  } else {
    queue_.after(queue_.uniform(0.001, 0.02), arrive);
  }
  if (queue_.mishap(0.03) || delayed_.hits(queue_)) queue_.after(queue_.uniform(0.5, 40), arrive);
}

}  // namespace beaconsill::sim
