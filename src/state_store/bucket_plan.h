// How the machines of one bucket of a registry are spread over its segments (see kMachineBuckets).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// The machines that the keys of one bucket hold, by segment.
using BucketSegments = std::map<std::uint32_t, std::vector<MachineRecord>>;

// A segment that is to be written.
struct SegmentWrite {
  std::uint32_t segment = 0;
  std::vector<MachineRecord> machines;
};

// The segments of a bucket that have to be written so that it holds the machines `wanted`, in the order in
// which they must be written if not all go at once. A recorded machine stays in its segment, so a change
// costs the segments that it's in, however many there are. If a segment has outgrown `max_bytes` (it was
// written under a higher limit), the machines that move out of it are in an earlier segment of the result:
// they must not fall out of the registry while they may run tasks. Machines that find no place are left out,
// and get no tasks until they do.
std::vector<SegmentWrite> plan_bucket(const BucketSegments& recorded,
                                      const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
                                      std::uint32_t max_segments);

}  // namespace beaconsill::state_store
