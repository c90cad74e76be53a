// What a user asked, and what a controller answered.
#pragma once

#include <optional>

#include "wire/api.h"

namespace beaconsill::sim {

enum class Ask { kSubmit, kStatus, kCancel };

struct Answer {
  double sent_s = 0;
  double at_s = 0;
  int node = 0;
  JobId job;
  Ask ask = Ask::kSubmit;
  int status = 0;  // of HTTP; 0: no connection or no answer
  std::optional<wire::JobState> state;
  double retry_after_s = 0;

  bool ok() const { return status == 200 || status == 201; }
  bool final() const { return state == wire::JobState::kDone || state == wire::JobState::kCancelled; }
};

}  // namespace beaconsill::sim
