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
  ++p.incarnation;
  p.paused_until = 0;
  p.pause_before.reset();
}

void Network::pause_before(int controller, CallbackKind kind, double duration_s) {
  at(controller).pause_before = {kind, duration_s};
}

void Network::run(int controller, std::uint64_t incarnation, CallbackKind kind, std::function<void()> f) {
  auto& p = at(controller);
  if (!p.up || p.incarnation != incarnation) return;
  if (p.pause_before && p.pause_before->first == kind) {
    p.paused_until = queue_.now() + p.pause_before->second;
    p.pause_before.reset();
  }
  if (queue_.now() >= p.paused_until) return f();
  // Events at one time happen in the order in which they were queued.
  queue_.at(p.paused_until, [this, controller, incarnation, kind, f = std::move(f)] {
    run(controller, incarnation, kind, f);
  });
}

void Network::later(int controller, double d, CallbackKind kind, std::function<void()> f) {
  queue_.after(d, [this, controller, incarnation = incarnation(controller), kind, f = std::move(f)] {
    run(controller, incarnation, kind, f);
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

std::optional<Cut> Network::blocked_path_to_state(int controller) const {
  return first(active(at(controller).state), leaving(controller_zone(controller)));
}

std::optional<Cut> Network::blocked_path_between(int controller, int other) const {
  return first(first(active(at(controller).peers), active(at(other).peers)),
               between(controller_zone(controller), controller_zone(other)));
}

std::optional<Cut> Network::blocked_path_to_worker(int controller, const Zone& zone) const {
  return first(active(at(controller).workers), between(controller_zone(controller), zone));
}

std::optional<Cut> Network::blocked_path_to_user(int controller) const {
  return first(active(at(controller).users), leaving(controller_zone(controller)));
}

void Network::peer(int from, int to, std::function<void()> f) {
  if (from == to) return f();
  auto arrive = [this, to, f] { run(to, CallbackKind::kPeer, f); };
  if (auto cut = blocked_path_between(from, to)) {
    if (cut->deliver_later) queue_.at(cut->until + queue_.uniform(0, 0.5), arrive);
    return;
  }
  if (queue_.random_fault(0.01) || lost_.hits(queue_)) return;
  if (delayed_.hits(queue_)) {
    queue_.after(queue_.uniform(0.5, 40), arrive);
  } else {
    queue_.after(queue_.uniform(0.001, 0.02), arrive);
  }
  if (queue_.random_fault(0.03) || delayed_.hits(queue_)) queue_.after(queue_.uniform(0.5, 40), arrive);
}

}  // namespace beaconsill::sim
