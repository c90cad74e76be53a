// Tracks committed grants that the estimates of a shard may not account for yet.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "scheduler/reserved_cpus.h"

namespace beaconsill::scheduler {

// Counts the CPUs of a committed grant as in use on its shard until the shard responds with a state that
// includes the grant.
class AssumedGrants {
 public:
  // `committed_at`: the revision at which the transaction with the grant was committed. `cpus`: number of
  // CPUs of all its tasks.
  void add(ShardId shard, Revision committed_at, double cpus) {
    by_shard_[shard].push_back({committed_at, cpus});
  }
  // Removes the shard's grants up to revision `seen`: the shard has responded with an estimate that includes
  // them.
  void acknowledge(ShardId shard, Revision seen) {
    std::erase_if(by_shard_[shard], [&](const AssumedGrant& grant) { return grant.committed_at <= seen; });
  }
  ReservedCpus reserved_cpus() const {
    ReservedCpus reserved;
    for (const auto& [shard, grants] : by_shard_)
      for (const auto& grant : grants) reserved.add(shard, grant.cpus);
    return reserved;
  }

 private:
  struct AssumedGrant {
    Revision committed_at;
    double cpus = 0;
  };
  std::map<ShardId, std::vector<AssumedGrant>> by_shard_;
};

}  // namespace beaconsill::scheduler
