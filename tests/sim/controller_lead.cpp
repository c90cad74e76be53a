// The leader: rounds, grants, and what it records of jobs that are over, as `node::LeaderDuty` does.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kReplyWait = 0.5;
constexpr double kLongestWait = 60;
constexpr double kVoidAgain = 0.5;
constexpr double kTidyShare = 0.2;  // of the ticks
}  // namespace

void Controller::lead(Term term) {
  lead::LeadParams p;
  p.reply_wait = from_seconds(kReplyWait);
  p.report_period = from_seconds(env_.options.report_s);
  p.longest_wait = from_seconds(kLongestWait);
  auto limits = env_.settings.teams;
  if (mistake(Mistake::kLimitIgnored)) limits.clear();
  p_.lead = std::make_unique<lead::Lead>(p, limits, std::vector<config::Objective>{});
  p_.lead_term = term;
  p_.lead_read = false;
  p_.lead->on_terms(terms());
  for (const auto& [part, s] : p_.summaries) p_.lead->on_summary(s, instant());
  std::set<JobId> all;
  for (const auto& [id, job] : view().jobs()) all.insert(id);
  show_leader(all);
  env_.workers.on_new_leader();
}

void Controller::show_leader(const std::set<JobId>& jobs) {
  for (const auto& j : jobs) {
    if (mistake(Mistake::kJobPassedOver) && j == JobId("run-2")) continue;
    const auto& dependencies = view().dependencies();
    // Cancelled through others: there is nothing to serve.
    const auto* job = dependencies.unrecorded().contains(j) ? nullptr : view().job(j);
    auto since = dependencies.ready_since(j);
    if (mistake(Mistake::kStartsUnready)) since = env_.queue.wall();
    p_.lead->on_job(j, job, view().end(j), instant(), since);
  }
}

void Controller::read_ledger() {
  p_.mirror->sync([this, term = p_.lead_term](bool ok) {
    if (p_.lead && p_.lead_term == term && ok) p_.lead_read = true;
  });
}

void Controller::tick_lead() {
  const auto& role = view().leader();
  if (!p_.lead || !p_.lead_read || !role.exists() || role.value.term != p_.lead_term) return;
  auto all = terms();
  std::set<PartId> reachable;
  for (auto& [p, term] : all)
    if (p_.heartbeats->reachable(node_number(view().part_role(p).value.node), instant())) reachable.insert(p);
  if (auto ask = p_.lead->begin_round(instant(), env_.queue.wall(), reachable)) {
    broadcast([from = n_, ask = *ask](Controller& c) { c.on_ask(from, ask); });
    on_ask(n_, *ask);
  }
  if (auto grants = p_.lead->decide(instant(), all)) {
    if (grants->empty()) {
      p_.lead->on_granted({}, std::nullopt, instant());
    } else {
      write_grants(*grants);
    }
  }
  write_ends();
  tidy();
}

void Controller::write_grants(const std::vector<lead::Lead::Grant>& grants) {
  wire::Txn t;
  bool conditional = !mistake(Mistake::kNoRoleCondition);
  if (conditional) t.conditions.push_back({store::leader_role_key(), view().leader().version});
  std::set<PartId> rests_on;
  for (const auto& g : grants) rests_on.insert(g.rests_on.begin(), g.rests_on.end());
  for (auto p : rests_on) t.conditions.push_back({store::part_role_key(p), view().part_role(p).version});
  for (const auto& g : grants) {
    if (conditional) t.conditions.push_back({store::grants_key(g.job), g.expected});
    t.conditions.push_back({store::end_key(g.job), Revision()});
    t.writes.push_back({store::grants_key(g.job), store::to_json(g.grants), std::nullopt});
  }
  env_.state.txn(n_, t, [this, term = p_.lead_term, t, grants](store::TxnResult r) {
    if (!p_.lead || p_.lead_term != term) return;
    if (r.outcome == store::Outcome::kOk) {
      p_.lead->on_granted(grants, r.revision, instant());
      return p_.mirror->apply_own(t, r.revision);
    }
    p_.mirror->sync([this, term, grants](bool) {
      if (p_.lead && p_.lead_term == term) p_.lead->on_granted(grants, std::nullopt, instant());
    });
  });
}

void Controller::write_ends() {
  auto finished = p_.lead->finished();
  if (mistake(Mistake::kDoneTooSoon))
    for (const auto& [id, j] : view().jobs())
      if (j.record.spec && j.record.spec->kind == JobKind::kArray && !view().end(id) &&
          j.done().count() * 2 > j.record.spec->tasks)
        finished.push_back(id);
  auto end = mistake(Mistake::kDoneIsCancelled) ? store::End::kCancelled : store::End::kDone;
  for (const auto& id : finished)
    if (const auto* job = view().job(id)) write_end(id, {end, job->record.spec->tasks, env_.queue.wall()});
  for (const auto& id : view().dependencies().unrecorded()) write_end(id, {store::End::kCancelled, 0, {}});
}

void Controller::write_end(const JobId& id, const store::Ending& ending) {
  if (!p_.ending.insert(id).second) return;
  wire::Txn t{{{store::end_key(id), Revision()}, {store::leader_role_key(), view().leader().version}},
              {{store::end_key(id), store::to_json(ending), std::nullopt}}};
  env_.state.txn(n_, t, [this, id, t](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) p_.mirror->apply_own(t, r.revision);
    p_.mirror->sync([this, id](bool) { p_.ending.erase(id); });
  });
}

// Drops what is no longer needed of a job that is over.
void Controller::tidy() {
  if (!env_.queue.chance(kTidyShare)) return;
  for (const auto& id : p_.lead->drained()) {
    const auto* job = view().job(id);
    // Without an end of its own, those that it was cancelled through are still needed to know its state.
    if (!job || !view().ending(id).exists()) continue;
    std::vector<wire::Condition> keys{{store::job_key(id), job->created}};
    if (job->grants.exists()) keys.push_back({store::grants_key(id), job->grants.version});
    for (const auto& [part, p] : job->progress) keys.push_back({store::progress_key(part, id), p.version});
    wire::Txn t{{{store::leader_role_key(), view().leader().version}}, {}};
    for (auto part : p_.lead->returned_by_message(id))
      t.conditions.push_back({store::part_role_key(part), view().part_role(part).version});
    for (auto& k : keys) {
      t.writes.push_back({k.key, std::nullopt, std::nullopt});
      t.conditions.push_back(k);
    }
    return env_.state.txn(n_, t, [this](store::TxnResult) { p_.mirror->sync([](bool) {}); });
  }
}

void Controller::on_outcomes(const wire::Outcomes& o) {
  if (!p_.lead) return;
  wire::Outcomes known{o.part, o.term, {}};
  std::set<JobId> jobs;
  for (auto& j : o.jobs) {
    if (!view().job(j.job)) continue;
    known.jobs.push_back(j);
    jobs.insert(j.job);
  }
  p_.lead->on_outcomes(known, instant());
  show_leader(jobs);
}

void Controller::on_answer(const wire::Answer& a) {
  if (p_.lead) p_.lead->on_answer(a, instant());
}

}  // namespace beaconsill::sim
