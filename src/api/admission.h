// Whether a job can ever run.
#pragma once

#include <string>

#include "config/settings.h"
#include "wire/api.h"
#include "wire/cloud.h"

namespace beaconsill::api {

struct Verdict {
  enum class Kind { kAccept, kNever, kNotYet };
  Kind kind = Kind::kAccept;
  std::string reason;
};

// `catalogue`: null while the machine types aren't known.
Verdict admit(const wire::JobSpec& spec, const config::Settings& settings, const wire::Catalogue* catalogue);

}  // namespace beaconsill::api
