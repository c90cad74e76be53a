// Defines the write of one job's grants that the scheduler hands over to be committed.
#pragma once

#include <set>

#include "base/types.h"
#include "state_store/records.h"

namespace beaconsill::scheduler {

struct JobGrant {
  JobId job;
  state_store::Grants grants;
  Revision expected;  // version of the grants that this write replaces: the condition of its compare-and-swap
  // The write relies on releases that the leaders of these shards reported under their current terms. It must
  // be conditional on those terms: a later shard leader doesn't know of releases that were only reported by
  // message.
  std::set<ShardId> depends_on_shards;
};

}  // namespace beaconsill::scheduler
