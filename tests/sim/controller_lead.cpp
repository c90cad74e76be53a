// The leader: rounds, grants, and what it records of jobs that are over.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kReplyWait = 0.5;
constexpr double kLongestWait = 60;
constexpr double kTidyShare = 0.2;  // of the ticks
}  // namespace

void Controller::lead(Term term) {
  lead::LeadParams p;
  p.reply_wait = from_seconds(kReplyWait);
  p.report_period = from_seconds(env_.options.report_s);
  p.longest_wait = from_seconds(kLongestWait);
  std::vector<config::TeamSettings> teams{{Team("blue"), 8, kTeamCpus, 0, 0},
                                          {Team("green"), 8, kTeamCpus, 0, 0}};
  if (mistake(Mistake::kLimitIgnored)) teams.clear();
  p_.lead = std::make_unique<lead::Lead>(p, teams, std::vector<config::Objective>{});
  p_.lead_term = term;
  p_.lead_read = false;
  p_.lead->on_terms(terms());
  for (const auto& [id, job] : p_.view.jobs()) p_.lead->on_job(id, &job, p_.view.end(id), instant());
  sync([this, term](bool ok) {
    if (p_.lead && p_.lead_term == term) p_.lead_read = ok;
  });
}

void Controller::read_ledger() {
  sync([this, term = p_.lead_term](bool ok) {
    if (p_.lead && p_.lead_term == term && ok) p_.lead_read = true;
  });
}

void Controller::tick_lead() {
  const auto& role = p_.view.leader();
  if (!p_.lead || !p_.lead_read || !role.exists() || role.value.term != p_.lead_term) return;
  auto all = terms();
  std::set<PartId> reachable;
  for (auto& [p, term] : all) reachable.insert(p);
  if (auto ask = p_.lead->begin_round(instant(), env_.queue.wall(), reachable))
    for (int to = 0; to < kControllers; ++to)
      env_.network.peer(n_, to, [this, to, ask = *ask] { env_.controller(to).on_ask(n_, ask); });
  if (auto grants = p_.lead->decide(instant(), all); grants && !grants->empty()) write_grants(*grants);
  write_ends();
  tidy();
}

void Controller::write_grants(const std::vector<lead::Lead::Grant>& grants) {
  wire::Txn t;
  bool conditional = !mistake(Mistake::kNoRoleCondition);
  if (conditional) t.conditions.push_back({store::leader_role_key(), p_.view.leader().version});
  std::set<PartId> rests_on;
  for (const auto& g : grants) rests_on.insert(g.rests_on.begin(), g.rests_on.end());
  for (auto p : rests_on) t.conditions.push_back({store::part_role_key(p), p_.view.part_role(p).version});
  for (const auto& g : grants) {
    if (conditional) t.conditions.push_back({store::grants_key(g.job), g.expected});
    t.conditions.push_back({store::end_key(g.job), Revision()});
    t.writes.push_back({store::grants_key(g.job), store::to_json(g.grants), std::nullopt});
  }
  env_.state.txn(n_, t, [this, term = p_.lead_term, t, grants](Result r, Revision rev) {
    if (!p_.lead || p_.lead_term != term) return;
    if (r == Result::kOk) {
      p_.lead->on_granted(grants, rev, instant());
      return apply_own(t, rev);
    }
    sync([this, term, grants](bool) {
      if (p_.lead && p_.lead_term == term) p_.lead->on_granted(grants, std::nullopt, instant());
    });
  });
}

void Controller::write_ends() {
  auto finished = p_.lead->finished();
  if (mistake(Mistake::kDoneTooSoon))
    for (const auto& [id, j] : p_.view.jobs())
      if (j.record.spec && j.record.spec->kind == JobKind::kArray && !p_.view.end(id) &&
          j.done().count() * 2 > j.record.spec->tasks)
        finished.push_back(id);
  for (const auto& id : finished) {
    if (!p_.ending.insert(id).second || !p_.view.job(id)) continue;
    wire::Txn t{{{store::end_key(id), Revision()}, {store::leader_role_key(), p_.view.leader().version}},
                {{store::end_key(id), store::to_json(store::Ending{store::End::kDone, 0}), std::nullopt}}};
    env_.state.txn(n_, t, [this, id](Result, Revision) { sync([this, id](bool) { p_.ending.erase(id); }); });
  }
}

// Drops what is no longer needed of a job that is over.
void Controller::tidy() {
  if (!env_.queue.chance(kTidyShare)) return;
  for (const auto& id : p_.lead->drained()) {
    const auto* job = p_.view.job(id);
    if (!job) continue;
    std::vector<wire::Condition> keys{{store::job_key(id), job->created}};
    if (job->grants.exists()) keys.push_back({store::grants_key(id), job->grants.version});
    for (const auto& [part, p] : job->progress) keys.push_back({store::progress_key(part, id), p.version});
    wire::Txn t{{{store::leader_role_key(), p_.view.leader().version}}, {}};
    for (auto part : p_.lead->returned_by_message(id))
      t.conditions.push_back({store::part_role_key(part), p_.view.part_role(part).version});
    for (auto& k : keys) {
      t.writes.push_back({k.key, std::nullopt, std::nullopt});
      t.conditions.push_back(k);
    }
    return env_.state.txn(n_, t, [this](Result, Revision) { sync([](bool) {}); });
  }
}

void Controller::on_outcomes(const wire::Outcomes& o) {
  if (!p_.lead) return;
  wire::Outcomes known{o.part, o.term, {}};
  for (auto& j : o.jobs)
    if (p_.view.job(j.job)) known.jobs.push_back(j);
  p_.lead->on_outcomes(known);
  for (auto& j : known.jobs) p_.lead->on_job(j.job, p_.view.job(j.job), p_.view.end(j.job), instant());
}

void Controller::on_answer(const wire::Answer& a) {
  if (p_.lead) p_.lead->on_answer(a, instant());
}

}  // namespace beaconsill::sim
