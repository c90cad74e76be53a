// Determines which waiting jobs may be granted tasks now, how many, and in which order.
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

// The resources that one job's pending tasks need, as input for the autoscaler.
struct Demand {
  protocol::ResourceRequest resource_request;  // `wanted` is the number of grantable tasks
  Duration waited{};
};

// A read-only view of the scheduler's state. It is cheap to create and must not outlive the objects that it
// refers to.
class WaitingJobs {
 public:
  WaitingJobs(const JobTable& jobs, const QuotaLedger& quota, const CrashLoopBackoff& crash_loops,
              const DeadlinePlanner& deadlines)
      : jobs_(jobs), quota_(quota), crash_loops_(crash_loops), deadlines_(deadlines) {}

  // Returns how many of the job's pending tasks may be granted now. The number is limited by the team's
  // quota, given the teams' `usage`, and by the job's crash-loop back-off.
  std::uint32_t grantable_tasks(const JobId& id, const JobEntry& entry, const TeamUsage& usage,
                                Instant now) const;
  // Returns the jobs with grantable tasks in scheduling order. With `services_only`, arrays and gangs are
  // left out.
  std::vector<QueuedJob> build_queue(Instant now, WallMs wall, bool services_only) const;
  bool has_grantable_service(Instant now) const;
  // Returns how long a job without any outstanding or done task has been waiting, as a multiple of the
  // longest acceptable wait. Returns 0 for other jobs and for jobs in crash-loop back-off.
  double wait_ratio(const JobId& id, const JobEntry& entry, WallMs wall) const;
  // Returns the demand of all waiting jobs. Jobs of the same team share its quota.
  std::vector<Demand> demand(Instant now) const;

 private:
  QueuedJob make_queued_job(const JobId& id, const JobEntry& entry, std::uint32_t tasks,
                            const StartTimes& starts, WallMs wall) const;

  const JobTable& jobs_;
  const QuotaLedger& quota_;
  const CrashLoopBackoff& crash_loops_;
  const DeadlinePlanner& deadlines_;
};

}  // namespace beaconsill::scheduler
