#include "node/leader_duty.h"

#include <algorithm>

#include "base/log.h"
#include "store/sizes.h"
#include "store/txn_draft.h"

namespace beaconsill::node {
namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kCapacityTick = std::chrono::milliseconds(500);
constexpr Duration kListTick = std::chrono::milliseconds(2500);
constexpr Duration kTidyTick = std::chrono::seconds(1);
// A transaction may take up so many seconds' worth of the leader's changes, lest what is urgent waits behind
// it; but so many changes always, or each would wait for the one before.
constexpr double kLongestTxnSeconds = 0.25;
constexpr std::size_t kLeastChangesAtOnce = 8;
// Of a transaction, at most: the key of a grant with its conditions, and its share of the other conditions.
constexpr std::size_t kKeysOfGrantBytes = 400;
constexpr double kValueShare = 0.9;  // of the limit for a value
}  // namespace

LeaderDuty::LeaderDuty(Context& ctx, PeersDuty& peers, WorkersDuty& workers)
    : ctx_(ctx),
      peers_(peers),
      workers_(workers),
      tick_(ctx.io, [this] { pump(); }),
      capacity_tick_(ctx.io, [this] { capacity(); }),
      list_tick_(ctx.io, [this] { list_machines(); }),
      tidy_tick_(ctx.io, [this] { tidy(); }),
      soon_(ctx.io, [this] { pump(); }) {}

void LeaderDuty::start() {
  tick_.start(kTick);
  capacity_tick_.start(kCapacityTick);
  list_tick_.start(kListTick);
  tidy_tick_.start(kTidyTick);
}

void LeaderDuty::stop() {
  stopped_ = true;
  tick_.stop();
  capacity_tick_.stop();
  list_tick_.stop();
  tidy_tick_.stop();
  soon_.stop();
}

void LeaderDuty::lead(Term term) {
  term_ = term;
  read_ = reading_ = false;
  lead::LeadParams p;
  p.reply_wait = ctx_.policy.reply_wait;
  p.report_period = from_seconds(ctx_.settings.report_s);
  p.longest_wait = ctx_.policy.longest_wait;
  p.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  p.max_writes = changes_at_once();
  lead_ = std::make_unique<lead::Lead>(p, ctx_.settings.teams, ctx_.settings.objectives);
  capacity_ = std::make_unique<lead::Capacity>(
      lead::CapacityParams{ctx_.policy.idle_return, ctx_.policy.quiet_return,
                           from_seconds(ctx_.settings.list_lag_s), ctx_.policy.task_cap},
      "t" + std::to_string(term.value()) + "-");
  capacity_->set_catalogue(ctx_.catalogue);
  if (term > Term(1)) capacity_->on_takeover(ctx_.now());
  lead_->on_terms(terms());
  for (const auto& [part, s] : summaries_) lead_->on_summary(s, ctx_.now());
  for (const auto& [id, job] : ctx_.view().jobs()) show(id);
  list_machines();
  kick();
}

void LeaderDuty::unlead() {
  lead_.reset();
  capacity_.reset();
  ending_.clear();
  tidying_.clear();
}

std::optional<wire::Condition> LeaderDuty::still_leader() const {
  const auto& role = ctx_.view().leader();
  if (!lead_ || !read_ || !role.exists() || role.value.term != term_) return std::nullopt;
  return wire::Condition{store::leader_role_key(), role.version};
}

std::map<PartId, Term> LeaderDuty::terms() const {
  std::map<PartId, Term> out;
  for (std::uint32_t p = 0; p < ctx_.parting.parts(); ++p) {
    const auto& role = ctx_.view().part_role(PartId(p));
    if (role.exists()) out[PartId(p)] = role.value.term;
  }
  return out;
}

void LeaderDuty::on_view(const store::View::Touched& t) {
  if (!lead_) return;
  std::set<JobId> jobs = t.jobs;
  if (t.roles)
    for (auto& id : lead_->on_terms(terms())) jobs.insert(id);
  go_through(jobs);
}

void LeaderDuty::go_through(const std::set<JobId>& jobs) {
  for (const auto& id : jobs) show(id);
  if (!jobs.empty()) kick();
}

void LeaderDuty::show(const JobId& id) {
  const auto& view = ctx_.view();
  const auto* job = view.job(id);
  // Cancelled through others: none of its tasks can be anywhere, and there is nothing to serve.
  if (view.dependencies().unrecorded().contains(id)) job = nullptr;
  auto since = view.dependencies().ready_since(id);
  // Versions before pipelines don't record when a job ended: it counts from when that is seen.
  if (since && since->value() == 0) since = ctx_.clock.wall();
  lead_->on_job(id, job, view.end(id), ctx_.now(), since);
}

void LeaderDuty::on_outcomes(const wire::Outcomes& o) {
  if (!lead_) return;
  wire::Outcomes known{o.part, o.term, {}};
  std::set<JobId> jobs;
  for (const auto& j : o.jobs)
    if (ctx_.view().job(j.job)) {
      known.jobs.push_back(j);
      jobs.insert(j.job);
    }
  lead_->on_outcomes(known, ctx_.now());
  go_through(jobs);
}

void LeaderDuty::on_answer(const wire::Answer& a) {
  if (!lead_) return;
  lead_->on_answer(a, ctx_.now());
  kick();
}

void LeaderDuty::on_summary(const wire::Summary& s) {
  summaries_[s.part] = s;
  if (lead_) lead_->on_summary(s, ctx_.now());
}

void LeaderDuty::on_catalogue() {
  if (capacity_) capacity_->set_catalogue(ctx_.catalogue);
}

void LeaderDuty::kick() {
  if (!soon_.pending()) soon_.set(Duration(0));
}

// The grants that an earlier leader wrote last may not be in the view yet: without them the ledger would
// allow more than a team's limit.
void LeaderDuty::read_all() {
  if (read_ || reading_) return;
  reading_ = true;
  ctx_.mirror->sync([this, term = term_](bool ok) {
    if (stopped_ || !lead_ || term != term_) return;
    reading_ = false;
    read_ = ok;
    if (ok) kick();
  });
}

void LeaderDuty::pump() {
  if (!lead_) return;
  read_all();
  rounds();
  write_ends();
  write_cancelled();
  write_versions();
}

void LeaderDuty::rounds() {
  auto leader = still_leader();
  if (!leader) return;
  begin_round();
  // Services go at once, arrays as the budget of writes allows: what they would use up now, the next service
  // would wait for.
  bool services = lead_->for_services();
  auto most = services ? changes_at_once() : std::max<std::size_t>(1, ctx_.store->spare_writes());
  auto grants = lead_->decide(ctx_.now(), terms(), most);
  if (!grants) return;
  drop_oversized(*grants);
  if (grants->empty()) return lead_->on_granted({}, std::nullopt, ctx_.now());
  write_grants(*grants, *leader, services ? store::Urgency::kUser : store::Urgency::kWork);
}

// Asks the owners of all parts in reach for estimates, unless a round is under way.
void LeaderDuty::begin_round() {
  std::set<PartId> reachable;
  for (const auto& [part, term] : terms())
    if (peers_.reachable(ctx_.view().part_role(part).value.node)) reachable.insert(part);
  auto ask = lead_->begin_round(ctx_.now(), ctx_.clock.wall(), reachable);
  if (!ask) return;
  peers_.broadcast(*ask);
  workers_.on_ask(*ask, [this](const wire::Answer& a) { lead_->on_answer(a, ctx_.now()); });
}

// The state service refuses values beyond its limit, and with them the whole transaction.
void LeaderDuty::drop_oversized(std::vector<lead::Lead::Grant>& grants) const {
  auto limit = static_cast<std::size_t>(static_cast<double>(ctx_.store->sizes().value_bytes()) * kValueShare);
  bool fence_dropped = false;
  std::erase_if(grants, [&](auto& g) {
    const auto* job = ctx_.view().job(g.job);
    auto recorded = job ? job->grants.value.last : Generation();
    bool nothing_new = g.grants.last <= recorded;
    bool fits = g.grants.recall || nothing_new ? store::value_bytes(store::to_json(g.grants)) <= limit
                                               : store::fit_grants(g.grants, recorded, limit);
    if (fits) return false;
    fence_dropped |= nothing_new;
    spdlog::info("{}: its grants are in too many pieces for one value, it gets no more for now",
                 g.job.value());
    lead_->on_too_long(g.job);
    return true;
  });
  // What is written over so that an earlier transaction can't come beside these has to be in the same one.
  if (fence_dropped) return grants.clear();
  fit_transaction(grants);
}

// Leaves out grants beyond what a transaction holds: they come with the next round. What is only written over
// comes first, and alone if not all of that fits.
void LeaderDuty::fit_transaction(std::vector<lead::Lead::Grant>& grants) const {
  auto is_new = [&](const auto& g) {
    const auto* job = ctx_.view().job(g.job);
    return !job || g.grants.last > job->grants.value.last;
  };
  std::stable_partition(grants.begin(), grants.end(), [&](const auto& g) { return !is_new(g); });
  std::size_t bytes = 0;
  auto full = std::find_if(grants.begin(), grants.end(), [&](const auto& g) {
    bytes += store::value_bytes(store::to_json(g.grants)) + kKeysOfGrantBytes;
    return bytes > store::kMaxTxnBytes;
  });
  grants.erase(full, grants.end());
}

wire::Txn LeaderDuty::grants_txn(const std::vector<lead::Lead::Grant>& grants,
                                 const wire::Condition& leader) const {
  wire::Txn t;
  t.conditions.push_back(leader);
  std::set<PartId> rests_on;
  for (const auto& g : grants) rests_on.insert(g.rests_on.begin(), g.rests_on.end());
  for (auto part : rests_on)
    t.conditions.push_back({store::part_role_key(part), ctx_.view().part_role(part).version});
  for (const auto& g : grants) {
    t.conditions.push_back({store::grants_key(g.job), g.expected});
    t.conditions.push_back({store::end_key(g.job), Revision()});
    t.writes.push_back({store::grants_key(g.job), store::to_json(g.grants), std::nullopt});
  }
  return t;
}

void LeaderDuty::write_grants(const std::vector<lead::Lead::Grant>& grants, const wire::Condition& leader,
                              store::Urgency urgency) {
  auto t = grants_txn(grants, leader);
  ctx_.mirror->commit(t, urgency, [this, t, term = term_, grants](store::TxnResult r) {
    if (!lead_ || term != term_) return;
    if (r.outcome == store::Outcome::kOk) {
      for (const auto& g : grants)
        for (const auto& c : g.grants.chunks)
          spdlog::debug("{}: granted {} tasks to part {}{}", g.job.value(), c.tasks.count(), c.part.value(),
                        c.preempt ? ", by force" : "");
      lead_->on_granted(grants, r.revision, ctx_.now());
      ctx_.mirror->apply_own(t, r.revision);
      peers_.broadcast(wire::Nudge{r.revision});
      return kick();
    }
    // It may have been applied, or something else was: look before the next round.
    ctx_.mirror->sync([this, term, grants](bool) {
      if (lead_ && term == term_) lead_->on_granted(grants, std::nullopt, ctx_.now());
    });
  });
}

std::size_t LeaderDuty::changes_at_once() const {
  const auto rate = std::min(ctx_.settings.state_write_rps, ctx_.settings.next_state_write_rps);
  const auto brief = static_cast<std::size_t>(rate * kLeaderShareOfChanges * kLongestTxnSeconds);
  return std::min(ctx_.store->sizes().txn_ops(), std::max(kLeastChangesAtOnce, brief));
}

void LeaderDuty::rent() {
  if (!lead_ || !still_leader() || !ctx_.roles_read_since_waking()) return;
  auto now = ctx_.now();
  if (auto r = capacity_->rent(lead_->demand(now), now)) {
    ctx_.cloud->rent(*r, [this, req = *r, term = term_](cloud::CloudClient::RentOutcome o,
                                                        const std::vector<MachineName>& names) {
      if (!capacity_ || term != term_) return;
      switch (o) {
        case cloud::CloudClient::RentOutcome::kRented:
          capacity_->on_rented(req, names, ctx_.now());
          return rent();  // the next at once: machines take long enough to come up
        case cloud::CloudClient::RentOutcome::kNoCapacity:
          capacity_->on_refused(req, ctx_.now());
          return rent();
        case cloud::CloudClient::RentOutcome::kUnanswered:
          return capacity_->on_unanswered(ctx_.now());
      }
    });
  }
}

void LeaderDuty::capacity() {
  if (!lead_ || !still_leader() || !ctx_.roles_read_since_waking()) return;
  rent();
  auto now = ctx_.now();
  if (auto dead = capacity_->dead(now); !dead.empty()) {
    ctx_.cloud->remove(dead, [this, dead](bool ok) {
      if (!ok || stopped_) return;
      peers_.broadcast(wire::Gone{dead});
      workers_.on_gone(dead);
    });
  }
  if (auto idle = capacity_->surplus(lead_->summaries(), !lead_->demand(now).empty(), lead_->busy());
      !idle.empty()) {
    peers_.broadcast(wire::Release{idle});
    workers_.on_release(idle);
  }
}

// Thousands of machines are many pages, which take longer than a tick: lists that pile up would all wait in
// vain for the cloud's limit. Half of the time is left to rentals and deletions.
void LeaderDuty::list_machines() {
  const auto begun = ctx_.now();
  if (!lead_ || listing_ || begun < list_next_) return;
  listing_ = true;
  ctx_.cloud->list([this, begun](std::optional<std::vector<wire::ListedMachine>> machines) {
    listing_ = false;
    list_next_ = ctx_.now() + (ctx_.now() - begun);
    if (capacity_ && machines) capacity_->on_list(std::move(*machines), ctx_.now());
  });
}

}  // namespace beaconsill::node
