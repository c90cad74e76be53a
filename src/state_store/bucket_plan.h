// Distributes the machines of one bucket of a shard's machine registry over the bucket's segments, each of
// which is one key of the state store (see kMachineBuckets).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "state_store/records.h"

namespace beaconsill::state_store {

// The machines that are recorded in the keys of one bucket, by segment number.
using BucketSegments = std::map<std::uint32_t, std::vector<MachineRecord>>;

// A segment that has to be written, with its new content.
struct SegmentWrite {
  std::uint32_t segment = 0;
  std::vector<MachineRecord> machines;
};

// Returns the segments of a bucket that have to be written so that the bucket contains the machines `wanted`,
// in the order in which they must be written if one transaction can't contain them all. A recorded machine
// stays in its segment, so that a change rewrites only the segments of the machines concerned, however many
// segments there are. If a recorded segment is larger than `max_bytes` (it was written under a higher limit),
// the segments that receive machines from it come earlier in the result than the segment itself: a machine
// must not disappear from the registry while it may run tasks. New machines for which no segment has room
// are left out, and get no tasks until a segment has room for them.
std::vector<SegmentWrite> plan_bucket(const BucketSegments& recorded,
                                      const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
                                      std::uint32_t max_segments);

}  // namespace beaconsill::state_store
