// Divides a job's tasks among the parts by their answers' proportions.
#pragma once

#include <optional>
#include <vector>

#include "base/types.h"
#include "wire/api.h"

namespace beaconsill::lead {

struct Room {
  PartId part;
  std::optional<Zone> zone;  // set where the zone matters to the job
  std::uint32_t room = 0;
};
struct Share {
  PartId part;
  std::optional<Zone> zone;
  std::uint32_t tasks = 0;
  bool operator==(const Share&) const = default;
};

// `n` tasks over the rooms, in proportion to them (largest remainders first), never more than a room holds.
// What is over stays with the leader.
std::vector<Share> split(std::uint32_t n, const std::vector<Room>& rooms);

// The most tasks of the job that may be in one zone.
std::uint32_t zone_limit(const wire::JobSpec& spec);

}  // namespace beaconsill::lead
