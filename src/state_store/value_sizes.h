// Reduces records to values that are within the state store's size limit. The limit may have been higher when
// a record was last written: the old value stays readable, but a new one must be within the current limit and
// must not lose anything that is already recorded.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// Returns the size of the encoded value in bytes.
std::size_t value_bytes(const protocol::Json& value);

// Returns as much of `wanted` as `max_bytes` allows. The result always contains what `recorded` and `wanted`
// have in common, even if that exceeds `max_bytes`. Tasks that are left out count as neither done nor
// released until a later record contains them. That is safe, and room for them appears over time, because the
// encoding of the set of finished tasks gets shorter as its gaps close.
Progress truncate_progress(const Progress& recorded, const Progress& wanted, std::size_t max_bytes);

// Removes tasks from the chunks of generations later than `recorded` until the value is at most `max_bytes`
// long; the removed tasks are granted later. Returns false if no new chunk remains: either the recorded
// chunks leave no room for one, or the last chunk is of a gang, which can only be granted as a whole.
bool truncate_grants(Grants& grants, Generation recorded, std::size_t max_bytes);

// The values in which a job is recorded: one for the record itself, and one for each further key of
// dependencies.
struct JobValues {
  JobRecord record;
  std::vector<DependencySegment> depends_on;
};

// Splits the record of a job into values of at most `max_bytes`. Most jobs need only one value. If the
// dependencies make the record too long, they are moved to further keys. Returns std::nullopt if the record
// is too long even then.
std::optional<JobValues> split_job_record(JobRecord record, std::size_t max_bytes);

}  // namespace beaconsill::state_store
