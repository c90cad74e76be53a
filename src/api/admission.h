// Whether a job can ever run.
#pragma once

#include <functional>
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

// The first of the jobs it awaits that isn't among those known; null: all are.
const JobId* first_unknown(const wire::JobSpec& spec, const std::function<bool(const JobId&)>& known);

// `catalogue`: null while the machine types aren't known.
Verdict admit(const wire::JobSpec& spec, const config::Settings& settings, const wire::Catalogue* catalogue);

}  // namespace beaconsill::api
