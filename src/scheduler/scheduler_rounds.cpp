// Estimation rounds: when they begin, what they grant, and what became of the grants.
#include <algorithm>
#include <utility>

#include "scheduler/grant_builder.h"
#include "scheduler/round_selection.h"
#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

// Between two rounds, if the later one is urgent.
constexpr Duration kMinRoundGap = std::chrono::milliseconds(20);

}  // namespace

std::optional<protocol::EstimateRequest> Scheduler::begin_round(Instant now, WallMs wall,
                                                                const std::set<ShardId>& reachable) {
  if (round_) return std::nullopt;
  // Between rounds for work that didn't fit some time passes, unless something new came.
  if (now - last_round_ < (urgent_ ? kMinRoundGap : params_.heartbeat_period / 2)) return std::nullopt;
  // Urgent services go by themselves: a write for many arrays would delay them. But services that find no
  // capacity would delay the arrays without end, as others come.
  auto waiting = waiting_jobs();
  bool services_only =
      urgent_ && now - last_full_round_ < params_.heartbeat_period && waiting.has_grantable_service(now);
  if (!services_only) last_full_round_ = now;
  auto queue = waiting.build_queue(now, wall, services_only);
  auto selection = select_for_round(queue, jobs_, waiting, now, wall);
  urgent_ = false;
  if (selection.candidates.empty()) return std::nullopt;
  last_round_ = now;
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

std::optional<std::vector<Scheduler::Grant>> Scheduler::decide(Instant now, const ShardTerms& terms,
                                                               std::optional<std::size_t> max_jobs) {
  if (!round_ || round_->writing()) return std::nullopt;
  if (!round_->responses_complete(now, params_.reply_wait)) return std::nullopt;
  round_->log_missing_responses();
  indeterminate_.drop_settled(jobs_);
  auto superseding = indeterminate_.superseding_writes();
  // If they fill a transaction, nothing is granted beside them.
  bool only_superseding = superseding.size() >= params_.max_writes;
  std::vector<Grant> grants;
  if (!only_superseding)
    grants = build_grants(now, terms, max_jobs.value_or(params_.max_writes), superseding);
  if (grants.empty() && !only_superseding) {
    round_.reset();
    return grants;
  }
  add_superseding(superseding, grants);
  round_->set_writing();
  return grants;
}

// Removes from `superseding` the jobs that are granted something, as those grants are superseding writes as
// well.
std::vector<Scheduler::Grant> Scheduler::build_grants(Instant now, const ShardTerms& terms,
                                                      std::size_t max_jobs,
                                                      std::set<JobId>& superseding) const {
  const auto waiting = waiting_jobs();
  GrantBuilder builder(
      {*round_, jobs_, quota_, waiting, summaries_, terms, params_.rules, params_.heartbeat_period, now},
      assumed_.reserved_cpus());
  auto max_grants = std::max(std::min(max_jobs, params_.max_writes), superseding.size() + 1);
  std::vector<Grant> grants;
  for (const auto& candidate : round_->candidates()) {
    if (grants.size() + superseding.size() >= max_grants) break;
    auto grant = builder.build(candidate);
    if (!grant) continue;
    superseding.erase(candidate.job);
    grants.push_back(std::move(*grant));
  }
  return grants;
}

void Scheduler::add_superseding(const std::set<JobId>& superseding, std::vector<Grant>& grants) const {
  for (const auto& id : superseding) {
    if (grants.size() >= params_.max_writes) break;
    const auto& entry = jobs_.at(id);
    grants.push_back(rewritten_grant(id, entry, quota_));
    grants.back().grants.revoke = entry.grants.revoke;
  }
}

void Scheduler::on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now) {
  // Others may have come while it was written, and services go by themselves.
  bool more = round_ && (grants.size() >= params_.max_writes || has_services());
  round_.reset();
  if (more) urgent_ = true;
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
