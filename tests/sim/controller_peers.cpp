// Messages between controllers: heartbeats, shard summaries, and worker heartbeats relayed to the shard
// leader.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kRelayReplyTimeout = 0.8;
}  // namespace

void Controller::send_heartbeats() {
  for (int to = 0; to < kControllers; ++to)
    if (to != number_) send_heartbeat(to);
}

void Controller::send_heartbeat(int to) {
  auto heartbeat = process_.heartbeats->compose(to, local_view(), instant());
  heartbeat.acknowledged_until = Revision(UINT64_MAX);  // read only by earlier versions
  heartbeat.terms = led_shards();
  heartbeat.reaches_state_store = process_.watch_cache->ready();
  send(to, [from = number_, heartbeat](Controller& controller) { controller.on_heartbeat(from, heartbeat); });
}

Heartbeats::LocalView Controller::local_view() const {
  return {process_.watch_cache->ready(), process_.watch_cache->revision(), view().cancelled()};
}

void Controller::on_heartbeat(int from, const protocol::Heartbeat& heartbeat) {
  // Cancellations must be applied before a heartbeat that acknowledges them is sent.
  if (heartbeat.cancellation_sync)
    process_.watch_cache->apply_cancelled(heartbeat.cancellation_sync->cancelled);
  if (process_.heartbeats->on_heartbeat(from, heartbeat, local_view(), instant())) send_heartbeat(from);
  for (const auto& shard_term : heartbeat.terms)
    if (auto it = process_.shards.find(shard_term.shard); it != process_.shards.end())
      it->second.shard->supersede(shard_term.term);
}

void Controller::share_cancellations(const state_store::StateView::ChangeSet& changes) {
  bool any = std::any_of(changes.jobs.begin(), changes.jobs.end(), [&](const JobId& id) {
    return view().terminal_state(id) == state_store::TerminalState::kCancelled;
  });
  if (!any) return;
  for (int to = 0; to < kControllers; ++to)
    if (to != number_ && process_.heartbeats->reachable(to, instant()) &&
        process_.heartbeats->cancellation_sync().lacks_cancellations(controller_name(to), local_view()))
      send_heartbeat(to);
}

bool Controller::may_reveal_cancellation(const JobId& id) const {
  if (has_bug(SeededBug::kCancellationAcknowledgedAtOnce)) return true;
  const auto& record = view().terminal_record(id);
  return process_.heartbeats->cancellation_sync().may_reveal({record.revision, id, record.value.done},
                                                             local_view(), instant());
}

std::optional<Instant> Controller::cancellations_known_until() const {
  auto by_peers =
      process_.heartbeats->cancellation_sync().known_until(process_.watch_cache->ready(), instant());
  return std::max(process_.watch_cache->up_to_date_at(), by_peers);
}

void Controller::send_summaries() {
  for (const auto& [id, led] : process_.shards) {
    auto summary = led.shard->summary(instant());
    summary.seen = process_.watch_cache->revision();
    on_summary(summary);
    broadcast([summary](Controller& controller) { controller.on_summary(summary); });
  }
}

void Controller::on_summary(const protocol::Summary& summary) {
  process_.summaries[summary.shard] = summary;
  if (process_.scheduler) process_.scheduler->on_summary(summary);
}

// Returns the leader with the highest term for the shard according to the state store and the other
// controllers' heartbeats, provided that it is alive or reachable and is not this controller.
std::optional<int> Controller::leader_of(ShardId id) const {
  const auto& role = view().shard_role(id);
  std::optional<int> leader;
  if (role.exists() && view().alive(role.value.controller)) leader = controller_number(role.value.controller);
  if (auto announced = process_.heartbeats->shard_leader(id);
      announced && announced->term > role.value.term &&
      process_.heartbeats->reachable(announced->controller, instant()))
    leader = announced->controller;
  if (leader == number_) leader.reset();
  return leader;
}

void Controller::relay(ShardId id, const protocol::WorkerHeartbeat& heartbeat, const Workers::Reply& reply) {
  auto leader = leader_of(id);
  if (!leader || !process_.heartbeats->reachable(*leader, instant()))
    return reply({std::nullopt, leader.value_or(-1)});
  auto number = process_.next_relay_id++;
  process_.relayed_replies[number] = {id, reply};
  env_.network.run_later(number_, kRelayReplyTimeout, CallbackKind::kTimer, [this, number] {
    auto it = process_.relayed_replies.find(number);
    if (it != process_.relayed_replies.end())
      on_relayed_reply(number, {std::nullopt, leader_of(it->second.shard).value_or(-1)});
  });
  send(*leader, [from = number_, number, heartbeat](Controller& controller) {
    controller.on_relayed_heartbeat(from, number, heartbeat);
  });
}

void Controller::on_relayed_heartbeat(int from, std::uint64_t number,
                                      const protocol::WorkerHeartbeat& heartbeat) {
  auto id = env_.partitioning.shard_of(heartbeat.zone, heartbeat.machine);
  auto it = process_.shards.find(id);
  HeartbeatReply out{std::nullopt, number_};
  if (it == process_.shards.end() || it->second.shard->superseded()) {
    out.redirect = leader_of(id).value_or(-1);
  } else if (!it->second.shard->should_redirect_here(heartbeat, instant())) {
    out = process_heartbeat(it->second, id, heartbeat);
  }
  send(from, [number, out](Controller& controller) { controller.on_relayed_reply(number, out); });
}

void Controller::on_relayed_reply(std::uint64_t number, const HeartbeatReply& answer) {
  auto it = process_.relayed_replies.find(number);
  if (it == process_.relayed_replies.end()) return;
  auto reply = std::move(it->second.reply);
  process_.relayed_replies.erase(it);
  reply(answer);
}

}  // namespace beaconsill::sim
