// Checks for conditions that arise through the passage of time alone, such as expired leases. Each check is a
// pass over all machines of a shard.
#pragma once

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Drops the tasks of machines whose lease has certainly expired, counted from the last time at which any
// legitimate leader can have renewed it (rule 4 of docs/design.md). `up_to_date_at`: the local copy of the
// state store, including the record of the shard's leader, is current as of this time, which proves that no
// successor existed then. Statements of other controllers don't prove that: a controller that has stopped
// since may have been the successor.
void expire_leases(ShardState& state, Instant up_to_date_at, Instant now);

// Stops tasks that can't complete before their spot machine is reclaimed.
void stop_tasks_before_reclaim(ShardState& state, Instant now);

// Stops tasks that are not granted to this shard, or whose job has ended. Visits only machines with
// `may_have_orphans`: those to which a task was added, or that list a task of a job that changed, since
// the last pass, and those on which the last pass found orphans.
void stop_orphaned_tasks(ShardState& state, Instant up_to_date_at);

// Requests probes for machines that are late with a heartbeat, and queues the probes that are due.
void schedule_probes(ShardState& state, Instant now);

}  // namespace beaconsill::shard
