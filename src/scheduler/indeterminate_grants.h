// Tracks transactions of grants whose result is unknown: each may have been committed, or may still be.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/types.h"
#include "scheduler/job_grant.h"
#include "scheduler/job_table.h"

namespace beaconsill::scheduler {

// The next transaction writes at least one key of each indeterminate transaction with the same expected
// version, so that only one of the two can be committed. Otherwise both could be committed for different jobs
// of a team, and the team would exceed its quota (found by the simulation, seed 24).
class IndeterminateGrants {
 public:
  // The transaction with these grants ended without an answer, or with a rejection after which it may
  // nevertheless have been committed.
  void add(const std::vector<JobGrant>& grants);
  // Drops the transactions that can't be committed any more, because the grants of one of their jobs have a
  // different version by now, or one of their jobs is in a terminal state or was removed.
  void drop_resolved(const JobTable& jobs);
  // Returns the jobs whose grants have to be written again to supersede all remaining transactions: at least
  // one job of each transaction.
  std::set<JobId> superseding_jobs() const;
  bool empty() const { return transactions_.empty(); }

 private:
  // Maps each job to the version of its grants that the transaction replaces.
  using Transaction = std::map<JobId, Revision>;
  static bool may_still_commit(const Transaction& transaction, const JobTable& jobs);

  std::vector<Transaction> transactions_;
};

}  // namespace beaconsill::scheduler
