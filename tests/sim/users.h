// The users: they submit jobs, cancel some, ask for them, and remember what they were told. Requests go
// through the users' endpoints of `api` in the form that the protocol gives them.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "sim/environment.h"

namespace beaconsill::sim {

class Users {
 public:
  using OnAnswer = std::function<void(const EstimateResponse&)>;
  Users(Environment& env, Books& books, Rules& rules) : env_(env), books_(books), rules_(rules) {}

  // ---- Requests, each sent now
  void submit(int controller, const protocol::JobSpec& spec, std::optional<double> run_s = {},
              OnAnswer then = {});
  void poll(int controller, const JobId& id, OnAnswer then = {});
  void cancel(int controller, const JobId& id, OnAnswer then = {});
  const std::vector<EstimateResponse>& is_responsive() const { return answers_; }

  // ---- Drawn users
  // A drawn job is submitted until it's accepted, polled until it's over, and perhaps cancelled meanwhile.
  void submit_drawn(int i);
  // The jobs of a drawn pipeline, one after the other, each as soon as the one before it is accepted; of some
  // the last only when the others are over. One of them is perhaps cancelled.
  void submit_pipeline(int i);
  // A job of one task.
  void submit_small();
  // A job that fails on every machine. Its user cancels it within so many seconds.
  void submit_mistaken(double within_s);
  // So many questions about drawn jobs.
  void poll_drawn(int questions);
  // For each team one array larger than its limit.
  void fill_limits();
  // Cancels so many jobs that run and have long to go, within a fifth of a second. Returns the machines that
  // run them.
  std::vector<MachineName> cancel_now(int count);
  // Repeated submissions, cancellations of jobs that are over, jobs that can't run or lack a field, questions
  // about jobs that nobody submitted.
  void odd_request();

  // ---- Troubles
  // Users ask at all controllers within milliseconds after a job was accepted, ended or cancelled.
  void look_closely(double until) { close_looks_until_ = until; }
  // That share of the jobs that end is cancelled at the moment of the end.
  void cancel_at_end(Window w) { cancel_at_end_ = w; }
  // The last task of the job has completed.
  void on_all_done(const JobId& id);

 private:
  protocol::JobSpec drawn_spec(int i);
  protocol::JobSpec next_spec(std::uint32_t tasks);
  void submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                             double cancel_after_s, const std::function<void()>& then = {});
  using Pipeline = std::vector<protocol::JobSpec>;
  Pipeline drawn_pipeline(int i);
  void submit_step(const std::shared_ptr<const Pipeline>& pipeline, std::size_t step, bool last_waits);
  bool over(const JobId& id) const;
  void cancel_until_told(const JobId& id);
  void poll_on(const JobId& id);
  void look_closely_at(const JobId& id);
  void odd_submission();
  std::optional<JobId> drawn_job();
  // A controller that a load balancer would choose.
  int drawn_node();
  void request(int controller, const JobId& id, EstimateRequest estimate_request, std::string body,
               OnAnswer then);
  void on_estimate_response(const EstimateResponse& a);

  Environment& env_;
  Books& books_;
  Rules& rules_;
  std::vector<EstimateResponse> answers_;
  int next_job_ = 1000;
  double close_looks_until_ = 0;
  Window cancel_at_end_;
};

}  // namespace beaconsill::sim
