// The owner of parts: reports, commands, and what it records, as `node::WorkersDuty` does.
#include "sim/controller.h"
#include "store/registry.h"

namespace beaconsill::sim {
namespace {
constexpr double kStoodStill = 1;
constexpr double kTellAllPeriod = 2;
constexpr double kProgressDelay = 1;
constexpr double kProgressDelayTold = 20;
constexpr double kReturnedDelay = 2;
constexpr double kGrace = 5;
constexpr double kCancelMargin = 1;
constexpr store::RegistryLimits kRegistryLimits{16, std::size_t{8} * 1024};

std::vector<NodeName> all_nodes() {
  std::vector<NodeName> nodes;
  for (int n = 0; n < kControllers; ++n) nodes.push_back(node_name(n));
  return nodes;
}
}  // namespace

void Controller::own(PartId id, Term term) {
  part::PartParams p;
  p.report_period = from_seconds(env_.options.report_s);
  p.lease = from_seconds(kLease);
  p.cancel_limit = from_seconds(kCancelLimit);
  p.grace = from_seconds(kGrace);
  auto& o = p_.parts[id];
  o = {};
  o.part = std::make_unique<part::Part>(id, term, p, instant());
  o.part->set_catalogue(env_.catalogue);
  for (const auto& [j, record] : view().jobs()) show(*o.part, j);
  ++env_.outcome.takeovers;
}

Controller::Owned* Controller::find(PartId id, Term term) {
  auto it = p_.parts.find(id);
  return it == p_.parts.end() || it->second.part->term() != term ? nullptr : &it->second;
}

const part::Part* Controller::part(PartId id) const {
  auto it = p_.parts.find(id);
  return it == p_.parts.end() ? nullptr : it->second.part.get();
}

std::vector<wire::PartTerm> Controller::owned() const {
  std::vector<wire::PartTerm> out;
  for (const auto& [id, o] : p_.parts)
    if (!o.part->superseded()) out.push_back({id, o.part->term()});
  return out;
}

void Controller::show(part::Part& part, const JobId& job) {
  auto end = view().end(job);
  if (mistake(Mistake::kCancellationUnseen) && end == store::End::kCancelled) end.reset();
  part.on_job(job, view().job(job), end, instant());
}

// Tasks of the job that run, by what this controller knows.
std::uint32_t Controller::running(const JobId& id) const {
  std::uint32_t n = 0;
  for (const auto& [part, o] : p_.parts) n += o.part->running(id);
  for (const auto& [part, s] : p_.summaries) {
    if (p_.parts.contains(part)) continue;
    for (const auto& c : s.running)
      if (c.job == id) n += c.running;
  }
  return n;
}

void Controller::load_registry(PartId id) {
  auto all = store::registered_machines(view(), id);
  auto& part = *p_.parts.at(id).part;
  if (mistake(Mistake::kRegistryNotRead))
    std::erase_if(all, [&](const auto& r) { return !part.find_machine(r.name); });
  part.on_registry(all, instant());
}

void Controller::read_registry(PartId id, Owned& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  p_.mirror->sync([this, id, term = o.part->term()](bool ok) {
    auto* x = find(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id);
  });
}

void Controller::tick_parts() {
  if (now() - p_.ticked > kStoodStill)
    for (auto& [id, o] : p_.parts) o.part->on_stood_still(instant());
  std::vector<PartId> ids;
  for (auto& [id, o] : p_.parts) ids.push_back(id);
  for (auto id : ids) tick_part(id);
}

void Controller::tick_part(PartId id) {
  auto& o = p_.parts.at(id);
  auto term = o.part->term();
  read_registry(id, o);
  o.part->tick(instant(), cancellations_known_until(), p_.mirror->as_of());
  for (auto& b : o.part->take_batches(instant())) command(id, term, b);
  tell_leader(id, o);
  write_registry(id, o);
  write_progress(id, o);
  for (auto& m : o.part->take_deletions(instant())) remove(id, term, m);
}

void Controller::tell_leader(PartId id, Owned& o) {
  const auto& leader = view().leader();
  if (o.part->superseded() || !leader.exists()) return;
  bool all = now() >= o.tell_all || o.told != leader.value.term;
  if (all) {
    o.tell_all = now() + kTellAllPeriod;
    o.told = leader.value.term;
  }
  auto jobs = o.part->outcomes(all);
  if (mistake(Mistake::kReturnsUntold))
    for (auto& j : jobs) j.returned.clear();
  if (mistake(Mistake::kFailuresUntold))
    for (auto& j : jobs) j.verdict = wire::Verdict::kNone;
  if (jobs.empty()) return;
  wire::Outcomes outcomes{id, o.part->term(), std::move(jobs)};
  send(node_number(leader.value.node), [outcomes](Controller& c) { c.on_outcomes(outcomes); });
}

void Controller::on_ask(int leader, const wire::Ask& ask) {
  for (auto& [id, o] : p_.parts) {
    wire::Answer a{ask.round, id, o.part->term(), p_.mirror->revision(), {}};
    for (const auto& s : ask.shapes) a.rooms.push_back(o.part->estimate(s, instant()));
    send(leader, [a](Controller& c) { c.on_answer(a); });
  }
}

void Controller::write(PartId id, Term term, const wire::Txn& t, bool Owned::*flag) {
  find(id, term)->*flag = true;
  env_.state.txn(n_, t, [this, id, term, t, flag](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      if (auto* o = find(id, term)) o->*flag = false;
      return p_.mirror->apply_own(t, r.revision);
    }
    p_.mirror->sync([this, id, term, flag](bool) {
      if (auto* o = find(id, term)) o->*flag = false;
    });
  });
}

void Controller::write_registry(PartId id, Owned& o) {
  const auto& role = view().part_role(id);
  if (o.registering || !role.exists() || role.value.term != o.part->term()) return;
  auto t = store::registry_txn(view(), id, o.part->unregistered(), all_nodes(), kRegistryLimits);
  if (t) write(id, o.part->term(), *t, &Owned::registering);
}

void Controller::write_progress(PartId id, Owned& o) {
  const auto& role = view().part_role(id);
  if (o.writing || !role.exists() || role.value.term != o.part->term()) return;
  auto unwritten = o.part->unwritten();
  std::erase_if(o.unwritten, [&](const auto& u) { return !unwritten.contains(u.first); });
  const auto& leader = view().leader();
  bool told = leader.exists() && p_.heartbeats->reachable(node_number(leader.value.node), instant());
  wire::Txn t{{{store::part_role_key(id), role.version}}, {}};
  for (auto& [j, p] : unwritten) {
    double delay = !told ? kProgressDelay : p.returned.empty() ? kProgressDelayTold : kReturnedDelay;
    if (now() - o.unwritten.try_emplace(j, now()).first->second < delay) continue;
    if (mistake(Mistake::kReturnsUntold)) p.returned.clear();
    const auto* job = view().job(j);
    if (!job) continue;
    auto key = store::progress_key(id, j);
    auto have = job->progress.find(id);
    t.conditions.push_back({key, have == job->progress.end() ? Revision() : have->second.version});
    t.writes.push_back({key, store::to_json(p), std::nullopt});
  }
  if (!t.writes.empty()) write(id, o.part->term(), t, &Owned::writing);
}

void Controller::on_report(const wire::Report& r, const Workers::Reply& reply) {
  auto id = env_.parting.of(r.zone, r.machine);
  auto it = p_.parts.find(id);
  if (it == p_.parts.end() || it->second.part->superseded()) return relay(id, r, reply);
  auto out = answer(it->second, id, r);
  it->second.part->on_heard_directly(r.machine);
  reply(out);
}

ReportReply Controller::answer(Owned& o, PartId id, const wire::Report& r) {
  auto& part = *o.part;
  // Without knowing of cancellations for this long, the leases of tasks that may be cancelled have to run
  // out.
  if (instant() - cancellations_known_until() > from_seconds(kCancelLimit - kLease - kCancelMargin))
    return {};
  part.on_report(r, instant());
  if (part.superseded()) {
    p_.mirror->sync([](bool) {});
    return {std::nullopt, owner_of(id).value_or(-1)};
  }
  if (!part.find_machine(r.machine)) return {};
  return {part.answer(r.machine, instant()), -1};
}

void Controller::command(PartId id, Term term, const part::Part::Batch& b) {
  auto life = env_.network.life(n_);
  env_.workers.command(n_, b, [this, id, term, b, life](std::optional<CommandReply> r) {
    env_.network.run(n_, life, Await::kCommand, [this, id, term, b, r] {
      auto* o = find(id, term);
      if (!o) return;
      using Result = part::Part::CommandResult;
      if (!r) return o->part->on_commands(b, Result::kNoAnswer, std::nullopt, instant());
      o->part->on_commands(b, r->executed ? Result::kExecuted : Result::kRejected, r->report, instant());
    });
  });
}

void Controller::remove(PartId id, Term term, const MachineName& m) {
  env_.decisions.on_deletion(n_, m);
  auto life = env_.network.life(n_);
  env_.cloud.remove(m, [this, id, term, m, life](bool ok) {
    env_.network.run(n_, life, Await::kCommand, [this, id, term, m, ok] {
      if (ok) {
        broadcast([m](Controller& c) { c.on_deleted(m); });
        on_deleted(m);
      } else if (auto* o = find(id, term)) {
        o->part->on_delete_failed(m, instant());
      }
    });
  });
}

void Controller::on_deleted(const MachineName& m) {
  for (auto& [id, o] : p_.parts) o.part->on_deleted(m, instant());
}

}  // namespace beaconsill::sim
