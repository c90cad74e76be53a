#include "controller/scheduler_service.h"

#include <algorithm>

#include "base/log.h"
#include "state_store/sizes.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kAutoscalePeriod = std::chrono::milliseconds(500);
constexpr Duration kListTick = std::chrono::milliseconds(2500);
constexpr Duration kGarbageCollectionPeriod = std::chrono::seconds(1);
// A transaction may take up so many seconds' worth of the leader's changes, lest what is urgent waits behind
// it; but so many changes always, or each would wait for the one before.
constexpr double kLongestTxnSeconds = 0.25;
constexpr std::size_t kLeastChangesAtOnce = 8;
// Of a transaction, at most: the key of a grant with its conditions, and its share of the other conditions.
constexpr std::size_t kKeysOfGrantBytes = 400;
constexpr double kValueShare = 0.9;  // of the limit for a value
}  // namespace

SchedulerService::SchedulerService(ControllerContext& ctx, PeerService& peers, ShardService& workers)
    : ctx_(ctx),
      peers_(peers),
      workers_(workers),
      tick_(ctx.io, [this] { pump(); }),
      autoscale_tick_(ctx.io, [this] { autoscale(); }),
      list_tick_(ctx.io, [this] { list_machines(); }),
      garbage_tick_(ctx.io, [this] { collect_garbage(); }),
      soon_(ctx.io, [this] { pump(); }) {}

void SchedulerService::start() {
  tick_.start(kTick);
  autoscale_tick_.start(kAutoscalePeriod);
  list_tick_.start(kListTick);
  garbage_tick_.start(kGarbageCollectionPeriod);
}

void SchedulerService::stop() {
  stopped_ = true;
  tick_.stop();
  autoscale_tick_.stop();
  list_tick_.stop();
  garbage_tick_.stop();
  soon_.stop();
}

void SchedulerService::become_leader(Term term) {
  term_ = term;
  ledger_read_ = reading_ = false;
  scheduler::SchedulerParams p;
  p.reply_wait = ctx_.policy.reply_wait;
  p.heartbeat_period = from_seconds(ctx_.settings.report_s);
  p.longest_wait = ctx_.policy.longest_wait;
  p.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  p.max_writes = max_changes_per_txn();
  scheduler_ = std::make_unique<scheduler::Scheduler>(p, ctx_.settings.teams, ctx_.settings.objectives);
  autoscaler_ = std::make_unique<scheduler::Autoscaler>(
      scheduler::AutoscalerParams{ctx_.policy.idle_return, ctx_.policy.quiet_return,
                                  from_seconds(ctx_.settings.list_lag_s), ctx_.policy.task_cap},
      "t" + std::to_string(term.value()) + "-");
  autoscaler_->set_catalogue(ctx_.catalogue);
  if (term > Term(1)) autoscaler_->on_takeover(ctx_.now());
  scheduler_->on_terms(terms());
  for (const auto& [shard, s] : summaries_) scheduler_->on_summary(s, ctx_.now());
  for (const auto& [id, job] : ctx_.view().jobs()) publish(id);
  list_machines();
  schedule_run();
}

void SchedulerService::step_down() {
  scheduler_.reset();
  autoscaler_.reset();
  completing_.clear();
  collecting_.clear();
}

std::optional<protocol::Condition> SchedulerService::still_leader() const {
  const auto& role = ctx_.view().leader();
  if (!scheduler_ || !ledger_read_ || !role.exists() || role.value.term != term_) return std::nullopt;
  return protocol::Condition{state_store::leader_role_key(), role.version};
}

std::map<ShardId, Term> SchedulerService::terms() const {
  std::map<ShardId, Term> out;
  for (std::uint32_t p = 0; p < ctx_.partitioning.shards(); ++p) {
    const auto& role = ctx_.view().shard_role(ShardId(p));
    if (role.exists()) out[ShardId(p)] = role.value.term;
  }
  return out;
}

void SchedulerService::on_view(const state_store::StateView::ChangeSet& t) {
  if (!scheduler_) return;
  std::set<JobId> jobs = t.jobs;
  if (t.roles)
    for (auto& id : scheduler_->on_terms(terms())) jobs.insert(id);
  refresh_jobs(jobs);
}

void SchedulerService::refresh_jobs(const std::set<JobId>& jobs) {
  for (const auto& id : jobs) publish(id);
  if (!jobs.empty()) schedule_run();
}

void SchedulerService::publish(const JobId& id) {
  const auto& view = ctx_.view();
  const auto* job = view.job(id);
  // Cancelled through others: none of its tasks can be anywhere, and there is nothing to serve.
  if (view.dependencies().unrecorded().contains(id)) job = nullptr;
  auto since = view.dependencies().ready_since(id);
  // Versions before pipelines don't record when a job ended: it counts from when that is seen.
  if (since && since->value() == 0) since = ctx_.clock.wall();
  scheduler_->on_job(id, job, view.end(id), ctx_.now(), since);
}

void SchedulerService::on_progress_report(const protocol::ProgressReport& o) {
  if (!scheduler_) return;
  protocol::ProgressReport known{o.shard, o.term, {}};
  std::set<JobId> jobs;
  for (const auto& j : o.jobs)
    if (ctx_.view().job(j.job)) {
      known.jobs.push_back(j);
      jobs.insert(j.job);
    }
  scheduler_->on_progress_report(known, ctx_.now());
  refresh_jobs(jobs);
}

void SchedulerService::on_estimate_response(const protocol::EstimateResponse& a) {
  if (!scheduler_) return;
  scheduler_->on_estimate_response(a, ctx_.now());
  schedule_run();
}

void SchedulerService::on_summary(const protocol::Summary& s) {
  summaries_[s.shard] = s;
  if (scheduler_) scheduler_->on_summary(s, ctx_.now());
}

void SchedulerService::on_catalogue() {
  if (autoscaler_) autoscaler_->set_catalogue(ctx_.catalogue);
}

void SchedulerService::schedule_run() {
  if (!soon_.pending()) soon_.set(Duration(0));
}

// The grants that an earlier leader wrote last may not be in the view yet: without them the ledger would
// allow more than a team's limit.
void SchedulerService::read_ledger() {
  if (ledger_read_ || reading_) return;
  reading_ = true;
  ctx_.watch_cache->sync([this, term = term_](bool ok) {
    if (stopped_ || !scheduler_ || term != term_) return;
    reading_ = false;
    ledger_read_ = ok;
    if (ok) schedule_run();
  });
}

void SchedulerService::pump() {
  if (!scheduler_) return;
  read_ledger();
  run_rounds();
  write_terminal_records();
  write_cancelled_dependents();
  write_versions();
}

void SchedulerService::run_rounds() {
  auto leader = still_leader();
  if (!leader) return;
  begin_round();
  // Services go at once, arrays as the budget of writes allows: what they would use up now, the next service
  // would wait for.
  bool services = scheduler_->has_services();
  auto most = services ? max_changes_per_txn() : std::max<std::size_t>(1, ctx_.store->spare_writes());
  auto grants = scheduler_->decide(ctx_.now(), terms(), most);
  if (!grants) return;
  drop_oversized(*grants);
  if (grants->empty()) return scheduler_->on_granted({}, std::nullopt, ctx_.now());
  write_grants(*grants, *leader,
               services ? state_store::Urgency::kUserRequest : state_store::Urgency::kBackground);
}

// Asks the owners of all shards in reach for estimates, unless a round is under way.
void SchedulerService::begin_round() {
  std::set<ShardId> reachable;
  for (const auto& [shard, term] : terms())
    if (peers_.reachable(ctx_.view().shard_role(shard).value.controller)) reachable.insert(shard);
  auto estimate_request = scheduler_->begin_round(ctx_.now(), ctx_.clock.wall(), reachable);
  if (!estimate_request) return;
  peers_.broadcast(*estimate_request);
  workers_.on_estimate_request(*estimate_request, [this](const protocol::EstimateResponse& a) {
    scheduler_->on_estimate_response(a, ctx_.now());
  });
}

// The state store refuses values beyond its limit, and with them the whole transaction.
void SchedulerService::drop_oversized(std::vector<scheduler::Scheduler::Grant>& grants) const {
  auto limit = static_cast<std::size_t>(static_cast<double>(ctx_.store->sizes().value_bytes()) * kValueShare);
  bool superseding_dropped = false;
  std::erase_if(grants, [&](auto& g) {
    const auto* job = ctx_.view().job(g.job);
    auto recorded = job ? job->grants.value.last : Generation();
    bool nothing_new = g.grants.last <= recorded;
    bool fits = g.grants.revoke || nothing_new
                    ? state_store::value_bytes(state_store::to_json(g.grants)) <= limit
                    : state_store::fit_grants(g.grants, recorded, limit);
    if (fits) return false;
    superseding_dropped |= nothing_new;
    spdlog::info("{}: its grants are in too many pieces for one value, it gets no more for now",
                 g.job.value());
    scheduler_->on_oversized(g.job);
    return true;
  });
  // What is written over so that an earlier transaction can't come beside these has to be in the same one.
  if (superseding_dropped) return grants.clear();
  fit_transaction(grants);
}

// Leaves out grants beyond what a transaction holds: they come with the next round. What is only written over
// comes first, and alone if not all of that fits.
void SchedulerService::fit_transaction(std::vector<scheduler::Scheduler::Grant>& grants) const {
  auto is_new = [&](const auto& g) {
    const auto* job = ctx_.view().job(g.job);
    return !job || g.grants.last > job->grants.value.last;
  };
  std::stable_partition(grants.begin(), grants.end(), [&](const auto& g) { return !is_new(g); });
  std::size_t bytes = 0;
  auto full = std::find_if(grants.begin(), grants.end(), [&](const auto& g) {
    bytes += state_store::value_bytes(state_store::to_json(g.grants)) + kKeysOfGrantBytes;
    return bytes > state_store::kMaxTxnBytes;
  });
  grants.erase(full, grants.end());
}

protocol::Txn SchedulerService::grants_txn(const std::vector<scheduler::Scheduler::Grant>& grants,
                                           const protocol::Condition& leader) const {
  protocol::Txn t;
  t.conditions.push_back(leader);
  std::set<ShardId> depends_on_shards;
  for (const auto& g : grants)
    depends_on_shards.insert(g.depends_on_shards.begin(), g.depends_on_shards.end());
  for (auto shard : depends_on_shards)
    t.conditions.push_back({state_store::shard_role_key(shard), ctx_.view().shard_role(shard).version});
  for (const auto& g : grants) {
    t.conditions.push_back({state_store::grants_key(g.job), g.expected});
    t.conditions.push_back({state_store::terminal_key(g.job), Revision()});
    t.writes.push_back({state_store::grants_key(g.job), state_store::to_json(g.grants), std::nullopt});
  }
  return t;
}

void SchedulerService::write_grants(const std::vector<scheduler::Scheduler::Grant>& grants,
                                    const protocol::Condition& leader, state_store::Urgency urgency) {
  auto t = grants_txn(grants, leader);
  ctx_.watch_cache->commit(t, urgency, [this, t, term = term_, grants](state_store::TxnResult r) {
    if (!scheduler_ || term != term_) return;
    if (r.outcome == state_store::RequestOutcome::kOk) {
      for (const auto& g : grants)
        for (const auto& c : g.grants.chunks)
          spdlog::debug("{}: granted {} tasks to part {}{}", g.job.value(), c.tasks.count(), c.shard.value(),
                        c.preempt ? ", by force" : "");
      scheduler_->on_granted(grants, r.revision, ctx_.now());
      ctx_.watch_cache->apply_own(t, r.revision);
      peers_.broadcast(protocol::ChangeNotification{r.revision});
      return schedule_run();
    }
    // It may have been applied, or something else was: look before the next round.
    ctx_.watch_cache->sync([this, term, grants](bool) {
      if (scheduler_ && term == term_) scheduler_->on_granted(grants, std::nullopt, ctx_.now());
    });
  });
}

std::size_t SchedulerService::max_changes_per_txn() const {
  const auto rate = std::min(ctx_.settings.state_write_rps, ctx_.settings.next_state_write_rps);
  const auto brief = static_cast<std::size_t>(rate * kLeaderShareOfChanges * kLongestTxnSeconds);
  return std::min(ctx_.store->sizes().txn_ops(), std::max(kLeastChangesAtOnce, brief));
}

void SchedulerService::rent() {
  if (!scheduler_ || !still_leader() || !ctx_.roles_read_since_pause()) return;
  auto now = ctx_.now();
  if (auto r = autoscaler_->rent(scheduler_->demand(now), now)) {
    ctx_.cloud->rent(*r, [this, req = *r, term = term_](cloud::CloudClient::RentOutcome o,
                                                        const std::vector<MachineName>& names) {
      if (!autoscaler_ || term != term_) return;
      switch (o) {
        case cloud::CloudClient::RentOutcome::kRented:
          autoscaler_->on_rented(req, names, ctx_.now());
          return rent();  // the next at once: machines take long enough to come up
        case cloud::CloudClient::RentOutcome::kNoCapacity:
          autoscaler_->on_refused(req, ctx_.now());
          return rent();
        case cloud::CloudClient::RentOutcome::kUnanswered:
          return autoscaler_->on_unanswered(ctx_.now());
      }
    });
  }
}

void SchedulerService::autoscale() {
  if (!scheduler_ || !still_leader() || !ctx_.roles_read_since_pause()) return;
  rent();
  auto now = ctx_.now();
  if (auto failed_instances = autoscaler_->failed_instances(now); !failed_instances.empty()) {
    ctx_.cloud->remove(failed_instances, [this, failed_instances](bool ok) {
      if (!ok || stopped_) return;
      peers_.broadcast(protocol::TerminatedMachines{failed_instances});
      workers_.on_machines_terminated(failed_instances);
    });
  }
  if (auto idle = autoscaler_->idle_instances(scheduler_->summaries(), !scheduler_->demand(now).empty(),
                                              scheduler_->busy());
      !idle.empty()) {
    peers_.broadcast(protocol::ReleaseMachines{idle});
    workers_.on_release(idle);
  }
}

// Thousands of machines are many pages, which take longer than a tick: lists that pile up would all wait in
// vain for the cloud's limit. Half of the time is left to rentals and deletions.
void SchedulerService::list_machines() {
  const auto begun = ctx_.now();
  if (!scheduler_ || listing_ || begun < list_next_) return;
  listing_ = true;
  ctx_.cloud->list([this, begun](std::optional<std::vector<protocol::ListedMachine>> machines) {
    listing_ = false;
    list_next_ = ctx_.now() + (ctx_.now() - begun);
    if (autoscaler_ && machines) autoscaler_->on_list(std::move(*machines), ctx_.now());
  });
}

}  // namespace beaconsill::controller
