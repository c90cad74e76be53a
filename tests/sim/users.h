// Sends the requests of users to the HTTP handlers of `api`, in the encoding of the protocol, and records the
// responses.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sim/environment.h"

namespace beaconsill::sim {

class Users {
 public:
  using OnResponse = std::function<void(const UserResponse&)>;
  // `on_job_status_change` is called at the first response that a job is accepted, and at the first that it
  // is cancelled.
  Users(Environment& env, Ledger& ledger, InvariantChecker& invariants,
        std::function<void(const JobId&)> on_job_status_change)
      : env_(env),
        ledger_(ledger),
        invariants_(invariants),
        on_job_status_change_(std::move(on_job_status_change)) {}

  // Each of these sends one request now.
  void submit(int controller, const protocol::JobSpec& spec, std::optional<double> run_s = {},
              const OnResponse& then = {});
  // Submits an arbitrary body. Its job is not in the ledger and must not be accepted.
  void submit_body(int controller, const JobId& id, const std::string& body);
  void poll(int controller, const JobId& id, const OnResponse& then = {});
  void cancel(int controller, const JobId& id, const OnResponse& then = {});

  const std::vector<UserResponse>& responses() const { return responses_; }
  // Returns whether a user has received a response that the job is done or cancelled.
  bool has_final_response(const JobId& id) const;

 private:
  void send_request(int controller, const JobId& id, UserRequest request, std::string body,
                    const OnResponse& then);
  void on_response(const UserResponse& response);

  Environment& env_;
  Ledger& ledger_;
  InvariantChecker& invariants_;
  std::function<void(const JobId&)> on_job_status_change_;
  std::vector<UserResponse> responses_;
};

}  // namespace beaconsill::sim
