// The leader's scheduler: a state machine that turns waiting jobs into grants of tasks to shards. It has no
// sockets and no clock: the controller feeds it with events, sends its requests and commits its grants.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "config/settings.h"
#include "protocol/peer.h"
#include "scheduler/assumed_grants.h"
#include "scheduler/crash_loop_backoff.h"
#include "scheduler/deadline_planner.h"
#include "scheduler/estimation_round.h"
#include "scheduler/indeterminate_grants.h"
#include "scheduler/inherited_requirements.h"
#include "scheduler/job_grant.h"
#include "scheduler/job_table.h"
#include "scheduler/quota_ledger.h"
#include "scheduler/reported_progress.h"
#include "scheduler/shard_summaries.h"
#include "scheduler/shard_terms.h"
#include "scheduler/waiting_jobs.h"
#include "shard/estimator.h"
#include "state_store/state_view.h"

namespace beaconsill::scheduler {

struct SchedulerParams {
  Duration reply_wait{};        // how long a round waits for the shards' responses
  Duration heartbeat_period{};  // also the period of rounds for jobs that found no capacity
  Duration longest_wait{};      // after which a job of which nothing has begun is starving
  shard::PackingRules rules;
  std::size_t max_writes = 8;  // grants in one transaction
};

// Coordinates the classes of this package; each of them keeps its own state. Not thread-safe.
class Scheduler {
 public:
  Scheduler(SchedulerParams params, std::vector<config::TeamSettings> teams,
            std::vector<config::Objective> objectives);

  // ---- Events
  // A job as the state store holds it, or null if it was removed; to be called for each change.
  // `terminal_state`: it's over. `ready_since`: when the last of its dependencies was done; none: it still
  // waits for some. While it waits it's in no queue, round, quota or demand.
  void on_job(const JobId& id, const state_store::Job* job,
              std::optional<state_store::TerminalState> terminal_state, Instant now,
              std::optional<WallMs> ready_since = std::nullopt);
  // A shard leader's report on tasks granted to it. on_job must then be called for each of its jobs.
  void on_progress_report(const protocol::ProgressReport& report, Instant now);
  // The present terms of the shards. Releases reported under another term count no more; returns the jobs
  // concerned, for which on_job must be called.
  std::vector<JobId> on_terms(const ShardTerms& terms);
  void on_summary(const protocol::Summary& summary);
  void on_estimate_response(const protocol::EstimateResponse& response);

  // ---- Estimation rounds
  using Grant = JobGrant;
  // Begins a round if there is something to grant and the last one is long enough ago; the request is to be
  // sent to all shards. `reachable`: shards whose responses are worth waiting for.
  std::optional<protocol::EstimateRequest> begin_round(Instant now, WallMs wall,
                                                       const std::set<ShardId>& reachable);
  // The round's grants, once every shard has responded or was waited for long enough; none before. `terms`:
  // of each shard. At most `max_jobs` jobs are granted tasks, by default as many as fit into a transaction.
  // If there are grants, they have to be written in one transaction and `on_granted` called; else the round
  // is over.
  std::optional<std::vector<Grant>> decide(Instant now, const ShardTerms& terms,
                                           std::optional<std::size_t> max_jobs = std::nullopt);
  // Whether the open round has some service among its jobs.
  bool has_services() const;
  // The transaction with the round's grants ended: committed at `revision`, or indeterminate if there is
  // none.
  void on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now);
  // The job's grants don't fit into one value. It's in no round until what it holds has got shorter;
  // otherwise it would take a place in every round from the jobs behind it.
  void on_oversized(const JobId& id);
  bool round_open() const { return round_.has_value(); }

  // ---- Completion
  // Jobs all of whose tasks are done, to be recorded as such.
  std::vector<JobId> completed() const { return {jobs_.completed().begin(), jobs_.completed().end()}; }
  // By how much the job has missed the first of its due times; none if it hasn't, or has no due time.
  std::optional<Duration> lateness(const JobId& id, WallMs wall) const;
  // Jobs that are over and none of whose tasks can be on any machine: their keys can be deleted.
  std::vector<JobId> collectable() const { return {jobs_.collectable().begin(), jobs_.collectable().end()}; }
  // The shards of which only messages show that some of the job's tasks were released. What is written
  // because of that must be conditional on their present terms, as with JobGrant::depends_on_shards.
  std::set<ShardId> released_by_message(const JobId& id) const;

  // ---- Queries
  std::vector<Demand> demand(Instant now) const { return waiting_jobs().demand(now); }
  const ShardSummaries& summaries() const { return summaries_; }
  // Whether any job isn't over.
  bool busy() const { return !inherited_.empty() || !jobs_.open().empty(); }

 private:
  WaitingJobs waiting_jobs() const { return {jobs_, quota_, crash_loops_, deadlines_}; }

  void remove_job(const JobId& id);
  void await_dependencies(const JobId& id, const state_store::JobRecord& record);
  void update_job(const JobId& id, const state_store::Job& job,
                  std::optional<state_store::TerminalState> terminal_state, Instant now,
                  std::optional<WallMs> ready_since);
  Requirement requirement_of(const JobId& id, const JobEntry& entry) const;
  // After a change of what waiting jobs need of their dependencies.
  void refresh_requirements();
  void on_job_health(const JobId& id, protocol::JobHealth health, Instant now);

  std::vector<Grant> build_grants(Instant now, const ShardTerms& terms, std::size_t max_jobs,
                                  std::set<JobId>& superseding) const;
  void add_superseding(const std::set<JobId>& superseding, std::vector<Grant>& grants) const;

  SchedulerParams params_;
  JobTable jobs_;
  QuotaLedger quota_;
  DeadlinePlanner deadlines_;
  InheritedRequirements inherited_;  // of jobs that wait for dependencies
  CrashLoopBackoff crash_loops_;
  ReportedProgress reported_;
  AssumedGrants assumed_;
  IndeterminateGrants indeterminate_;
  ShardSummaries summaries_;
  std::optional<EstimationRound> round_;
  std::uint64_t next_round_ = 1;
  Instant last_round_{};
  Instant last_full_round_{};  // last one that wasn't for services only
  bool urgent_ = false;        // something came that shouldn't wait for the next period
};

}  // namespace beaconsill::scheduler
