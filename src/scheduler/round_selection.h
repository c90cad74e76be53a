// Which waiting jobs an estimation round is about, and what the shards are asked for them.
#pragma once

#include <cstddef>
#include <vector>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/job_table.h"
#include "scheduler/scheduling_queue.h"
#include "scheduler/waiting_jobs.h"

namespace beaconsill::scheduler {

struct RoundCandidate {
  JobId job;
  std::size_t request = 0;  // index of its resource request
  // A starving gang: if it finds no capacity, arrays yield to it.
  bool arrays_yield = false;
};

struct RoundSelection {
  std::vector<RoundCandidate> candidates;                    // in the order in which they are served
  std::vector<protocol::ResourceRequest> resource_requests;  // different from each other
};

// `queue`: what waits, in the order in which it's served. Most places go to the head of the queue, the others
// to the jobs that were not in a round for longest: the head may wait for capacity that others don't need.
// Marks the selected jobs as considered.
RoundSelection select_for_round(const std::vector<QueuedJob>& queue, JobTable& jobs,
                                const WaitingJobs& waiting, Instant now, WallMs wall);

}  // namespace beaconsill::scheduler
