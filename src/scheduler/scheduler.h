// The scheduler of the leader: a state machine that decides which shards are granted which tasks of the
// waiting jobs. It has no sockets and no clock: the controller passes events to it, sends its requests and
// commits its grants.
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
  Duration heartbeat_period{};  // regular rounds are at least half of it apart
  Duration longest_wait{};      // a job that waits for longer with no outstanding or done task is starving
  shard::PackingRules rules;
  std::size_t max_grants_per_txn = 8;
};

// Coordinates the other classes of this namespace, each of which has its own state. Not thread-safe.
class Scheduler {
 public:
  Scheduler(SchedulerParams params, std::vector<config::TeamSettings> teams,
            std::vector<config::Objective> objectives);

  // ---- Events
  // A job changed in the state store. `job`: its current state, or null if it was removed. `terminal_state`:
  // the job's terminal state, if it is in one. `ready_since`: when the last of its dependencies was done;
  // std::nullopt before. Until then the job is in no queue or round, and has no charge or demand.
  void on_job(const JobId& id, const state_store::Job* job,
              std::optional<state_store::TerminalState> terminal_state, Instant now,
              std::optional<WallMs> ready_since = std::nullopt);
  // A shard leader reported on tasks that were granted to it. on_job must then be called for each job of the
  // report.
  void on_progress_report(const protocol::ProgressReport& report, Instant now);
  // Sets the current terms of the shards. Releases that were reported under another term don't count any
  // more. Returns the affected jobs; on_job must then be called for each of them.
  std::vector<JobId> on_terms(const ShardTerms& terms);
  void on_summary(const protocol::Summary& summary);
  void on_estimate_response(const protocol::EstimateResponse& response);

  // ---- Estimation rounds
  using Grant = JobGrant;
  // Begins a round if there are tasks to grant and enough time has passed since the last round. The returned
  // request is to be sent to all shards. `reachable`: the shards whose responses the round waits for.
  std::optional<protocol::EstimateRequest> begin_round(Instant now, WallMs wall,
                                                       const std::set<ShardId>& reachable);
  // Returns the round's grants once all reachable shards have responded or the reply wait has passed, and
  // std::nullopt before. `terms`: the current terms of all shards that have a leader. At most `max_jobs` jobs
  // are granted tasks, by default as many as fit into a transaction. Grants have to be written in one
  // transaction, and on_granted has to be called with its result. If there are no grants, the round is over.
  std::optional<std::vector<Grant>> decide_grants(Instant now, const ShardTerms& terms,
                                                  std::optional<std::size_t> max_jobs = std::nullopt);
  // Returns whether any job of the open round is a service.
  bool has_services() const;
  // The write of the round's grants ended. `revision`: the revision at which the transaction was committed,
  // or std::nullopt if it was rejected, its result is unknown or there was nothing to write.
  void on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now);
  // The job's grants don't fit into one value of the state store. The job is excluded from rounds until its
  // grants have become smaller; otherwise it would take the place of another job in every round.
  void on_oversized(const JobId& id);
  bool round_open() const { return round_.has_value(); }

  // ---- Completion
  // Returns the jobs whose tasks are all done and which have to be recorded as completed.
  std::vector<JobId> completed() const { return {jobs_.completed().begin(), jobs_.completed().end()}; }
  // Returns by how much the job has missed the first of its due times, or std::nullopt if it hasn't missed it
  // or has none.
  std::optional<Duration> lateness(const JobId& id, WallMs wall) const;
  // Returns the jobs in a terminal state that have no outstanding tasks. Their keys can be deleted.
  std::vector<JobId> collectable() const { return {jobs_.collectable().begin(), jobs_.collectable().end()}; }
  // Returns the shards whose leaders have reported releases of the job's tasks by message and not recorded
  // them yet. Each write that relies on these releases must be conditional on the current terms of the
  // shards, as with JobGrant::depends_on_shards.
  std::set<ShardId> released_by_message(const JobId& id) const;

  // ---- Queries
  std::vector<Demand> demand(Instant now) const { return waiting_jobs().demand(now); }
  const ShardSummaries& summaries() const { return summaries_; }
  // Returns whether any job isn't in a terminal state.
  bool has_open_jobs() const { return !inherited_.empty() || !jobs_.open().empty(); }

 private:
  WaitingJobs waiting_jobs() const { return {jobs_, quota_, crash_loops_, deadlines_}; }

  void remove_job(const JobId& id);
  void await_dependencies(const JobId& id, const state_store::JobRecord& record);
  void update_job(const JobId& id, const state_store::Job& job,
                  std::optional<state_store::TerminalState> terminal_state, Instant now,
                  std::optional<WallMs> ready_since);
  Requirement requirement_of(const JobId& id, const JobEntry& entry) const;
  // Updates the requirements of jobs after a change of the requirements of the jobs that depend on them.
  void refresh_requirements();
  void on_job_health(const JobId& id, protocol::JobHealth health, Instant now);

  // Removes from `superseding_jobs` the jobs that are granted tasks, because their grants are superseding
  // writes, too.
  std::vector<Grant> build_grants(Instant now, const ShardTerms& terms, std::size_t max_jobs,
                                  std::set<JobId>& superseding_jobs) const;
  void add_superseding_grants(const std::set<JobId>& superseding_jobs, std::vector<Grant>& grants) const;

  SchedulerParams params_;
  JobTable jobs_;
  QuotaLedger quota_;
  DeadlinePlanner deadlines_;
  InheritedRequirements inherited_;  // from jobs that wait for dependencies
  CrashLoopBackoff crash_loops_;
  ReportedProgress reported_;
  AssumedGrants assumed_;
  IndeterminateGrants indeterminate_;
  ShardSummaries summaries_;
  std::optional<EstimationRound> round_;
  std::uint64_t next_round_ = 1;
  Instant last_round_at_{};
  Instant last_full_round_at_{};  // start of the last round that wasn't for services only
  bool urgent_ = false;           // some job shouldn't wait for the next regular round
};

}  // namespace beaconsill::scheduler
