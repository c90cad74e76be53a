#include "scheduler/grant_builder.h"

#include <utility>

#include "scheduler/counts.h"

namespace beaconsill::scheduler {
namespace {

// An array that has got nothing for so long yields no more.
constexpr Duration kMaxYieldTime = std::chrono::seconds(60);
// In heartbeat periods: a gang of which some tasks were released waits so long before the rest is revoked.
constexpr int kRevokeAfterPeriods = 2;

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

JobGrant rewritten_grant(const JobId& id, const JobEntry& entry, const QuotaLedger& quota) {
  JobGrant grant{id, {}, entry.grants_revision, quota.required_terms(entry)};
  grant.grants.last = entry.grants.last;
  for (const auto& retained : entry.retained_chunks) grant.grants.chunks.push_back(retained.chunk);
  return grant;
}

GrantBuilder::GrantBuilder(const GrantInputs& inputs, ReservedCpus reserved_cpus)
    : in_(inputs), usage_(inputs.quota.usage()), reserved_cpus_(std::move(reserved_cpus)) {}

std::optional<JobGrant> GrantBuilder::build(const RoundCandidate& candidate) {
  const auto* entry = in_.jobs.find(candidate.job);
  if (!entry || entry->terminal_state || entry->pending.empty()) return std::nullopt;
  auto wanted = in_.waiting.grantable_tasks(candidate.job, *entry, usage_, in_.now);
  if (wanted == 0 || yields_to_gang(*entry)) return std::nullopt;
  if (entry->is_gang()) {
    if (wanted < entry->pending.count()) return std::nullopt;
    if (entry->outstanding_tasks > 0) return revoked_gang(candidate.job, *entry);
  }
  auto offered = offered_capacity(candidate, *entry);
  if (entry->is_gang()) {
    offered.restrict_to_gang(wanted);
    if (!offered.has_free()) {
      // Arrays take whatever becomes free, and a large gang would never find its capacity: they yield for a
      // time.
      arrays_yield_ = arrays_yield_ || candidate.arrays_yield;
      return std::nullopt;
    }
  }
  auto placement = offered.place(wanted, entry->spec().kind);
  if (placement.empty()) return std::nullopt;
  return grant(candidate.job, *entry, placement);
}

bool GrantBuilder::yields_to_gang(const JobEntry& entry) const {
  return arrays_yield_ && entry.spec().kind == JobKind::kArray &&
         in_.now - entry.waiting_or_granted_since() < kMaxYieldTime;
}

std::optional<JobGrant> GrantBuilder::revoked_gang(const JobId& id, const JobEntry& entry) const {
  if (entry.grants.revoke) return std::nullopt;
  if (in_.now - entry.waiting_since < kRevokeAfterPeriods * in_.heartbeat_period) return std::nullopt;
  auto grant = rewritten_grant(id, entry, in_.quota);
  grant.grants.revoke = true;
  return grant;
}

OfferedCapacity GrantBuilder::offered_capacity(const RoundCandidate& candidate, const JobEntry& entry) {
  const auto& spec = entry.spec();
  OfferedCapacity offered(spec.one_zone || spec.spread);
  for (const auto& [shard, term] : in_.terms) {
    auto reserved_tasks = spec.each.cpus > 0 ? ceil_count(reserved_cpus_.on(shard) / spec.each.cpus) : 0;
    if (const auto* capacity = in_.round.capacity(shard, candidate)) {
      offered.add_shard(shard, *capacity, reserved_tasks);
    } else if (const auto* summary = in_.summaries.find(shard)) {
      const auto& request = in_.round.resource_request(candidate);
      offered.add_shard(shard, shard::estimate(*summary, request, in_.rules), reserved_tasks);
    }
  }
  if (spec.one_zone) offered.restrict_to_one_zone(placed_tasks(entry));
  if (spec.spread) offered.spread_over_zones(max_tasks_per_zone(spec), placed_tasks(entry));
  return offered;
}

JobGrant GrantBuilder::grant(const JobId& id, const JobEntry& entry, const Placement& placement) {
  const auto& spec = entry.spec();
  auto grant = rewritten_grant(id, entry, in_.quota);
  // Those are charged already, and granted anew by this write.
  usage_.release(spec.team, spec.each * static_cast<double>(entry.released_by_message_tasks));
  Ranges pending = entry.pending;
  Attempt attempt(entry.is_gang() ? entry.grants.last.value() + 1 : 0);
  std::optional<Priority> inherited;
  if (entry.requirement.priority > spec.priority) inherited = entry.requirement.priority;
  auto add_chunks = [&](const std::vector<ShardAllocation>& allocations, bool preempt) {
    for (const auto& allocation : allocations) {
      grant.grants.last = next_generation(grant.grants.last);
      grant.grants.chunks.push_back({grant.grants.last, allocation.shard, in_.terms.at(allocation.shard),
                                     pending.take(allocation.tasks), allocation.zone, preempt, attempt,
                                     inherited});
      reserved_cpus_.add(allocation.shard, spec.each.cpus * allocation.tasks);
      usage_.charge(spec.team, spec.each * static_cast<double>(allocation.tasks));
    }
  };
  add_chunks(placement.free, false);
  add_chunks(placement.preempting, true);
  return grant;
}

}  // namespace beaconsill::scheduler
