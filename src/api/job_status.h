// The endpoint that reports the status of a job. Every response that contains the state of a job is built
// here.
#pragma once

#include <optional>

#include "api/context.h"
#include "protocol/api.h"

namespace beaconsill::api {

// A cancellation is not revealed to any user before every controller that might still report the job as
// running knows of it (Hooks::may_reveal_cancellation). Until then the responses ask the user to repeat the
// request.
class JobStatus {
 public:
  explicit JobStatus(const Context& context) : context_(context) {}

  // Responds to a status request.
  void handle(const JobId& id, const net::HttpServer::Reply& reply) const;

  // Returns the job's state according to the view, or std::nullopt if the view does not contain the job.
  std::optional<protocol::JobState> state(const JobId& id) const;
  // Builds the response to a status request or a cancellation of a job in this state.
  net::Response status_response(const JobId& id, protocol::JobState state) const;
  // Builds the response to a submission of a job that is accepted and in this state.
  net::Response accepted_response(const JobId& id, protocol::JobState state) const;

 private:
  // Returns whether the job is cancelled and another controller may not know of the cancellation yet.
  bool acknowledgement_pending(const JobId& id, protocol::JobState state) const;
  std::uint32_t done_tasks(const JobId& id) const;

  const Context& context_;
};

}  // namespace beaconsill::api
