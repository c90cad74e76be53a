// What controllers tell each other: heartbeats, summaries, and reports relayed for workers that can't reach
// their owner.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRelayWait = 0.8;
}

void Controller::send_heartbeats() {
  for (int to = 0; to < kControllers; ++to)
    if (to != n_) send_heartbeat(to);
}

void Controller::send_heartbeat(int to) {
  auto h = p_.heartbeats->next(to, known(), instant());
  h.told = Revision(UINT64_MAX);  // for earlier versions only
  h.terms = owned();
  h.state_ok = p_.mirror->ready();
  send(to, [from = n_, h](Controller& c) { c.on_heartbeat(from, h); });
}

Heartbeats::Known Controller::known() const {
  return {p_.mirror->ready(), p_.mirror->revision(), view().cancelled()};
}

void Controller::on_heartbeat(int from, const wire::Heartbeat& h) {
  // Before anything is sent that acknowledges them.
  if (h.disclosure) p_.mirror->apply_cancelled(h.disclosure->cancelled);
  if (p_.heartbeats->on_heartbeat(from, h, known(), instant())) send_heartbeat(from);
  for (const auto& t : h.terms)
    if (auto it = p_.parts.find(t.part); it != p_.parts.end()) it->second.part->supersede(t.term);
}

void Controller::share_cancellations(const store::View::Touched& t) {
  bool any = std::any_of(t.jobs.begin(), t.jobs.end(),
                         [&](const JobId& id) { return view().end(id) == store::End::kCancelled; });
  if (!any) return;
  for (int to = 0; to < kControllers; ++to)
    if (to != n_ && p_.heartbeats->reachable(to, instant()) &&
        p_.heartbeats->disclosure().lacks_some(node_name(to), known()))
      send_heartbeat(to);
}

bool Controller::disclose(const JobId& id) const {
  if (mistake(Mistake::kDisclosedAtOnce)) return true;
  const auto& end = view().ending(id);
  return p_.heartbeats->disclosure().may_disclose({end.version, id, end.value.done}, known(), instant());
}

Instant Controller::cancellations_known_until() const {
  auto by_peers = p_.heartbeats->disclosure().known_until(p_.mirror->ready(), instant());
  return std::max(p_.mirror->as_of(), by_peers);
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
