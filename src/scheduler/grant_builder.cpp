#include "scheduler/grant_builder.h"

#include <utility>

#include "scheduler/counts.h"

namespace beaconsill::scheduler {
namespace {

// An array that has been granted nothing for this long doesn't yield to gangs any more.
constexpr Duration kMaxYieldTime = std::chrono::seconds(60);
// A gang is revoked if some, but not all, of its tasks have been pending for this many heartbeat periods.
constexpr int kRevokeDelayPeriods = 2;

TasksByZone placed_tasks(const JobEntry& entry) {
  TasksByZone placed;
  for (const auto& retained : entry.retained_chunks)
    if (retained.chunk.zone) placed.add(*retained.chunk.zone, retained.unreleased_tasks);
  return placed;
}

Generation next_generation(Generation last) {
  return Generation(last.value() + 1);
}

}  // namespace

JobGrant rewrite_current_grants(const JobId& id, const JobEntry& entry, const QuotaLedger& quota) {
  JobGrant grant{id, {}, entry.grants_revision, quota.required_terms(entry)};
  grant.grants.last = entry.grants.last;
  for (const auto& retained : entry.retained_chunks) grant.grants.chunks.push_back(retained.chunk);
  return grant;
}

GrantBuilder::GrantBuilder(const GrantInputs& inputs, ReservedCpus reserved_cpus)
    : inputs_(inputs), usage_(inputs.quota.usage()), reserved_cpus_(std::move(reserved_cpus)) {}

std::optional<JobGrant> GrantBuilder::build(const RoundCandidate& candidate) {
  const auto* entry = inputs_.jobs.find(candidate.job);
  if (!entry || entry->terminal_state || entry->pending.empty()) return std::nullopt;
  auto grantable = inputs_.waiting.grantable_tasks(candidate.job, *entry, usage_, inputs_.now);
  if (grantable == 0 || yields_to_gang(*entry)) return std::nullopt;
  if (entry->is_gang()) {
    if (grantable < entry->pending.count()) return std::nullopt;
    if (entry->outstanding_tasks > 0) return revoke_gang(candidate.job, *entry);
  }
  auto offered = offered_capacity(candidate, *entry);
  if (entry->is_gang()) {
    offered.restrict_to_gang(grantable);
    if (!offered.has_free_capacity()) {
      // Arrays use any capacity as soon as it becomes free, so a large gang would never find enough. For a
      // limited time, arrays therefore yield to it.
      arrays_yield_ = arrays_yield_ || candidate.arrays_yield;
      return std::nullopt;
    }
  }
  auto placement = offered.place(grantable, entry->spec().kind);
  if (placement.empty()) return std::nullopt;
  return build_grant(candidate.job, *entry, placement);
}

bool GrantBuilder::yields_to_gang(const JobEntry& entry) const {
  return arrays_yield_ && entry.spec().kind == JobKind::kArray &&
         inputs_.now - entry.waiting_or_granted_since() < kMaxYieldTime;
}

std::optional<JobGrant> GrantBuilder::revoke_gang(const JobId& id, const JobEntry& entry) const {
  if (entry.grants.revoke) return std::nullopt;
  if (inputs_.now - entry.waiting_since < kRevokeDelayPeriods * inputs_.heartbeat_period) return std::nullopt;
  auto grant = rewrite_current_grants(id, entry, inputs_.quota);
  grant.grants.revoke = true;
  return grant;
}

OfferedCapacity GrantBuilder::offered_capacity(const RoundCandidate& candidate, const JobEntry& entry) {
  const auto& spec = entry.spec();
  OfferedCapacity offered(spec.one_zone || spec.spread);
  for (const auto& [shard, term] : inputs_.terms) {
    auto reserved_tasks = spec.each.cpus > 0 ? ceil_count(reserved_cpus_.on(shard) / spec.each.cpus) : 0;
    if (const auto* capacity = inputs_.round.capacity(shard, candidate)) {
      offered.add_shard(shard, *capacity, reserved_tasks);
    } else if (const auto* summary = inputs_.summaries.find(shard)) {
      const auto& request = inputs_.round.resource_request(candidate);
      offered.add_shard(shard, shard::estimate(*summary, request, inputs_.rules), reserved_tasks);
    }
  }
  if (spec.one_zone) offered.restrict_to_one_zone(placed_tasks(entry));
  if (spec.spread) offered.spread_over_zones(max_tasks_per_zone(spec), placed_tasks(entry));
  return offered;
}

JobGrant GrantBuilder::build_grant(const JobId& id, const JobEntry& entry, const Placement& placement) {
  const auto& spec = entry.spec();
  auto grant = rewrite_current_grants(id, entry, inputs_.quota);
  // Tasks whose release is only reported by message are still charged. This write removes them from their old
  // chunks, so that charge ends before the new chunks are charged.
  usage_.release(spec.team, spec.each * static_cast<double>(entry.released_by_message_tasks));
  Ranges pending = entry.pending;
  Attempt gang_attempt(entry.is_gang() ? entry.grants.last.value() + 1 : 0);
  std::optional<Priority> inherited_priority;
  if (entry.requirement.priority > spec.priority) inherited_priority = entry.requirement.priority;
  auto add_chunks = [&](const std::vector<ShardAllocation>& allocations, bool preempt) {
    for (const auto& allocation : allocations) {
      grant.grants.last = next_generation(grant.grants.last);
      grant.grants.chunks.push_back({grant.grants.last, allocation.shard, inputs_.terms.at(allocation.shard),
                                     pending.take(allocation.tasks), allocation.zone, preempt, gang_attempt,
                                     inherited_priority});
      reserved_cpus_.add(allocation.shard, spec.each.cpus * allocation.tasks);
      usage_.charge(spec.team, spec.each * static_cast<double>(allocation.tasks));
    }
  };
  add_chunks(placement.free, false);
  add_chunks(placement.preempting, true);
  return grant;
}

}  // namespace beaconsill::scheduler
