#include "sim/troubles.h"

#include "sim/controller.h"

namespace beaconsill::sim {

void Troubles::add(const Trouble& t) {
  over_ = std::max(over_, t.at_s + t.for_s);
  env_.queue.at(t.at_s, [this, t] { begin(t); });
}

void Troubles::draw_until(double end) {
  over_ = std::max(over_, end);
  for (double t = 12; t < end;) {
    env_.queue.at(t, [this] { begin_drawn(); });
    t += env_.queue.uniform(2, 14);
  }
}

std::optional<int> Troubles::leader() const {
  const auto* entry = env_.state.find(store::leader_role_key());
  if (!entry) return std::nullopt;
  return Environment::number(store::parse_role(entry->value).node);
}

std::vector<int> Troubles::choose(const Who& who) {
  int drawn = static_cast<int>(env_.queue.draw() % kControllers);
  switch (who.kind) {
    case Who::Kind::kDrawn:
      return {drawn};
    case Who::Kind::kNumber:
      return {who.number};
    case Who::Kind::kLeader:
      return {leader().value_or(drawn)};
    case Who::Kind::kFollower:
      return {leader() == drawn ? (drawn + 1) % kControllers : drawn};
    case Who::Kind::kAll:
      break;
  }
  std::vector<int> all;
  for (int n = 0; n < kControllers; ++n) all.push_back(n);
  return all;
}

std::vector<Machine*> Troubles::choose(const Which& which) {
  std::vector<Machine*> out;
  for (auto& [name, m] : books_.machines) {
    if (m.gone || (which.name && *which.name != name) || (which.zone && *which.zone != m.zone)) continue;
    bool runs = std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
      return which.running && t.first.first.job == *which.running;
    });
    if (!which.running || runs) out.push_back(&m);
  }
  bool any = !which.name && !which.zone && !which.running;
  auto count = static_cast<std::size_t>(which.count ? which.count : any ? 1 : 0);
  if (count == 0) return out;
  while (out.size() > count)
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(env_.queue.draw() % out.size()));
  return out;
}

void Troubles::begin(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::kStateOutage:
      return env_.state.outage(env_.queue.now() + t.for_s);
    case TroubleKind::kNodeEnds:
    case TroubleKind::kStateRefusesNode:
    case TroubleKind::kNodeCutFromStateAndPeers:
      for (int n : choose(t.who)) begin_at(t, n);
      return;
    case TroubleKind::kMachineHangs:
    case TroubleKind::kMachineDeaf:
    case TroubleKind::kMachineEnds:
      for (auto* m : choose(t.which)) begin_at(t, *m);
      return;
  }
}

void Troubles::begin_at(const Trouble& t, int node) {
  double until = env_.queue.now() + t.for_s;
  if (t.kind == TroubleKind::kNodeEnds) return env_.controller(node).crash(t.for_s);
  if (t.kind == TroubleKind::kStateRefusesNode) return env_.network.refuse(node, until);
  env_.network.cut(node, until);
}

void Troubles::begin_at(const Trouble& t, Machine& m) {
  double until = env_.queue.now() + t.for_s;
  if (t.kind == TroubleKind::kMachineEnds) return env_.cloud.kill(m.name);
  (t.kind == TroubleKind::kMachineHangs ? m.hangs_until : m.deaf_until) = until;
}

void Troubles::begin_drawn() {
  auto& q = env_.queue;
  double now = q.now();
  int n = static_cast<int>(q.draw() % kControllers);
  auto m = std::next(books_.machines.begin(), static_cast<std::ptrdiff_t>(q.draw() % books_.machines.size()));
  switch (q.draw() % 11) {
    case 0:
      return env_.controller(n).crash(3);
    case 1:
      return env_.controller(n).crash(0.15);
    case 2:
      for (int i = 0; i < kControllers; ++i) env_.controller(i).crash(3 + 0.1 * i);
      return;
    case 3:
      return env_.state.outage(now + q.uniform(3, 15));
    case 4:
      return env_.network.refuse(n, now + q.uniform(5, 25));
    case 5:
      return env_.network.cut(n, now + q.uniform(5, 25));
    case 6:
    case 7:
      m->second.hangs_until = now + q.uniform(1, 30);
      return;
    case 8:
      m->second.deaf_until = now + q.uniform(4, 30);
      return;
    case 9:
      return env_.cloud.kill(m->first);
    case 10:  // in the middle of an election
      env_.controller(n).crash(0.1);
      return q.after(0.3, [this, n] { env_.controller((n + 1) % kControllers).crash(0.2); });
  }
}

}  // namespace beaconsill::sim
