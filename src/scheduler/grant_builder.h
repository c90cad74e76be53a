// Builds grants from the responses of an estimation round, one job at a time.
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

// Returns a write of the job's current grants that contains only its retained chunks, without new ones. The
// write doesn't revoke a gang.
JobGrant rewrite_current_grants(const JobId& id, const JobEntry& entry, const QuotaLedger& quota);

// The inputs of a GrantBuilder. The objects that they refer to must outlive the builder.
struct GrantInputs {
  const EstimationRound& round;
  const JobTable& jobs;
  const QuotaLedger& quota;
  const WaitingJobs& waiting;
  const ShardSummaries& summaries;  // used for shards that haven't responded
  const ShardTerms& terms;          // of all shards that may be granted tasks
  const shard::PackingRules& rules;
  Duration heartbeat_period;
  Instant now;
};

// Builds the grants of one round. Each grant is reserved on its shards and charged to its team, so that later
// jobs of the round can't be granted the same capacity or quota.
class GrantBuilder {
 public:
  // `reserved_cpus`: CPUs that are reserved on each shard for grants that its response may not account for.
  GrantBuilder(const GrantInputs& inputs, ReservedCpus reserved_cpus);

  // Returns the job's grants with new chunks for its pending tasks, or with the revocation of a gang. Returns
  // std::nullopt if the job is granted nothing now. To be called in the order in which the jobs are served.
  std::optional<JobGrant> build(const RoundCandidate& candidate);

 private:
  bool yields_to_gang(const JobEntry& entry) const;
  // Returns the revocation of a gang of which only some tasks are outstanding. Returns std::nullopt if the
  // gang is revoked already or the delay before the revocation hasn't passed yet.
  std::optional<JobGrant> revoke_gang(const JobId& id, const JobEntry& entry) const;
  OfferedCapacity offered_capacity(const RoundCandidate& candidate, const JobEntry& entry);
  JobGrant build_grant(const JobId& id, const JobEntry& entry, const Placement& placement);

  GrantInputs inputs_;
  TeamUsage usage_;
  ReservedCpus reserved_cpus_;
  bool arrays_yield_ = false;  // set when a starving gang of this round has found no capacity
};

}  // namespace beaconsill::scheduler
