// Users who act at random: they repeat what isn't answered, poll their jobs, and cancel some. The faults that
// come from users (FaultKind) are here too.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "sim/job_generator.h"
#include "sim/users.h"

namespace beaconsill::sim {

class RandomUsers {
 public:
  RandomUsers(Environment& env, Ledger& ledger, Users& users)
      : env_(env), ledger_(ledger), users_(users), jobs_(env.queue, ledger) {}

  // A drawn job is submitted until it's accepted, polled until it's over, and perhaps cancelled meanwhile.
  void submit_drawn(int index);
  // The jobs of a drawn pipeline, one after the other, each as soon as the one before it is accepted; of some
  // the last only when the others are over. One of them is perhaps cancelled.
  void submit_pipeline(int index);
  // A job of one task.
  void submit_small();
  // A job that fails on every machine. Its user cancels it within so many seconds.
  void submit_failing(double within_s);
  // So many queries of random jobs.
  void poll_drawn(int queries);
  // For each team one array larger than its limit.
  void fill_quotas();
  // Cancels so many jobs that run and have long to go, within a fifth of a second. Returns the machines that
  // run them.
  std::vector<MachineName> cancel_running(int count);
  // Repeated submissions, cancellations of jobs that are over, jobs that can't run or lack a field, queries
  // of jobs that nobody submitted.
  void invalid_request();

  // Users query all controllers within milliseconds after a job was accepted, ended or cancelled.
  void query_in_bursts(double until) { query_bursts_until_ = until; }
  // That share of the jobs that end is cancelled at the moment of the end.
  void cancel_at_completion(FaultWindow window) { cancel_at_completion_ = window; }

  // Users have learned that the job is accepted, or that it's cancelled.
  void on_news(const JobId& id) { query_burst(id); }
  // The last task of the job has completed.
  void on_job_completed(const JobId& id);

 private:
  void submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                             double cancel_after_s, const std::function<void()>& then = {});
  void submit_step(const std::shared_ptr<const JobGenerator::Pipeline>& pipeline, std::size_t step,
                   bool last_waits);
  void cancel_until_confirmed(const JobId& id);
  void poll_on(const JobId& id);
  void query_burst(const JobId& id);
  void invalid_submission();
  // A controller that a load balancer would choose.
  int random_controller();

  Environment& env_;
  Ledger& ledger_;
  Users& users_;
  JobGenerator jobs_;
  double query_bursts_until_ = 0;
  FaultWindow cancel_at_completion_;
};

}  // namespace beaconsill::sim
