// The invariants of the protocol, checked against the ledger.
#pragma once

#include <functional>
#include <string>

#include "sim/clock.h"
#include "sim/ledger.h"
#include "sim/options.h"
#include "sim/state_store.h"
#include "sim/user_response.h"

namespace beaconsill::sim {

// Of sums of CPUs and of GB.
constexpr double kRoundingError = 1e-6;

class InvariantChecker {
 public:
  // `advance`: lets everything happen that is due on the machines.
  InvariantChecker(const EventQueue& queue, const Ledger& ledger, Outcome& outcome,
                   std::function<void()> advance)
      : queue_(queue), ledger_(ledger), outcome_(outcome), advance_(std::move(advance)) {}

  void report_violation(const std::string& rule, const std::string& what);
  // A task begins to run on a machine.
  void on_begin(const Machine& machine, const TaskId& task, const Job& job);
  // The state store holds a new value.
  void on_written(const protocol::Write& write);
  // An answer reached its user. Jobs that aren't in the ledger were never submitted, or not as they should
  // be.
  void on_response(const UserResponse& response);
  // Looks at everything. To be called about once a second. `calm_since`: when the last fault was over.
  void check_all(double calm_since);
  // What users want of the job is so.
  bool satisfied(const JobId& id, const Job& job, const StateStore& state) const;

 private:
  // What users know of a job, and since when.
  struct KnownToUser {
    std::optional<double> accepted, over;
    // When the first and the last of the questions since the last answer were given up.
    std::optional<double> unanswered_from;
    double unanswered_to = 0;
    std::optional<protocol::JobState> end;
  };
  // Since when a job waits though it could run.
  struct Wait {
    double since = 0;
    int started = 0;
  };
  template <class F>
  void each_running(F visit) const;
  // Whether the task has completed, though the fake of its machine hasn't noticed yet.
  bool ended_by_now(const Machine& machine, const Job& job, const Task& task) const;
  void check_remembered(const UserResponse& response, const Job& job, const KnownToUser& known,
                        const std::string& text);
  void check_final_state(const UserResponse& response, const Job& job, KnownToUser& known,
                         const std::string& text);
  void check_place(const Machine& machine, const TaskId& task, const Job& job);
  void check_late_cancellations();
  void check_orphaned(const UserResponse& response, const std::string& text);
  bool awaits_accepted(const Job& job, double sent_s) const;
  void check_answered(const JobId& id, const Job& job, double calm_since);
  void check_waiting(const JobId& id, const Job& job, double calm_since);
  bool could_run(const JobId& id, const Job& job) const;

  const EventQueue& queue_;
  const Ledger& ledger_;
  Outcome& outcome_;
  std::function<void()> advance_;
  std::map<JobId, KnownToUser> known_to_users_;
  std::map<JobId, Wait> waits_;
  std::map<JobId, int> started_;
  std::set<JobId> recorded_done_;
};

}  // namespace beaconsill::sim
