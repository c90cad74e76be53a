// Transactions of grants that got no answer: each may have been committed, or may yet be.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/types.h"
#include "scheduler/job_grant.h"
#include "scheduler/job_table.h"

namespace beaconsill::scheduler {

// The next transaction writes at least one key of each indeterminate one, at the same expected version, so
// that only one of the two can be committed. Otherwise both could be, for different jobs of a team, which
// would then exceed its quota (found by the simulation, seed 24).
class IndeterminateGrants {
 public:
  // The transaction of these grants ended without an answer, or with a refusal that can't be distinguished
  // from one.
  void add(const std::vector<JobGrant>& grants);
  // Forgets transactions that can't be committed any more: a grant in them has another version by now, or one
  // of their jobs is over.
  void drop_settled(const JobTable& jobs);
  // Jobs whose grants have to be written again to supersede all that is left; one of each transaction.
  std::set<JobId> superseding_writes() const;
  bool empty() const { return transactions_.empty(); }

 private:
  // Job -> the version of its grants that the transaction replaces.
  using Transaction = std::map<JobId, Revision>;
  static bool may_still_commit(const Transaction& transaction, const JobTable& jobs);

  std::vector<Transaction> transactions_;
};

}  // namespace beaconsill::scheduler
