// What users see of a job. Every response that names a state of a job is made here.
#pragma once

#include <optional>

#include "api/context.h"
#include "protocol/api.h"

namespace beaconsill::api {

// A cancellation is shown to nobody before every controller that might still show the job as running knows of
// it (Hooks::may_reveal_cancellation): until then the responses ask the user to repeat the request.
class JobStatus {
 public:
  explicit JobStatus(const Context& context) : context_(context) {}

  // Responds to a status request.
  void handle(const JobId& id, const net::HttpServer::Reply& reply) const;

  // The job's state as the view has it; none: it isn't known.
  std::optional<protocol::JobState> state(const JobId& id) const;
  // The response to a status request or a cancellation of a job in this state.
  net::Response status_response(const JobId& id, protocol::JobState state) const;
  // The response to a submission of a job in this state.
  net::Response accepted_response(const JobId& id, protocol::JobState state) const;

 private:
  // Another controller may not know of the cancellation yet.
  bool acknowledgement_pending(const JobId& id, protocol::JobState state) const;
  std::uint32_t done_tasks(const JobId& id) const;

  const Context& context_;
};

}  // namespace beaconsill::api
