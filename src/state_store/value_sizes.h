// Values that fit the state store's limit. What was written under a higher limit stays readable; what is
// written from now on has to fit, and must never lose what is recorded already.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// Bytes of the value as it's sent.
std::size_t value_bytes(const protocol::Json& value);

// As much of `wanted` as fits into `max_bytes`, always with all of `recorded` that `wanted` still holds. What
// is left out counts as neither done nor released until a later record, which is safe: sets of finished tasks
// get shorter as they fill up.
Progress fit_progress(const Progress& recorded, const Progress& wanted, std::size_t max_bytes);

// Takes tasks of the chunks beyond generation `recorded` back out until the value fits: the job gets the rest
// later. False: even what is recorded doesn't fit, or a gang, which is granted as a whole, doesn't.
bool fit_grants(Grants& grants, Generation recorded, std::size_t max_bytes);

// The values that make up a job.
struct JobValues {
  JobRecord record;
  std::vector<DependencySegment> depends_on;
};

// The record of a job as values that fit. Most have it all in one; with more dependencies than fit these go
// into further keys. None: it doesn't fit even so.
std::optional<JobValues> fit_job(JobRecord record, std::size_t max_bytes);

}  // namespace beaconsill::state_store
