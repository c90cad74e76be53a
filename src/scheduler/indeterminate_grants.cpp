#include "scheduler/indeterminate_grants.h"

#include <algorithm>
#include <utility>

namespace beaconsill::scheduler {

void IndeterminateGrants::add(const std::vector<JobGrant>& grants) {
  Transaction transaction;
  for (const auto& grant : grants) transaction[grant.job] = grant.expected;
  if (!transaction.empty()) transactions_.push_back(std::move(transaction));
}

// A transaction is atomic. It's conditional on the version of each of its keys and on none of its jobs being
// in a terminal state.
bool IndeterminateGrants::may_still_commit(const Transaction& transaction, const JobTable& jobs) {
  return std::all_of(transaction.begin(), transaction.end(), [&](const auto& write) {
    const auto* entry = jobs.find(write.first);
    return entry && !entry->terminal_state && entry->grants_revision == write.second;
  });
}

void IndeterminateGrants::drop_resolved(const JobTable& jobs) {
  std::erase_if(transactions_,
                [&](const Transaction& transaction) { return !may_still_commit(transaction, jobs); });
}

std::set<JobId> IndeterminateGrants::superseding_jobs() const {
  std::set<JobId> rewritten_jobs;
  for (const auto& transaction : transactions_) {
    bool superseded = std::any_of(transaction.begin(), transaction.end(),
                                  [&](const auto& write) { return rewritten_jobs.contains(write.first); });
    if (!superseded) rewritten_jobs.insert(transaction.begin()->first);
  }
  return rewritten_jobs;
}

}  // namespace beaconsill::scheduler
