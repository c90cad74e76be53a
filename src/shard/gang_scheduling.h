// Gang scheduling: the tasks of a gang that are granted to a shard start together, and end together.
#pragma once

#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Places the shard's tasks of a gang as a whole or not at all, and once under each attempt. `open_machines`:
// those with any capacity.
void place_gang(ShardState& state, const JobId& id, ShardJob& job, const std::vector<Machine*>& open_machines,
                Instant now);

// Stops what is left of gangs that have lost a task here: they start anew under their next attempt only. The
// other shards' tasks notice by themselves.
void stop_broken_gangs(ShardState& state);

}  // namespace beaconsill::shard
