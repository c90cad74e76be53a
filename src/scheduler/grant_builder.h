// Turns the responses of an estimation round into grants, one job after the other.
#pragma once

#include <optional>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/estimation_round.h"
#include "scheduler/job_grant.h"
#include "scheduler/job_table.h"
#include "scheduler/offered_capacity.h"
#include "scheduler/quota_ledger.h"
#include "scheduler/reserved_cpus.h"
#include "scheduler/shard_summaries.h"
#include "scheduler/shard_terms.h"
#include "scheduler/team_usage.h"
#include "scheduler/waiting_jobs.h"
#include "shard/estimator.h"

namespace beaconsill::scheduler {

// The job's grants as they are, without what was done or released.
JobGrant rewritten_grant(const JobId& id, const JobEntry& entry, const QuotaLedger& quota);

// What a GrantBuilder decides by; refers to the scheduler's state.
struct GrantInputs {
  const EstimationRound& round;
  const JobTable& jobs;
  const QuotaLedger& quota;
  const WaitingJobs& waiting;
  const ShardSummaries& summaries;  // for shards that haven't responded
  const ShardTerms& terms;          // of all shards that may be granted tasks
  const shard::PackingRules& rules;
  Duration heartbeat_period;
  Instant now;
};

// For one round: what it grants to a job is reserved on the shards and charged to the team for the jobs after
// it.
class GrantBuilder {
 public:
  // `reserved_cpus`: on each shard, for grants that its response may not account for.
  GrantBuilder(const GrantInputs& inputs, ReservedCpus reserved_cpus);

  // The job's grants with new chunks for its pending tasks, or with a gang's revocation; none if it's to be
  // granted nothing now. To be called in the order in which the jobs are served.
  std::optional<JobGrant> build(const RoundCandidate& candidate);

 private:
  bool yields_to_gang(const JobEntry& entry) const;
  // For a gang of which only some tasks are outstanding; none while it's revoked already or waits for that.
  std::optional<JobGrant> revoked_gang(const JobId& id, const JobEntry& entry) const;
  OfferedCapacity offered_capacity(const RoundCandidate& candidate, const JobEntry& entry);
  JobGrant grant(const JobId& id, const JobEntry& entry, const Placement& placement);

  GrantInputs in_;
  TeamUsage usage_;
  ReservedCpus reserved_cpus_;
  bool arrays_yield_ = false;  // a starving gang found no capacity
};

}  // namespace beaconsill::scheduler
