// Implements the scheduler's handling of events on jobs and shards, and its queries.
#include "scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace beaconsill::scheduler {
namespace {

// How many heartbeat periods pass between the completion of a job's last dependency and the start of the
// job's first tasks.
constexpr int kDependencyDelayPeriods = 3;
// A job whose grants didn't fit into one value of the state store takes part in rounds again when they are
// smaller than this fraction of their size at that time.
constexpr double kOversizedRetryFraction = 0.9;

}  // namespace

Scheduler::Scheduler(SchedulerParams params, std::vector<config::TeamSettings> teams,
                     std::vector<config::Objective> objectives)
    : params_(params), quota_(std::move(teams)), deadlines_(std::move(objectives), params.longest_wait) {}

void Scheduler::on_job(const JobId& id, const state_store::Job* job,
                       std::optional<state_store::TerminalState> terminal_state, Instant now,
                       std::optional<WallMs> ready_since) {
  if (const auto* entry = jobs_.find(id)) quota_.release(*entry);
  jobs_.unindex(id);
  if (terminal_state || !job) {
    inherited_.on_terminated(id);
    crash_loops_.erase(id);
  }
  if (!job || !job->record.spec) return remove_job(id);
  if (!job->record.spec->depends_on.empty() && !terminal_state && !ready_since) {
    jobs_.erase(id);
    return await_dependencies(id, job->record);
  }
  inherited_.on_wait_ended(id);
  update_job(id, *job, terminal_state, now, ready_since);
}

void Scheduler::remove_job(const JobId& id) {
  jobs_.erase(id);
  reported_.erase(id);
}

void Scheduler::await_dependencies(const JobId& id, const state_store::JobRecord& record) {
  const auto& spec = *record.spec;
  // To complete in time, the job has to start one run time earlier, and its first tasks start a few
  // heartbeats after its last dependency is complete.
  auto lead_time = from_seconds(spec.estimate_s) + kDependencyDelayPeriods * params_.heartbeat_period;
  inherited_.on_wait_started(id, spec.depends_on, {spec.priority, deadlines_.due_times(record, std::nullopt)},
                             lead_time);
  refresh_requirements();
}

void Scheduler::update_job(const JobId& id, const state_store::Job& job,
                           std::optional<state_store::TerminalState> terminal_state, Instant now,
                           std::optional<WallMs> ready_since) {
  bool is_new = !jobs_.find(id);
  auto& entry = jobs_.find_or_insert(id);
  auto pending_before = entry.pending.count();
  entry.update(job, terminal_state, reported_.find(id));
  if (!entry.done.empty()) crash_loops_.erase(id);
  if (entry.spec().depends_on.empty()) {
    entry.eligible_since = entry.record.submitted;
  } else if (is_new && ready_since) {
    entry.eligible_since = *ready_since;
  }
  entry.requirement = requirement_of(id, entry);
  if (entry.oversized_grants_size &&
      static_cast<double>(entry.grants_size()) <
          static_cast<double>(*entry.oversized_grants_size) * kOversizedRetryFraction)
    entry.oversized_grants_size.reset();
  if (is_new || (pending_before == 0 && !entry.pending.empty())) entry.waiting_since = now;
  // A new job, or a service replica that lost its machine, shouldn't wait for the next regular round.
  bool lost_replica = entry.is_service() && entry.pending.count() > pending_before;
  if (!entry.pending.empty() && (!entry.granted_before || lost_replica)) urgent_ = true;
  quota_.charge(entry);
  jobs_.index(id, entry);
}

Requirement Scheduler::requirement_of(const JobId& id, const JobEntry& entry) const {
  return combined_requirement(
      {entry.spec().priority, deadlines_.due_times(entry.record, entry.eligible_since)},
      inherited_.inherited_by(id));
}

void Scheduler::refresh_requirements() {
  for (const auto& id : inherited_.take_changed())
    if (auto* entry = jobs_.find(id)) entry->requirement = requirement_of(id, *entry);
}

void Scheduler::on_oversized(const JobId& id) {
  if (auto* entry = jobs_.find(id))
    entry->oversized_grants_size = std::max<std::size_t>(1, entry->grants_size());
}

void Scheduler::on_progress_report(const protocol::ProgressReport& report, Instant now) {
  for (const auto& job : report.jobs) on_job_health(job.job, job.health, now);
  reported_.on_report(report);
}

void Scheduler::on_job_health(const JobId& id, protocol::JobHealth health, Instant now) {
  const auto* entry = jobs_.find(id);
  if (!entry || entry->terminal_state || !entry->done.empty()) return;
  crash_loops_.on_job_health(id, health, entry->last_granted, now);
}

std::vector<JobId> Scheduler::on_terms(const ShardTerms& terms) {
  return reported_.on_terms(terms);
}

void Scheduler::on_summary(const protocol::Summary& summary) {
  summaries_.update(summary);
}

void Scheduler::on_estimate_response(const protocol::EstimateResponse& response) {
  if (round_ && round_->on_response(response)) assumed_.acknowledge(response.shard, response.seen);
}

std::optional<Duration> Scheduler::lateness(const JobId& id, WallMs wall) const {
  const auto* entry = jobs_.find(id);
  if (!entry) return std::nullopt;
  const auto& due_ms = entry->requirement.due_ms;
  if (due_ms.empty() || wall.value() <= due_ms.front()) return std::nullopt;
  return std::chrono::milliseconds(wall.value() - due_ms.front());
}

std::set<ShardId> Scheduler::released_by_message(const JobId& id) const {
  const auto* entry = jobs_.find(id);
  return entry ? entry->released_by_message : std::set<ShardId>{};
}

}  // namespace beaconsill::scheduler
