// What a user asked, and what a controller answered.
#pragma once

#include <optional>

#include "protocol/api.h"

namespace beaconsill::sim {

enum class EstimateRequest { kSubmit, kStatus, kCancel };

struct EstimateResponse {
  double sent_s = 0;
  double at_s = 0;
  int controller = 0;
  JobId job;
  EstimateRequest estimate_request = EstimateRequest::kSubmit;
  int status = 0;  // of HTTP; 0: no connection or no answer
  std::optional<protocol::JobState> state;
  double retry_after_s = 0;

  bool ok() const { return status == 200 || status == 201; }
  bool final() const { return state == protocol::JobState::kDone || state == protocol::JobState::kCancelled; }
};

}  // namespace beaconsill::sim
