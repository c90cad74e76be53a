// The rules of the protocol, checked on the books.
#pragma once

#include <functional>
#include <string>

#include "sim/answer.h"
#include "sim/books.h"
#include "sim/clock.h"
#include "sim/options.h"
#include "sim/state_service.h"

namespace beaconsill::sim {

class Rules {
 public:
  // `advance`: lets everything happen that is due on the machines.
  Rules(const EventQueue& queue, const Books& books, Outcome& outcome, std::function<void()> advance)
      : queue_(queue), books_(books), outcome_(outcome), advance_(std::move(advance)) {}

  void broke(const std::string& rule, const std::string& what);
  // A task begins to run on a machine.
  void on_begin(const Machine& m, const TaskId& task, const Job& job);
  // The state store holds a new value.
  void on_written(const protocol::Write& w);
  // An answer reached its user. Jobs that aren't in the books were never submitted, or not as they should be.
  void on_estimate_response(const EstimateResponse& a);
  // Looks at everything. To be called about once a second. `calm_since`: when the last trouble was over.
  void look(double calm_since);
  // What users want of the job is so.
  bool satisfied(const JobId& id, const Job& job, const StateService& state) const;

 private:
  // What users were told of a job, and when.
  struct Told {
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
  void check_place(const Machine& m, const TaskId& task, const Job& job);
  void check_late_cancellations();
  void check_orphaned(const EstimateResponse& a, const std::string& text);
  bool awaits_accepted(const Job& job, double sent_s) const;
  void check_answered(const JobId& id, const Job& job, double calm_since);
  void check_waiting(const JobId& id, const Job& job, double calm_since);
  bool could_run(const JobId& id, const Job& job) const;

  const EventQueue& queue_;
  const Books& books_;
  Outcome& outcome_;
  std::function<void()> advance_;
  std::map<JobId, Told> notified_;
  std::map<JobId, Wait> waits_;
  std::map<JobId, int> started_;
  std::set<JobId> recorded_done_;
};

}  // namespace beaconsill::sim
