// Whether a job can ever run.
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
    kNever,   // it exceeds a limit, or fits no machine type
    kNotYet,  // not known yet
  };
  Kind kind = Kind::kAccept;
  std::string reason;  // of a refusal, for the user
};

// The first dependency of the job that isn't among those known; null: all are.
const JobId* first_unknown_dependency(const protocol::JobSpec& spec,
                                      const std::function<bool(const JobId&)>& known);

// `catalogue`: null while the machine types aren't known.
AdmissionResult admit(const protocol::JobSpec& spec, const config::Settings& settings,
                      const protocol::Catalogue* catalogue);

}  // namespace beaconsill::api
