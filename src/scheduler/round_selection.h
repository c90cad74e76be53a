// Selects the waiting jobs that take part in an estimation round, and the resource requests for which the
// shards estimate their capacity.
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
  std::size_t request_index = 0;  // index into RoundSelection::resource_requests
  // Whether arrays yield to this job if it is a gang that finds no capacity, see GrantBuilder. True for
  // starving jobs up to a limit on their wait ratio.
  bool arrays_yield = false;
};

struct RoundSelection {
  std::vector<RoundCandidate> candidates;                    // in scheduling order
  std::vector<protocol::ResourceRequest> resource_requests;  // without duplicates
};

// Selects jobs from `queue`, which is in scheduling order. Most of the round's places go to the head of the
// queue. The others go to the jobs that have not taken part in a round for the longest time, because jobs at
// the head may be waiting for capacity that other jobs don't need. Updates last_considered of the selected
// jobs.
RoundSelection select_for_round(const std::vector<QueuedJob>& queue, JobTable& jobs,
                                const WaitingJobs& waiting, Instant now, WallMs wall);

}  // namespace beaconsill::scheduler
