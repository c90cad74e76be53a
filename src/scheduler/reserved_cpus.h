// Tracks CPUs on each shard that are already granted although the shard's capacity estimate still counts them
// as free.
#pragma once

#include <initializer_list>
#include <map>
#include <utility>

#include "base/types.h"

namespace beaconsill::scheduler {

// A value type, so that an estimation round can work on a copy and add what it grants.
class ReservedCpus {
 public:
  ReservedCpus() = default;
  ReservedCpus(std::initializer_list<std::pair<const ShardId, double>> cpus) : by_shard_(cpus) {}

  void add(ShardId shard, double cpus) { by_shard_[shard] += cpus; }
  // Returns 0 for a shard on which no CPUs are reserved.
  double on(ShardId shard) const {
    auto reserved = by_shard_.find(shard);
    return reserved == by_shard_.end() ? 0 : reserved->second;
  }
  bool operator==(const ReservedCpus&) const = default;

 private:
  std::map<ShardId, double> by_shard_;
};

}  // namespace beaconsill::scheduler
