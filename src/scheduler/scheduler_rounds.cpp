// Implements the scheduler's estimation rounds: when they begin, which grants they build, and how the result
// of the grants' transaction is handled.
#include <algorithm>
#include <utility>

#include "scheduler/grant_builder.h"
#include "scheduler/round_selection.h"
#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

// Minimum time between the starts of two rounds if the later one is urgent.
constexpr Duration kMinRoundInterval = std::chrono::milliseconds(20);

}  // namespace

std::optional<protocol::EstimateRequest> Scheduler::begin_round(Instant now, WallMs wall,
                                                                const std::set<ShardId>& reachable) {
  if (round_) return std::nullopt;
  // Without an urgent job, rounds only retry jobs that found no capacity, so they are further apart.
  if (now - last_round_at_ < (urgent_ ? kMinRoundInterval : params_.heartbeat_period / 2))
    return std::nullopt;
  // Urgent services get a round of their own, because a write for many arrays would delay them. But if new
  // services kept arriving while others find no capacity, all rounds would be for services, and the arrays
  // would wait forever. Therefore a round for all jobs takes place at least once in a heartbeat period.
  auto waiting = waiting_jobs();
  bool services_only =
      urgent_ && now - last_full_round_at_ < params_.heartbeat_period && waiting.has_grantable_service(now);
  if (!services_only) last_full_round_at_ = now;
  auto queue = waiting.build_queue(now, wall, services_only);
  auto selection = select_for_round(queue, jobs_, waiting, now, wall);
  urgent_ = false;
  if (selection.candidates.empty()) return std::nullopt;
  last_round_at_ = now;
  round_.emplace(next_round_++, now, reachable, std::move(selection));
  return round_->request();
}

bool Scheduler::has_services() const {
  return round_ && std::any_of(round_->candidates().begin(), round_->candidates().end(),
                               [&](const RoundCandidate& candidate) {
                                 const auto* entry = jobs_.find(candidate.job);
                                 return entry && entry->is_service();
                               });
}

std::optional<std::vector<Scheduler::Grant>> Scheduler::decide_grants(Instant now, const ShardTerms& terms,
                                                                      std::optional<std::size_t> max_jobs) {
  if (!round_ || round_->write_started()) return std::nullopt;
  if (!round_->responses_complete(now, params_.reply_wait)) return std::nullopt;
  round_->log_missing_responses();
  indeterminate_.drop_resolved(jobs_);
  auto superseding_jobs = indeterminate_.superseding_jobs();
  // If superseding writes alone fill a transaction, no new tasks are granted.
  bool only_superseding = superseding_jobs.size() >= params_.max_grants_per_txn;
  std::vector<Grant> grants;
  if (!only_superseding)
    grants = build_grants(now, terms, max_jobs.value_or(params_.max_grants_per_txn), superseding_jobs);
  if (grants.empty() && !only_superseding) {
    round_.reset();
    return grants;
  }
  add_superseding_grants(superseding_jobs, grants);
  round_->set_write_started();
  return grants;
}

std::vector<Scheduler::Grant> Scheduler::build_grants(Instant now, const ShardTerms& terms,
                                                      std::size_t max_jobs,
                                                      std::set<JobId>& superseding_jobs) const {
  const auto waiting = waiting_jobs();
  GrantBuilder builder(
      {*round_, jobs_, quota_, waiting, summaries_, terms, params_.rules, params_.heartbeat_period, now},
      assumed_.reserved_cpus());
  auto max_grants = std::max(std::min(max_jobs, params_.max_grants_per_txn), superseding_jobs.size() + 1);
  std::vector<Grant> grants;
  for (const auto& candidate : round_->candidates()) {
    if (grants.size() + superseding_jobs.size() >= max_grants) break;
    auto grant = builder.build(candidate);
    if (!grant) continue;
    superseding_jobs.erase(candidate.job);
    grants.push_back(std::move(*grant));
  }
  return grants;
}

void Scheduler::add_superseding_grants(const std::set<JobId>& superseding_jobs,
                                       std::vector<Grant>& grants) const {
  for (const auto& id : superseding_jobs) {
    if (grants.size() >= params_.max_grants_per_txn) break;
    const auto& entry = jobs_.at(id);
    grants.push_back(rewrite_current_grants(id, entry, quota_));
    grants.back().grants.revoke = entry.grants.revoke;
  }
}

void Scheduler::on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now) {
  // The next round is urgent if other jobs may have been left out, because the transaction was full or the
  // round may have been for services only. Jobs that arrive during the write make it urgent by themselves.
  bool more_may_wait = round_ && (grants.size() >= params_.max_grants_per_txn || has_services());
  round_.reset();
  if (more_may_wait) urgent_ = true;
  if (!revision) return indeterminate_.add(grants);
  for (const auto& grant : grants) {
    auto* entry = jobs_.find(grant.job);
    if (!entry) continue;
    entry->last_granted = now;
    for (const auto& chunk : grant.grants.chunks)
      if (chunk.generation > entry->grants.last)
        assumed_.add(chunk.shard, *revision, entry->spec().each.cpus * chunk.tasks.count());
  }
}

}  // namespace beaconsill::scheduler
