// Simulates users that act at random: they repeat failed requests, poll their jobs, and cancel some of them.
// Also implements the kinds of faults that users cause (see FaultKind).
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

  // Submits a random job, repeating the request until it is accepted, and polls the job from then on.
  // Depending on `index`, also cancels it.
  void submit_random_job(int index);
  // Submits the jobs of a random pipeline in order, each as soon as the previous one is accepted. In some
  // pipelines, the last job is submitted only after its dependencies have ended. Cancels one job of some
  // pipelines.
  void submit_random_pipeline(int index);
  // Submits a job of one task; a quarter of these jobs is cancelled.
  void submit_single_task_job();
  // Submits a job that fails on every machine. Its user cancels it within `within_s` seconds after it is
  // accepted.
  void submit_failing_job(double within_s);
  // Sends `queries` queries about random jobs.
  void poll_random_jobs(int queries);
  // Submits one array job per team that is larger than the team's CPU limit.
  void fill_quotas();
  // Cancels, within 0.2 s, up to `count` random running jobs: services, and arrays with a task that runs for
  // more than 2 s from now. Returns the machines on which they run.
  std::vector<MachineName> cancel_running_jobs(int count);
  // Sends one random request: a repeated submission, a cancellation of a completed job, a submission of a job
  // that cannot run or lacks a field, or a cancellation or query of a job that was never submitted.
  void send_invalid_request();

  // Until this time, users query all controllers within milliseconds after a job was accepted, completed or
  // cancelled.
  void query_in_bursts_until(double until) { query_bursts_until_ = until; }
  // Cancels the window's share of the completing jobs at the moment of completion.
  void cancel_at_completion(FaultWindow window) { cancel_at_completion_ = window; }

  // A user received the first response that the job is accepted, or that it is cancelled.
  void on_job_status_change(const JobId& id) { send_query_burst(id); }
  // The last task of the job has completed.
  void on_job_completed(const JobId& id);

 private:
  void submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                             double cancel_after_s, const std::function<void()>& then = {});
  void submit_pipeline_step(const std::shared_ptr<const JobGenerator::Pipeline>& pipeline, std::size_t step,
                            bool last_waits_for_dependencies);
  void cancel_until_confirmed(const JobId& id);
  void poll_periodically(const JobId& id);
  void send_query_burst(const JobId& id);
  void send_invalid_submission();
  // Returns a random controller that a load balancer would choose: one that is up, ready and reachable for
  // users. If there is none, returns any controller.
  int random_controller();

  Environment& env_;
  Ledger& ledger_;
  Users& users_;
  JobGenerator jobs_;
  double query_bursts_until_ = 0;
  FaultWindow cancel_at_completion_;
};

}  // namespace beaconsill::sim
