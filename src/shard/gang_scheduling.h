// Gang scheduling: ensures that those tasks of a gang that are granted to one shard start and end together.
#pragma once

#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Places either all of the shard's tasks of a gang or none, and at most once per attempt.
// `machines_with_capacity`: the machines that have capacity for any task.
void place_gang(ShardState& state, const JobId& id, ShardJob& job,
                const std::vector<Machine*>& machines_with_capacity, Instant now);

// For each gang that has lost a task in this shard, stops its tasks that are not running yet: the gang starts
// again only under its next attempt. The gang's tasks in other shards detect the loss themselves.
void stop_broken_gangs(ShardState& state);

}  // namespace beaconsill::shard
