// The owner of parts: reports, commands, and what it records.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kTellAllPeriod = 2;
constexpr double kProgressDelay = 10;
constexpr double kReturnedDelay = 2;
constexpr double kGrace = 5;
constexpr double kCancelMargin = 3;
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
  for (const auto& [j, record] : p_.view.jobs()) show(*o.part, j);
  ++env_.outcome.takeovers;
}

Controller::Owned* Controller::owned(PartId id, Term term) {
  auto it = p_.parts.find(id);
  return it == p_.parts.end() || it->second.part->term() != term ? nullptr : &it->second;
}

void Controller::show(part::Part& part, const JobId& job) {
  auto end = p_.view.end(job);
  if (mistake(Mistake::kCancellationUnseen) && end == store::End::kCancelled) end.reset();
  part.on_job(job, p_.view.job(job), end, instant());
}

std::uint32_t Controller::running(const JobId& id) const {
  std::uint32_t n = 0;
  for (const auto& [part, o] : p_.parts) n += o.part->running(id);
  return n;
}

void Controller::load_registry(PartId id) {
  std::vector<store::MachineRecord> all;
  for (std::uint32_t b = 0; b < store::kMachineBuckets; ++b) {
    const auto& v = p_.view.machines(id, b).value;
    all.insert(all.end(), v.begin(), v.end());
  }
  auto& part = *p_.parts.at(id).part;
  if (mistake(Mistake::kRegistryNotRead))
    std::erase_if(all, [&](const auto& r) { return !part.find_machine(r.name); });
  part.on_registry(all, instant());
}

void Controller::read_registry(PartId id, Owned& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  sync([this, id, term = o.part->term()](bool ok) {
    auto* x = owned(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id);
  });
}

void Controller::tick_part(PartId id) {
  auto& o = p_.parts.at(id);
  auto term = o.part->term();
  read_registry(id, o);
  o.part->tick(instant(), EventQueue::instant(p_.word), EventQueue::instant(p_.word));
  for (auto& b : o.part->take_batches(instant())) send(id, term, b);
  write_registry(id, o);
  write_progress(id, o);
  for (auto& m : o.part->take_deletions(instant())) remove(id, term, m);
  if (!o.part->superseded()) tell_outcomes(id, o);
}

void Controller::tell_outcomes(PartId id, Owned& o) {
  bool all = now() >= o.tell_all;
  if (all) o.tell_all = now() + kTellAllPeriod;
  auto jobs = o.part->outcomes(all);
  if (mistake(Mistake::kReturnsUntold))
    for (auto& j : jobs) j.returned.clear();
  if (jobs.empty()) return;
  wire::Outcomes outcomes{id, o.part->term(), std::move(jobs)};
  for (int to = 0; to < kControllers; ++to)
    env_.network.peer(n_, to, [this, to, outcomes] { env_.controller(to).on_outcomes(outcomes); });
}

void Controller::on_ask(int leader, const wire::Ask& ask) {
  for (auto& [id, o] : p_.parts) {
    Revision seen = p_.known ? env_.state.log()[p_.known - 1].version : Revision();
    wire::Answer a{ask.round, id, o.part->term(), seen, {}};
    for (const auto& s : ask.shapes) a.rooms.push_back(o.part->estimate(s, instant()));
    env_.network.peer(n_, leader, [this, leader, a] { env_.controller(leader).on_answer(a); });
  }
}

void Controller::write(PartId id, Term term, wire::Txn t, bool Owned::*flag) {
  owned(id, term)->*flag = true;
  env_.state.txn(n_, t, [this, id, term, t, flag](Result r, Revision rev) {
    if (r == Result::kOk) {
      if (auto* o = owned(id, term)) o->*flag = false;
      return apply_own(t, rev);
    }
    sync([this, id, term, flag](bool) {
      if (auto* o = owned(id, term)) o->*flag = false;
    });
  });
}

void Controller::write_registry(PartId id, Owned& o) {
  const auto& role = p_.view.part_role(id);
  if (o.registering || !role.exists() || role.value.term != o.part->term()) return;
  wire::Txn t{{{store::part_role_key(id), role.version}}, {}};
  for (auto& [b, list] : o.part->unregistered()) {
    auto key = store::machines_key(id, b);
    t.conditions.push_back({key, p_.view.machines(id, b).version});
    t.writes.push_back({key, store::to_json(list), std::nullopt});
  }
  if (!t.writes.empty()) write(id, o.part->term(), t, &Owned::registering);
}

void Controller::write_progress(PartId id, Owned& o) {
  const auto& role = p_.view.part_role(id);
  if (o.writing || !role.exists() || role.value.term != o.part->term()) return;
  auto unwritten = o.part->unwritten();
  std::erase_if(o.unwritten, [&](const auto& u) { return !unwritten.contains(u.first); });
  wire::Txn t{{{store::part_role_key(id), role.version}}, {}};
  for (auto& [j, p] : unwritten) {
    double delay = p.returned.empty() ? kProgressDelay : kReturnedDelay;
    if (now() - o.unwritten.try_emplace(j, now()).first->second < delay) continue;
    if (mistake(Mistake::kReturnsUntold)) p.returned.clear();
    const auto* job = p_.view.job(j);
    if (!job) continue;
    auto key = store::progress_key(id, j);
    auto have = job->progress.find(id);
    t.conditions.push_back({key, have == job->progress.end() ? Revision() : have->second.version});
    t.writes.push_back({key, store::to_json(p), std::nullopt});
  }
  if (!t.writes.empty()) write(id, o.part->term(), t, &Owned::writing);
}

ReportReply Controller::on_report(const wire::Report& r) {
  auto id = env_.parting.of(r.zone, r.machine);
  auto it = p_.parts.find(id);
  int owner = -1;
  const auto& role = p_.view.part_role(id);
  if (role.exists() && p_.view.alive(role.value.node)) owner = Environment::number(role.value.node);
  if (it == p_.parts.end() || it->second.part->superseded()) return {std::nullopt, owner};
  if (now() - p_.word > kCancelLimit - kLease - kCancelMargin) return {};
  auto& part = *it->second.part;
  part.on_report(r, instant());
  if (part.superseded()) return {std::nullopt, owner};
  if (!part.find_machine(r.machine)) return {};
  return {part.answer(r.machine, instant()), -1};
}

void Controller::send(PartId id, Term term, const part::Part::Batch& b) {
  env_.workers.command(b, [this, id, term, b, life = env_.network.life(n_)](std::optional<CommandReply> r) {
    if (!env_.network.up(n_) || env_.network.life(n_) != life) return;
    auto* o = owned(id, term);
    if (!o) return;
    using CommandResult = part::Part::CommandResult;
    if (!r) return o->part->on_commands(b, CommandResult::kNoAnswer, std::nullopt, instant());
    o->part->on_commands(b, r->executed ? CommandResult::kExecuted : CommandResult::kRejected, r->report,
                         instant());
  });
}

void Controller::remove(PartId id, Term term, const MachineName& m) {
  env_.cloud.remove(m, [this, id, term, m](bool ok) {
    env_.network.later(n_, 0.1, [this, id, term, m, ok] {
      if (!ok) {
        if (auto* o = owned(id, term)) o->part->on_delete_failed(m, instant());
        return;
      }
      for (int to = 0; to < kControllers; ++to)
        env_.network.peer(n_, to, [this, to, m] { env_.controller(to).on_deleted(m); });
    });
  });
}

void Controller::on_deleted(const MachineName& m) {
  for (auto& [id, o] : p_.parts) o.part->on_deleted(m, instant());
}

}  // namespace beaconsill::sim
