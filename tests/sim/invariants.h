// Checks the invariants of the scheduler against the ledger, which has the true state of the simulated world.
#pragma once

#include <functional>
#include <string>

#include "sim/clock.h"
#include "sim/ledger.h"
#include "sim/options.h"
#include "sim/state_store.h"
#include "sim/user_response.h"

namespace beaconsill::sim {

// Tolerance for rounding errors in sums of CPUs and of GB.
constexpr double kRoundingTolerance = 1e-6;

class InvariantChecker {
 public:
  // `advance` updates all simulated machines to the current time.
  InvariantChecker(const EventQueue& queue, const Ledger& ledger, Outcome& outcome,
                   std::function<void()> advance)
      : queue_(queue), ledger_(ledger), outcome_(outcome), advance_(std::move(advance)) {}

  // Counts the violation, and records the description of the first one.
  void report_violation(const std::string& rule, const std::string& what);
  // A task starts to run on a machine.
  void on_task_start(const Machine& machine, const TaskId& task, const Job& job);
  // A key in the state store was written or deleted.
  void on_state_write(const protocol::Write& write);
  // A user received a response, or the request timed out. Jobs that are not in the ledger were never
  // submitted, or only with an invalid request.
  void on_response(const UserResponse& response);
  // Checks the time limits of all jobs; to be called about once per simulated second. `last_fault_end` is the
  // simulated time in seconds of the end of the last fault or of the last scripted request, whichever is
  // later.
  void check_all(double last_fault_end);
  // Returns whether the job is in the state that its user requested: it was accepted, and either has a
  // terminal record and no running task, or is a service without a cancellation request that runs all its
  // tasks.
  bool is_served(const JobId& id, const Job& job, const StateStore& state) const;

 private:
  // What users know about a job from responses. Times are in simulated seconds.
  struct KnownToUser {
    std::optional<double> accepted_at, final_at;
    // Times of the first and the last failed request since the last successful response.
    std::optional<double> first_failure_at;
    double last_failure_at = 0;
    std::optional<protocol::JobState> final_state;
  };
  // A job that waits although it could run.
  struct Wait {
    double since = 0;     // in simulated seconds
    int task_starts = 0;  // number of task starts of this job up to the beginning of the wait
  };
  template <class F>
  void for_each_running_task(F visit) const;
  // Returns whether the task has completed by now, even if the simulated machine has not been updated yet.
  bool ended_by_now(const Machine& machine, const Job& job, const Task& task) const;
  void check_not_forgotten(const UserResponse& response, const Job& job, const KnownToUser& known,
                           const std::string& text);
  void check_final_state(const UserResponse& response, const Job& job, KnownToUser& known,
                         const std::string& text);
  void check_placement(const Machine& machine, const TaskId& task, const Job& job);
  void check_late_cancellations();
  void check_orphaned(const UserResponse& response, const std::string& text);
  bool dependencies_were_accepted(const Job& job, double sent_s) const;
  void check_queries_answered(const JobId& id, const Job& job, double last_fault_end);
  void check_starvation(const JobId& id, const Job& job, double last_fault_end);
  bool could_run(const JobId& id, const Job& job) const;

  const EventQueue& queue_;
  const Ledger& ledger_;
  Outcome& outcome_;
  std::function<void()> advance_;
  std::map<JobId, KnownToUser> known_to_users_;
  std::map<JobId, Wait> waits_;
  std::map<JobId, int> task_starts_;
  std::set<JobId> recorded_done_;
};

}  // namespace beaconsill::sim
