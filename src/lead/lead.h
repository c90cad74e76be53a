// The leader: a state machine that holds the queue and the ledger, asks the parts and splits by their
// answers. It has no sockets; the node carries its wishes out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "config/settings.h"
#include "lead/failing_jobs.h"
#include "lead/pipeline.h"
#include "lead/queue.h"
#include "lead/split.h"
#include "part/estimator.h"
#include "store/view.h"
#include "wire/peer.h"

namespace beaconsill::lead {

struct LeadParams {
  Duration reply_wait{};
  Duration report_period{};
  Duration longest_wait{};
  part::RoomRules rules;
  std::size_t max_writes = 8;  // grants in one transaction
};

// What waits: for the capacity duty.
struct Demand {
  wire::Shape shape;  // `wanted`: tasks that wait and that the team's limit allows
  Duration waited{};
};

class Lead {
 public:
  Lead(LeadParams params, std::vector<config::TeamSettings> teams, std::vector<config::Objective> objectives);

  // ---- What happens
  // `ready_since`: of a job that awaits others, when the last of them was done; none: it waits. While it
  // waits it's in no order, round, limit, guarantee or demand.
  void on_job(const JobId& id, const store::Job* job, std::optional<store::End> end, Instant now,
              std::optional<WallMs> ready_since = std::nullopt);
  // What an owner told of tasks that it was granted. Each of its jobs is then to be gone through again by
  // on_job, and those returned by on_terms as well.
  void on_outcomes(const wire::Outcomes& o, Instant now);
  // The parts' terms. What was told as returned under another term counts no more.
  std::vector<JobId> on_terms(const std::map<PartId, Term>& terms);
  void on_summary(const wire::Summary& s, Instant now);
  void on_answer(const wire::Answer& a, Instant now);

  // ---- Rounds
  // Starts one if there is something to grant and its time has come. `reachable`: parts worth waiting for.
  std::optional<wire::Ask> begin_round(Instant now, WallMs wall, const std::set<PartId>& reachable);
  struct Grant {
    JobId job;
    store::Grants grants;
    Revision expected;  // version of the grants that it replaces
    // It rests on what the owners of these parts told under their present terms: it must not be written under
    // any other, since a successor doesn't know what was returned.
    std::set<PartId> rests_on;
  };
  // The round's outcome, once every part has answered or was waited for long enough. `terms`: of each part.
  // At most `most` jobs are granted tasks.
  std::optional<std::vector<Grant>> decide(Instant now, const std::map<PartId, Term>& terms,
                                           std::size_t most = SIZE_MAX);
  // The open round is, at least in part, for services.
  bool for_services() const;
  // The transaction of the round's grants ended; `revision` if it was applied. Without one it may still be
  // carried out later, unless what it rests on has changed: see `unsettled_`.
  void on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now);
  // The job's grants don't fit into one value: it's asked about again once what it holds has got shorter.
  // Otherwise it would take a place in every round from those behind it.
  void on_too_long(const JobId& id);
  bool round_open() const { return round_.has_value(); }

  // ---- Outcomes
  // Jobs all of whose tasks are done, to be recorded as such.
  std::vector<JobId> finished() const { return {finished_.begin(), finished_.end()}; }
  // By how much the job has missed the first of its times.
  std::optional<Duration> late(const JobId& id, WallMs wall) const;
  // Jobs that are over and none of whose tasks can be anywhere: their keys can be dropped.
  std::vector<JobId> drained() const { return {drained_.begin(), drained_.end()}; }
  // The parts whose owners' messages alone show that some of the job's tasks were returned. What is written
  // for that reason has to hold under their present terms only, as with Grant::rests_on.
  std::set<PartId> returned_by_message(const JobId& id) const;

  // ---- Questions
  std::vector<Demand> demand(Instant now) const;
  const std::map<PartId, wire::Summary>& summaries() const { return summaries_; }
  // Whether any job isn't over.
  bool busy() const { return !needs_.empty() || !open_.empty(); }

 private:
  struct Entry {
    store::JobRecord record;
    std::optional<store::End> end;
    store::Grants grants;
    Revision grants_version;
    Ranges pending;
    Ranges done;
    // The chunks less what was done or returned, and what they have to go on holding: also tasks that their
    // owner told to be done, until it has recorded that. The chunks in `kept` are as they are to be written.
    std::vector<std::pair<Ranges, store::Chunk>> live, kept;
    std::uint32_t out = 0;            // tasks in `live`
    std::uint32_t told_returned = 0;  // tasks returned by word only
    std::uint32_t charged = 0;        // tasks in the ledger
    std::set<PartId> told_by;         // the parts that have told so
    WallMs counts_from;               // its submission, or when the last job that it awaits was done
    Need need;                        // its own, and that of the jobs that wait for it
    bool granted_once = false;
    std::size_t too_long = 0;  // pieces in `kept` when they didn't fit into a value with more; 0: they do
    Instant waiting_since{};
    Instant asked{};    // when a round was last about it
    Instant granted{};  // when it was last granted tasks
  };
  struct Sent {
    Revision revision;
    double cpus;
  };
  struct Round {
    std::uint64_t id = 0;
    Instant began{};
    std::vector<JobId> jobs;
    std::set<JobId> overdue;  // of them, those that the others give way to
    std::vector<std::size_t> shape_of;
    std::vector<wire::Shape> shapes;
    std::set<PartId> asked;
    std::map<PartId, std::vector<wire::ShapeRoom>> answers;
    bool writing = false;
  };

  void choose(const std::vector<QueuedJob>& waiting, Round& r, Instant now, WallMs wall);
  // The grants of a transaction without a good answer: job -> the version of its grants that it replaces.
  using Unsettled = std::map<JobId, Revision>;
  // Whether it may still be carried out, as far as is known.
  bool may_come(const Unsettled& u) const;
  // Jobs whose grants have to be written again, so that no unsettled transaction comes beside the next one.
  std::set<JobId> fences() const;
  // The job's grants as they are, less what was returned.
  Grant rewritten(const JobId& id, const Entry& e) const;

  // Rooms that hold all `n` tasks of a gang: of one part if one can, else of several; empty if they can't.
  static std::vector<Room> rooms_for_gang(std::uint32_t n, std::vector<Room> rooms);
  std::uint32_t allowed_by_quota(const Entry& e, const std::map<Team, Resources>& usage) const;
  // Tasks of the job that wait and may be granted now.
  std::uint32_t grantable(const JobId& id, const Entry& e, const std::map<Team, Resources>& usage,
                          Instant now) const;
  // Jobs of which some task waits and could be granted, in the order in which they are served.
  std::vector<QueuedJob> order(Instant now, WallMs wall, bool services_only) const;
  // By when arrays have to start to keep the first of their times that they can keep; those that can keep
  // none are left out.
  std::map<JobId, double> plan(WallMs wall) const;
  bool services_wait(Instant now) const;
  // See QueuedJob::overdue. How far the wait of a job that has got nothing is beyond the longest, in its
  // multiples.
  double overdue(const JobId& id, const Entry& e, WallMs wall) const;
  void ledger(const Entry& e, int sign);
  // Keeps the sets of jobs by what is to be done about them.
  void index(const JobId& id, const Entry& e);
  void unindex(const JobId& id);
  // Parts on whose owners' messages a grant to this job rests, see Grant::rests_on.
  std::set<PartId> rests_on(const Entry& e) const;
  // The times that the objectives and the job itself set. Deadlines count from its submission, the others
  // from `counts_from`; none: they aren't known yet.
  std::vector<std::int64_t> due(const store::JobRecord& record, std::optional<WallMs> counts_from) const;
  // What the value of its grants has to hold, in chunks and ranges.
  static std::size_t pieces(const Entry& e);
  void wait_for_others(const JobId& id, const store::JobRecord& record);
  // Jobs that wait for these need more of them.
  void refresh_needs();
  // What an owner found out about a job of which tasks failed.
  void on_verdict(const JobId& id, wire::Verdict verdict, Instant now);
  Need need_of(const JobId& id, const Entry& e) const;

  LeadParams params_;
  std::vector<config::TeamSettings> teams_;
  std::vector<config::Objective> objectives_;
  std::map<JobId, Entry> jobs_;  // without those that wait for others
  // Of these: some task waits and the job isn't over; arrays and gangs that aren't over; those that aren't
  // over at all; done and to be recorded as such; over, with no task anywhere. A round, a tick or a question
  // must not go through all jobs there are.
  std::set<JobId> waiting_, arrays_, open_, finished_, drained_;
  PipelineNeeds needs_;
  FailingJobs failing_;
  struct Told {
    Term term;
    store::Progress progress;
  };
  std::map<JobId, std::map<PartId, Told>> told_;
  std::map<PartId, Term> terms_;
  // What is granted and neither done nor returned; see on_job for what counts by word.
  std::map<Team, Resources> usage_;
  // How many jobs that are over have tasks which left the ledger by a part's messages alone.
  std::map<Team, std::map<PartId, int>> left_by_message_;
  std::map<PartId, wire::Summary> summaries_;
  std::map<PartId, std::vector<Sent>> sent_;  // grants that a part's answers may not reckon with yet
  std::optional<Round> round_;
  // Each is written over at least in part by the next transaction: only one of the two can be carried out.
  // Else both could be, for different jobs of a team, which would then have more than its limit.
  std::vector<Unsettled> unsettled_;
  std::uint64_t next_round_ = 1;
  Instant last_round_{};
  Instant last_full_round_{};  // last one that wasn't for services only
  bool urgent_ = false;        // something came that shouldn't wait for the next period
};

}  // namespace beaconsill::lead
