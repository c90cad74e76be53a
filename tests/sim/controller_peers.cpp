// What controllers tell each other: heartbeats, summaries, and reports relayed for workers that can't reach
// their owner.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRelayWait = 0.8;
}

void Controller::send_heartbeats() {
  for (int to = 0; to < kControllers; ++to) {
    if (to == n_) continue;
    send(to, [from = n_, h = heartbeat(to)](Controller& c) { c.on_heartbeat(from, h); });
  }
}

wire::Heartbeat Controller::heartbeat(int to) {
  auto h = p_.heartbeats->next(to, instant());
  // An earlier process of this controller may have told more than this one knows, until it has read
  // everything.
  h.told = p_.mirror->ready() ? p_.told : Revision(UINT64_MAX);
  h.terms = owned();
  h.state_ok = p_.mirror->ready();
  return h;
}

void Controller::on_heartbeat(int from, const wire::Heartbeat& h) {
  p_.heartbeats->on_heartbeat(from, h);
  for (const auto& t : h.terms)
    if (auto it = p_.parts.find(t.part); it != p_.parts.end()) it->second.part->supersede(t.term);
}

Instant Controller::word() const {
  return std::max(p_.mirror->word(), p_.heartbeats->word(p_.mirror->revision(), instant()));
}

void Controller::send_summaries() {
  for (const auto& [id, o] : p_.parts) {
    auto s = o.part->summary(instant());
    s.seen = p_.mirror->revision();
    on_summary(s);
    broadcast([s](Controller& c) { c.on_summary(s); });
  }
}

void Controller::on_summary(const wire::Summary& s) {
  p_.summaries[s.part] = s;
  if (p_.lead) p_.lead->on_summary(s, instant());
}

// The owner of the highest term that the state service or another controller has told of, if it's there.
std::optional<int> Controller::owner_of(PartId id) const {
  const auto& role = view().part_role(id);
  std::optional<int> owner;
  if (role.exists() && view().alive(role.value.node)) owner = node_number(role.value.node);
  if (auto told = p_.heartbeats->owner(id);
      told && told->term > role.value.term && p_.heartbeats->reachable(told->node, instant()))
    owner = told->node;
  if (owner == n_) owner.reset();
  return owner;
}

void Controller::relay(PartId id, const wire::Report& r, const Workers::Reply& reply) {
  auto owner = owner_of(id);
  if (!owner || !p_.heartbeats->reachable(*owner, instant()))
    return reply({std::nullopt, owner.value_or(-1)});
  auto number = p_.next_relay++;
  p_.relayed[number] = {id, reply};
  env_.network.later(n_, kRelayWait, Await::kTimer, [this, number] {
    auto it = p_.relayed.find(number);
    if (it != p_.relayed.end()) on_relayed(number, {std::nullopt, owner_of(it->second.part).value_or(-1)});
  });
  send(*owner, [from = n_, number, r](Controller& c) { c.on_relay(from, number, r); });
}

void Controller::on_relay(int from, std::uint64_t number, const wire::Report& r) {
  auto id = env_.parting.of(r.zone, r.machine);
  auto it = p_.parts.find(id);
  ReportReply out{std::nullopt, n_};
  if (it == p_.parts.end() || it->second.part->superseded()) {
    out.redirect = owner_of(id).value_or(-1);
  } else if (!it->second.part->point_here(r, instant())) {
    out = answer(it->second, id, r);
  }
  send(from, [number, out](Controller& c) { c.on_relayed(number, out); });
}

void Controller::on_relayed(std::uint64_t number, const ReportReply& r) {
  auto it = p_.relayed.find(number);
  if (it == p_.relayed.end()) return;
  auto reply = std::move(it->second.reply);
  p_.relayed.erase(it);
  reply(r);
}

}  // namespace beaconsill::sim
