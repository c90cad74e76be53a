// The jobs with pending tasks that may be granted now, in the order in which they are served.
#pragma once

#include <vector>

#include "base/types.h"
#include "protocol/peer.h"
#include "scheduler/crash_loop_backoff.h"
#include "scheduler/deadline_planner.h"
#include "scheduler/job_table.h"
#include "scheduler/quota_ledger.h"
#include "scheduler/scheduling_queue.h"

namespace beaconsill::scheduler {

// Pending tasks of one job, for the autoscaler.
struct Demand {
  protocol::ResourceRequest resource_request;  // `wanted`: pending tasks within the team's limit
  Duration waited{};
};

// A view on the scheduler's state, cheap to make; valid as long as what it refers to.
class WaitingJobs {
 public:
  WaitingJobs(const JobTable& jobs, const QuotaLedger& quota, const CrashLoopBackoff& crash_loops,
              const DeadlinePlanner& deadlines)
      : jobs_(jobs), quota_(quota), crash_loops_(crash_loops), deadlines_(deadlines) {}

  // Pending tasks of the job that may be granted now: within its team's limit if the teams have `usage`, and
  // by its crash-loop back-off.
  std::uint32_t grantable_tasks(const JobId& id, const JobEntry& entry, const TeamUsage& usage,
                                Instant now) const;
  // Jobs with grantable tasks in the order in which they are served. `services_only`: without arrays and
  // gangs.
  std::vector<QueuedJob> in_serving_order(Instant now, WallMs wall, bool services_only) const;
  bool any_service(Instant now) const;
  // How long a job that has got nothing has been waiting, in multiples of the longest wait; 0 in crash-loop
  // back-off.
  double waits_in_limits(const JobId& id, const JobEntry& entry, WallMs wall) const;
  std::vector<Demand> demand(Instant now) const;

 private:
  QueuedJob queued(const JobId& id, const JobEntry& entry, std::uint32_t tasks, const StartTimes& starts,
                   WallMs wall) const;

  const JobTable& jobs_;
  const QuotaLedger& quota_;
  const CrashLoopBackoff& crash_loops_;
  const DeadlinePlanner& deadlines_;
};

}  // namespace beaconsill::scheduler
