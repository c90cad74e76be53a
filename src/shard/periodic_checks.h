// What only the passing of time brings about, looked for in passes over all machines of a shard.
#pragma once

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Drops the tasks of machines whose lease has expired since the last time that anybody entitled can have
// renewed it (rule 4 of docs/design.md). `up_to_date_at`: the state store was read as of this time, the
// shard's role included, which shows that no successor existed. Other controllers' statements don't: one that
// has ended since may have been it.
void expire_leases(ShardState& state, Instant up_to_date_at, Instant now);

// Stops what a spot machine that is about to be reclaimed can't complete in time.
void stop_tasks_before_reclaim(ShardState& state, Instant now);

// Stops tasks on machines that are not granted to this shard, or whose job has ended. Looked for where tasks
// have come since the last pass, or where what is known of them has changed, and as long as there are any.
void stop_orphaned_tasks(ShardState& state, Instant up_to_date_at);

// Sends probes to machines that are late with a heartbeat, and has those sent that are due.
void schedule_probes(ShardState& state, Instant now);

}  // namespace beaconsill::shard
