// The leader: a state machine that holds the queue and the ledger, asks the shards and splits by their
// answers. It has no sockets; the controller carries its wishes out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "config/settings.h"
#include "protocol/peer.h"
#include "scheduler/apportionment.h"
#include "scheduler/crash_loop_backoff.h"
#include "scheduler/inherited_requirements.h"
#include "scheduler/queue.h"
#include "shard/estimator.h"
#include "state_store/state_view.h"

namespace beaconsill::scheduler {

struct SchedulerParams {
  Duration reply_wait{};
  Duration heartbeat_period{};
  Duration longest_wait{};
  shard::PackingRules rules;
  std::size_t max_writes = 8;  // grants in one transaction
};

// What waits: for the capacity duty.
struct Demand {
  protocol::ResourceRequest resource_request;  // `wanted`: tasks that wait and that the team's limit allows
  Duration waited{};
};

class Scheduler {
 public:
  Scheduler(SchedulerParams params, std::vector<config::TeamSettings> teams,
            std::vector<config::Objective> objectives);

  // ---- What happens
  // `ready_since`: of a job that awaits others, when the last of them was done; none: it waits. While it
  // waits it's in no order, round, limit, guarantee or demand.
  void on_job(const JobId& id, const state_store::Job* job, std::optional<state_store::TerminalState> end,
              Instant now, std::optional<WallMs> ready_since = std::nullopt);
  // What an owner told of tasks that it was granted. Each of its jobs is then to be gone through again by
  // on_job, and those returned by on_terms as well.
  void on_progress_report(const protocol::ProgressReport& o, Instant now);
  // The shards' terms. What was told as returned under another term counts no more.
  std::vector<JobId> on_terms(const std::map<ShardId, Term>& terms);
  void on_summary(const protocol::Summary& s, Instant now);
  void on_estimate_response(const protocol::EstimateResponse& a, Instant now);

  // ---- Rounds
  // Starts one if there is something to grant and its time has come. `reachable`: shards worth waiting for.
  std::optional<protocol::EstimateRequest> begin_round(Instant now, WallMs wall,
                                                       const std::set<ShardId>& reachable);
  struct Grant {
    JobId job;
    state_store::Grants grants;
    Revision expected;  // version of the grants that it replaces
    // It rests on what the owners of these shards told under their present terms: it must not be written
    // under any other, since a successor doesn't know what was returned.
    std::set<ShardId> depends_on_shards;
  };
  // The round's outcome, once every shard has answered or was waited for long enough. `terms`: of each shard.
  // At most `most` jobs are granted tasks.
  std::optional<std::vector<Grant>> decide(Instant now, const std::map<ShardId, Term>& terms,
                                           std::size_t most = SIZE_MAX);
  // The open round is, at least in part, for services.
  bool has_services() const;
  // The transaction of the round's grants ended; `revision` if it was applied. Without one it may still be
  // carried out later, unless what it rests on has changed: see `indeterminate_`.
  void on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now);
  // The job's grants don't fit into one value: it's asked about again once what it holds has got shorter.
  // Otherwise it would take a place in every round from those behind it.
  void on_oversized(const JobId& id);
  bool round_open() const { return round_.has_value(); }

  // ---- Outcomes
  // Jobs all of whose tasks are done, to be recorded as such.
  std::vector<JobId> completed() const { return {completed_.begin(), completed_.end()}; }
  // By how much the job has missed the first of its times.
  std::optional<Duration> lateness(const JobId& id, WallMs wall) const;
  // Jobs that are over and none of whose tasks can be anywhere: their keys can be dropped.
  std::vector<JobId> collectable() const { return {collectable_.begin(), collectable_.end()}; }
  // The shards whose owners' messages alone show that some of the job's tasks were returned. What is written
  // for that reason has to hold under their present terms only, as with Grant::depends_on_shards.
  std::set<ShardId> released_by_message(const JobId& id) const;

  // ---- Questions
  std::vector<Demand> demand(Instant now) const;
  const std::map<ShardId, protocol::Summary>& summaries() const { return summaries_; }
  // Whether any job isn't over.
  bool busy() const { return !inherited_.empty() || !open_.empty(); }

 private:
  struct Entry {
    state_store::JobRecord record;
    std::optional<state_store::TerminalState> end;
    state_store::Grants grants;
    Revision grants_version;
    Ranges pending;
    Ranges done;
    // The chunks less what was done or returned, and what they have to go on holding: also tasks that their
    // owner told to be done, until it has recorded that. The chunks in `kept` are as they are to be written.
    std::vector<std::pair<Ranges, state_store::Chunk>> live, kept;
    std::uint32_t out = 0;                // tasks in `live`
    std::uint32_t notified_released = 0;  // tasks returned by word only
    std::uint32_t charged = 0;            // tasks in the ledger
    std::set<ShardId> notified_by;        // the shards that have told so
    WallMs counts_from;                   // its submission, or when the last job that it awaits was done
    Requirement need;                     // its own, and that of the jobs that wait for it
    bool granted_once = false;
    std::size_t oversized_pieces =
        0;  // pieces in `kept` when they didn't fit into a value with more; 0: they do
    Instant waiting_since{};
    Instant asked{};    // when a round was last about it
    Instant granted{};  // when it was last granted tasks
  };
  struct AssumedGrant {
    Revision revision;
    double cpus;
  };
  struct Round {
    std::uint64_t id = 0;
    Instant began{};
    std::vector<JobId> jobs;
    std::set<JobId> starvation;  // of them, those that the others give way to
    std::vector<std::size_t> request_of;
    std::vector<protocol::ResourceRequest> resource_requests;
    std::set<ShardId> asked;
    std::map<ShardId, std::vector<protocol::CapacityByZone>> answers;
    bool writing = false;
  };

  void choose(const std::vector<QueuedJob>& waiting, Round& r, Instant now, WallMs wall);
  // The grants of a transaction without a good answer: job -> the version of its grants that it replaces.
  using IndeterminateTxn = std::map<JobId, Revision>;
  // Whether it may still be carried out, as far as is known.
  bool may_still_commit(const IndeterminateTxn& u) const;
  // Jobs whose grants have to be written again, so that no unsettled transaction comes beside the next one.
  std::set<JobId> superseding_writes() const;
  // The job's grants as they are, less what was returned.
  Grant rewritten(const JobId& id, const Entry& e) const;

  // Rooms that hold all `n` tasks of a gang: of one shard if one can, else of several; empty if they can't.
  static std::vector<ShardCapacity> capacity_for_gang(std::uint32_t n, std::vector<ShardCapacity> rooms);
  std::uint32_t allowed_by_quota(const Entry& e, const std::map<Team, Resources>& usage) const;
  // Tasks of the job that wait and may be granted now.
  std::uint32_t grantable(const JobId& id, const Entry& e, const std::map<Team, Resources>& usage,
                          Instant now) const;
  // Jobs of which some task waits and could be granted, in the order in which they are served.
  std::vector<QueuedJob> order(Instant now, WallMs wall, bool services_only) const;
  // By when arrays have to start to keep the first of their times that they can keep; those that can keep
  // none are left out.
  std::map<JobId, double> plan_start_times(WallMs wall) const;
  bool services_wait(Instant now) const;
  // See QueuedJob::overdue. How far the wait of a job that has got nothing is beyond the longest, in its
  // multiples.
  double starvation(const JobId& id, const Entry& e, WallMs wall) const;
  void ledger(const Entry& e, int sign);
  // Keeps the sets of jobs by what is to be done about them.
  void index(const JobId& id, const Entry& e);
  void unindex(const JobId& id);
  // Parts on whose owners' messages a grant to this job rests, see Grant::depends_on_shards.
  std::set<ShardId> depends_on_shards(const Entry& e) const;
  // The times that the objectives and the job itself set. Deadlines count from its submission, the others
  // from `counts_from`; none: they aren't known yet.
  std::vector<std::int64_t> due(const state_store::JobRecord& record,
                                std::optional<WallMs> counts_from) const;
  // What the value of its grants has to hold, in chunks and ranges.
  static std::size_t pieces(const Entry& e);
  void await_dependencies(const JobId& id, const state_store::JobRecord& record);
  // Jobs that wait for these need more of them.
  void refresh_requirements();
  // What an owner found out about a job of which tasks failed.
  void on_job_health(const JobId& id, protocol::JobHealth verdict, Instant now);
  Requirement requirement_of(const JobId& id, const Entry& e) const;

  SchedulerParams params_;
  std::vector<config::TeamSettings> teams_;
  std::vector<config::Objective> objectives_;
  std::map<JobId, Entry> jobs_;  // without those that wait for others
  // Of these: some task waits and the job isn't over; arrays and gangs that aren't over; those that aren't
  // over at all; done and to be recorded as such; over, with no task anywhere. A round, a tick or a question
  // must not go through all jobs there are.
  std::set<JobId> waiting_, arrays_, open_, completed_, collectable_;
  InheritedRequirements inherited_;
  CrashLoopBackoff crash_loops_;
  struct Told {
    Term term;
    state_store::Progress progress;
  };
  std::map<JobId, std::map<ShardId, Told>> notified_;
  std::map<ShardId, Term> terms_;
  // What is granted and neither done nor returned; see on_job for what counts by word.
  std::map<Team, Resources> usage_;
  // How many jobs that are over have tasks which left the ledger by a shard's messages alone.
  std::map<Team, std::map<ShardId, int>> uncharged_by_message_;
  std::map<ShardId, protocol::Summary> summaries_;
  std::map<ShardId, std::vector<AssumedGrant>>
      assumed_;  // grants that a shard's answers may not reckon with yet
  std::optional<Round> round_;
  // Each is written over at least in part by the next transaction: only one of the two can be carried out.
  // Else both could be, for different jobs of a team, which would then have more than its limit.
  std::vector<IndeterminateTxn> indeterminate_;
  std::uint64_t next_round_ = 1;
  Instant last_round_{};
  Instant last_full_round_{};  // last one that wasn't for services only
  bool urgent_ = false;        // something came that shouldn't wait for the next period
};

}  // namespace beaconsill::scheduler
