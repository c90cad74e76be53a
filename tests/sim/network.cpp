#include "sim/network.h"

namespace beaconsill::sim {
namespace {

std::optional<Cut> first_present(std::optional<Cut> cut, std::optional<Cut> other) {
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
  // Events with the same time run in the order in which they were queued, so callbacks keep their order.
  queue_.at(process.paused_until, [this, controller, incarnation, kind, callback = std::move(callback)] {
    run(controller, incarnation, kind, callback);
  });
}

void Network::run_later(int controller, double delay, CallbackKind kind, std::function<void()> callback) {
  queue_.after(delay, [this, controller, incarnation = incarnation(controller), kind,
                       callback = std::move(callback)] { run(controller, incarnation, kind, callback); });
}

std::optional<Cut> Network::if_active(const Cut& cut) const {
  if (queue_.now() >= cut.until) return std::nullopt;
  return cut;
}

std::optional<Cut> Network::cut_around_zone(const Zone& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? std::nullopt : if_active(it->second);
}

std::optional<Cut> Network::cut_between_zones(const Zone& zone, const Zone& other) const {
  if (zone == other) return std::nullopt;
  return first_present(cut_around_zone(zone), cut_around_zone(other));
}

std::optional<Cut> Network::blocked_path_to_state(int controller) const {
  return first_present(if_active(at(controller).state), cut_around_zone(controller_zone(controller)));
}

std::optional<Cut> Network::blocked_path_between(int controller, int other) const {
  return first_present(first_present(if_active(at(controller).peers), if_active(at(other).peers)),
                       cut_between_zones(controller_zone(controller), controller_zone(other)));
}

std::optional<Cut> Network::blocked_path_to_worker(int controller, const Zone& zone) const {
  return first_present(if_active(at(controller).workers),
                       cut_between_zones(controller_zone(controller), zone));
}

std::optional<Cut> Network::blocked_path_to_user(int controller) const {
  return first_present(if_active(at(controller).users), cut_around_zone(controller_zone(controller)));
}

void Network::send_to_peer(int from, int to, const std::function<void()>& callback) {
  if (from == to) return callback();
  auto deliver = [this, to, callback] { run(to, CallbackKind::kPeer, callback); };
  if (auto cut = blocked_path_between(from, to)) {
    if (cut->deliver_later) queue_.at(cut->until + queue_.uniform(0, 0.5), deliver);
    return;
  }
  if (queue_.random_fault(0.01) || peer_loss_window_.draw_fault(queue_)) return;
  if (peer_delay_window_.draw_fault(queue_)) {
    queue_.after(queue_.uniform(0.5, 40), deliver);
  } else {
    queue_.after(queue_.uniform(0.001, 0.02), deliver);
  }
  if (queue_.random_fault(0.03) || peer_delay_window_.draw_fault(queue_))
    queue_.after(queue_.uniform(0.5, 40), deliver);
}

}  // namespace beaconsill::sim
