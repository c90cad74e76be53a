#include "sim/network.h"

namespace beaconsill::sim {
namespace {

std::optional<Cut> first(std::optional<Cut> cut, std::optional<Cut> other) {
  return cut ? cut : other;
}

}  // namespace

void Network::start(int controller) {
  auto& process = at(controller);
  process.up = true;
  ++process.incarnation;
  process.paused_until = 0;
  process.pause_before.reset();
}

void Network::pause_before(int controller, CallbackKind kind, double duration_s) {
  at(controller).pause_before = {kind, duration_s};
}

void Network::run(int controller, std::uint64_t incarnation, CallbackKind kind,
                  std::function<void()> callback) {
  auto& process = at(controller);
  if (!process.up || process.incarnation != incarnation) return;
  if (process.pause_before && process.pause_before->first == kind) {
    process.paused_until = queue_.now() + process.pause_before->second;
    process.pause_before.reset();
  }
  if (queue_.now() >= process.paused_until) return callback();
  // Events at one time happen in the order in which they were queued.
  queue_.at(process.paused_until, [this, controller, incarnation, kind, callback = std::move(callback)] {
    run(controller, incarnation, kind, callback);
  });
}

void Network::later(int controller, double delay, CallbackKind kind, std::function<void()> callback) {
  queue_.after(delay, [this, controller, incarnation = incarnation(controller), kind,
                       callback = std::move(callback)] { run(controller, incarnation, kind, callback); });
}

std::optional<Cut> Network::active(const Cut& cut) const {
  if (queue_.now() >= cut.until) return std::nullopt;
  return cut;
}

std::optional<Cut> Network::leaving(const Zone& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? std::nullopt : active(it->second);
}

std::optional<Cut> Network::between(const Zone& zone, const Zone& other) const {
  if (zone == other) return std::nullopt;
  return first(leaving(zone), leaving(other));
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

void Network::peer(int from, int to, const std::function<void()>& callback) {
  if (from == to) return callback();
  auto arrive = [this, to, callback] { run(to, CallbackKind::kPeer, callback); };
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
