// The users' requests: sent through the users' endpoints of `api` in the form that the protocol gives them,
// their responses recorded.
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
  // `on_news`: a user has learned that a job is accepted, or that it's cancelled.
  Users(Environment& env, Ledger& ledger, InvariantChecker& invariants,
        std::function<void(const JobId&)> on_news)
      : env_(env), ledger_(ledger), invariants_(invariants), on_news_(std::move(on_news)) {}

  // Each is one request, sent now.
  void submit(int controller, const protocol::JobSpec& spec, std::optional<double> run_s = {},
              const OnResponse& then = {});
  // A submission with any body. Its job isn't in the ledger: it must not be accepted.
  void submit_body(int controller, const JobId& id, const std::string& body);
  void poll(int controller, const JobId& id, const OnResponse& then = {});
  void cancel(int controller, const JobId& id, const OnResponse& then = {});

  const std::vector<UserResponse>& responses() const { return responses_; }
  // Whether a user knows that the job is done or cancelled.
  bool over(const JobId& id) const;

 private:
  void send_request(int controller, const JobId& id, UserRequest request, std::string body,
                    const OnResponse& then);
  void on_response(const UserResponse& response);

  Environment& env_;
  Ledger& ledger_;
  InvariantChecker& invariants_;
  std::function<void(const JobId&)> on_news_;
  std::vector<UserResponse> responses_;
};

}  // namespace beaconsill::sim
