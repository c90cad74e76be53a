// Admission control: decides whether a submitted job can ever run, given the limits of its team and the
// machine types that the cloud offers.
#pragma once

#include <functional>
#include <string>

#include "config/settings.h"
#include "protocol/api.h"
#include "protocol/cloud.h"

namespace beaconsill::api {

struct AdmissionResult {
  enum class Kind {
    kAccept,
    kReject,     // the job exceeds a limit of its team, or no machine type can run one of its tasks
    kUndecided,  // the machine types are not known yet; the submission should be repeated later
  };
  Kind kind = Kind::kAccept;
  std::string reason;  // error message for the user; empty if the job is accepted
};

// Returns the first dependency of the job for which `is_known` returns false, or nullptr if all are known.
const JobId* first_unknown_dependency(const protocol::JobSpec& spec,
                                      const std::function<bool(const JobId&)>& is_known);

// Checks the job against the limits of its team and the machine types of `catalogue`, which is nullptr while
// the machine types are not known.
AdmissionResult admit(const protocol::JobSpec& spec, const config::Settings& settings,
                      const protocol::Catalogue* catalogue);

}  // namespace beaconsill::api
