// Committed grants that a shard's estimates may not account for yet.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "scheduler/reserved_cpus.h"

namespace beaconsill::scheduler {

// CPUs that are assumed to be in use on a shard until an estimate shows that the shard has read the grant.
class AssumedGrants {
 public:
  void add(ShardId shard, Revision committed_at, double cpus) {
    by_shard_[shard].push_back({committed_at, cpus});
  }
  // The shard answered with a state that includes everything up to `seen`.
  void acknowledge(ShardId shard, Revision seen) {
    std::erase_if(by_shard_[shard], [&](const Assumed& grant) { return grant.committed_at <= seen; });
  }
  ReservedCpus reserved_cpus() const {
    ReservedCpus reserved;
    for (const auto& [shard, grants] : by_shard_)
      for (const auto& grant : grants) reserved.add(shard, grant.cpus);
    return reserved;
  }

 private:
  struct Assumed {
    Revision committed_at;
    double cpus = 0;
  };
  std::map<ShardId, std::vector<Assumed>> by_shard_;
};

}  // namespace beaconsill::scheduler
