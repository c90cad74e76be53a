// The users: they submit jobs, cancel some, query them, and record the responses. Requests go
// through the users' endpoints of `api` in the form that the protocol gives them.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "sim/environment.h"

namespace beaconsill::sim {

class Users {
 public:
  using OnResponse = std::function<void(const UserResponse&)>;
  Users(Environment& env, Ledger& ledger, InvariantChecker& invariants)
      : env_(env), ledger_(ledger), invariants_(invariants) {}

  // ---- Requests, each sent now
  void submit(int controller, const protocol::JobSpec& spec, std::optional<double> run_s = {},
              OnResponse then = {});
  void poll(int controller, const JobId& id, OnResponse then = {});
  void cancel(int controller, const JobId& id, OnResponse then = {});
  const std::vector<UserResponse>& responses() const { return responses_; }

  // ---- Drawn users
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

  // ---- Faults
  // Users query all controllers within milliseconds after a job was accepted, ended or cancelled.
  void query_in_bursts(double until) { query_bursts_until_ = until; }
  // That share of the jobs that end is cancelled at the moment of the end.
  void cancel_at_completion(Window window) { cancel_at_completion_ = window; }
  // The last task of the job has completed.
  void on_job_completed(const JobId& id);

 private:
  protocol::JobSpec drawn_spec(int index);
  protocol::JobSpec next_spec(std::uint32_t tasks);
  void submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                             double cancel_after_s, const std::function<void()>& then = {});
  using Pipeline = std::vector<protocol::JobSpec>;
  Pipeline drawn_pipeline(int index);
  void submit_step(const std::shared_ptr<const Pipeline>& pipeline, std::size_t step, bool last_waits);
  bool over(const JobId& id) const;
  void cancel_until_confirmed(const JobId& id);
  void poll_on(const JobId& id);
  void query_burst(const JobId& id);
  void invalid_submission();
  std::optional<JobId> drawn_job();
  // A controller that a load balancer would choose.
  int random_controller();
  void send_request(int controller, const JobId& id, UserRequest request, std::string body, OnResponse then);
  void on_response(const UserResponse& response);

  Environment& env_;
  Ledger& ledger_;
  InvariantChecker& invariants_;
  std::vector<UserResponse> responses_;
  int next_job_ = 1000;
  double query_bursts_until_ = 0;
  Window cancel_at_completion_;
};

}  // namespace beaconsill::sim
