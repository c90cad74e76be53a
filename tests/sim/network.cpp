#include "sim/network.h"

namespace beaconsill::sim {
namespace {

std::optional<Cut> first(std::optional<Cut> a, std::optional<Cut> b) {
  return a ? a : b;
}

}  // namespace

void Network::start(int controller) {
  auto& p = at(controller);
  p.up = true;
  ++p.life;
  p.still_until = 0;
  p.still_at.reset();
}

void Network::stand_still_at(int controller, Await await, double for_s) {
  at(controller).still_at = {await, for_s};
}

void Network::run(int controller, std::uint64_t life, Await await, std::function<void()> f) {
  auto& p = at(controller);
  if (!p.up || p.life != life) return;
  if (p.still_at && p.still_at->first == await) {
    p.still_until = queue_.now() + p.still_at->second;
    p.still_at.reset();
  }
  if (queue_.now() >= p.still_until) return f();
  // Events at one time happen in the order in which they were queued.
  queue_.at(p.still_until,
            [this, controller, life, await, f = std::move(f)] { run(controller, life, await, f); });
}

void Network::later(int controller, double d, Await await, std::function<void()> f) {
  queue_.after(d, [this, controller, life = life(controller), await, f = std::move(f)] {
    run(controller, life, await, f);
  });
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

std::optional<Cut> Network::way_to_state(int controller) const {
  return first(active(at(controller).state), leaving(controller_zone(controller)));
}

std::optional<Cut> Network::way_between(int controller, int other) const {
  return first(first(active(at(controller).peers), active(at(other).peers)),
               between(controller_zone(controller), controller_zone(other)));
}

std::optional<Cut> Network::way_to_worker(int controller, const Zone& zone) const {
  return first(active(at(controller).workers), between(controller_zone(controller), zone));
}

std::optional<Cut> Network::way_to_user(int controller) const {
  return first(active(at(controller).users), leaving(controller_zone(controller)));
}

void Network::peer(int from, int to, std::function<void()> f) {
  if (from == to) return f();
  auto arrive = [this, to, f] { run(to, Await::kPeer, f); };
  if (auto cut = way_between(from, to)) {
    if (cut->lease) queue_.at(cut->until + queue_.uniform(0, 0.5), arrive);
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
