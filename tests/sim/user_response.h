// Defines a user's request and the response that the user received.
#pragma once

#include <optional>

#include "protocol/api.h"

namespace beaconsill::sim {

enum class UserRequest { kSubmit, kStatus, kCancel };

struct UserResponse {
  double sent_s = 0;  // simulated time of the request
  double at_s = 0;    // simulated time of the response, or of the time-out
  int controller = 0;
  JobId job;
  UserRequest request = UserRequest::kSubmit;
  int status = 0;  // HTTP status; 0: no connection or no response
  std::optional<protocol::JobState> state;
  double retry_after_s = 0;

  bool ok() const { return status == 200 || status == 201; }
  bool final() const { return state == protocol::JobState::kDone || state == protocol::JobState::kCancelled; }
};

}  // namespace beaconsill::sim
