// Messages between controllers: heartbeats, summaries, and worker heartbeats relayed to the shard leader.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRelayWait = 0.8;
}

void Controller::send_heartbeats() {
  for (int to = 0; to < kControllers; ++to)
    if (to != number_) send_heartbeat(to);
}

void Controller::send_heartbeat(int to) {
  auto h = process_.heartbeats->next(to, known(), instant());
  h.acknowledged_until = Revision(UINT64_MAX);  // for earlier versions only
  h.terms = owned();
  h.reaches_state_store = process_.watch_cache->ready();
  send(to, [from = number_, h](Controller& c) { c.on_heartbeat(from, h); });
}

Heartbeats::Known Controller::known() const {
  return {process_.watch_cache->ready(), process_.watch_cache->revision(), view().cancelled()};
}

void Controller::on_heartbeat(int from, const protocol::Heartbeat& h) {
  // Before anything is sent that acknowledges them.
  if (h.cancellation_sync) process_.watch_cache->apply_cancelled(h.cancellation_sync->cancelled);
  if (process_.heartbeats->on_heartbeat(from, h, known(), instant())) send_heartbeat(from);
  for (const auto& t : h.terms)
    if (auto it = process_.shards.find(t.shard); it != process_.shards.end())
      it->second.shard->supersede(t.term);
}

void Controller::share_cancellations(const state_store::StateView::ChangeSet& t) {
  bool any = std::any_of(t.jobs.begin(), t.jobs.end(), [&](const JobId& id) {
    return view().terminal_state(id) == state_store::TerminalState::kCancelled;
  });
  if (!any) return;
  for (int to = 0; to < kControllers; ++to)
    if (to != number_ && process_.heartbeats->reachable(to, instant()) &&
        process_.heartbeats->cancellation_sync().lacks_cancellations(controller_name(to), known()))
      send_heartbeat(to);
}

bool Controller::may_reveal_cancellation(const JobId& id) const {
  if (has_bug(SeededBug::kCancellationAcknowledgedAtOnce)) return true;
  const auto& end = view().terminal_record(id);
  return process_.heartbeats->cancellation_sync().may_reveal({end.revision, id, end.value.done}, known(),
                                                             instant());
}

std::optional<Instant> Controller::cancellations_known_until() const {
  auto by_peers =
      process_.heartbeats->cancellation_sync().known_until(process_.watch_cache->ready(), instant());
  return std::max(process_.watch_cache->up_to_date_at(), by_peers);
}

void Controller::send_summaries() {
  for (const auto& [id, o] : process_.shards) {
    auto s = o.shard->summary(instant());
    s.seen = process_.watch_cache->revision();
    on_summary(s);
    broadcast([s](Controller& c) { c.on_summary(s); });
  }
}

void Controller::on_summary(const protocol::Summary& s) {
  process_.summaries[s.shard] = s;
  if (process_.scheduler) process_.scheduler->on_summary(s, instant());
}

// The owner of the highest term that the state store or another controller has announced, if it's there.
std::optional<int> Controller::owner_of(ShardId id) const {
  const auto& role = view().shard_role(id);
  std::optional<int> owner;
  if (role.exists() && view().alive(role.value.controller)) owner = controller_number(role.value.controller);
  if (auto acknowledged_until = process_.heartbeats->owner(id);
      acknowledged_until && acknowledged_until->term > role.value.term &&
      process_.heartbeats->reachable(acknowledged_until->controller, instant()))
    owner = acknowledged_until->controller;
  if (owner == number_) owner.reset();
  return owner;
}

void Controller::relay(ShardId id, const protocol::WorkerHeartbeat& r, const Workers::Reply& reply) {
  auto owner = owner_of(id);
  if (!owner || !process_.heartbeats->reachable(*owner, instant()))
    return reply({std::nullopt, owner.value_or(-1)});
  auto number = process_.next_relay++;
  process_.relayed[number] = {id, reply};
  env_.network.later(number_, kRelayWait, CallbackKind::kTimer, [this, number] {
    auto it = process_.relayed.find(number);
    if (it != process_.relayed.end())
      on_relayed_reply(number, {std::nullopt, owner_of(it->second.shard).value_or(-1)});
  });
  send(*owner, [from = number_, number, r](Controller& c) { c.on_relayed_heartbeat(from, number, r); });
}

void Controller::on_relayed_heartbeat(int from, std::uint64_t number, const protocol::WorkerHeartbeat& r) {
  auto id = env_.partitioning.shard_of(r.zone, r.machine);
  auto it = process_.shards.find(id);
  HeartbeatReply out{std::nullopt, number_};
  if (it == process_.shards.end() || it->second.shard->superseded()) {
    out.redirect = owner_of(id).value_or(-1);
  } else if (!it->second.shard->should_redirect_here(r, instant())) {
    out = answer(it->second, id, r);
  }
  send(from, [number, out](Controller& c) { c.on_relayed_reply(number, out); });
}

void Controller::on_relayed_reply(std::uint64_t number, const HeartbeatReply& r) {
  auto it = process_.relayed.find(number);
  if (it == process_.relayed.end()) return;
  auto reply = std::move(it->second.reply);
  process_.relayed.erase(it);
  reply(r);
}

}  // namespace beaconsill::sim
