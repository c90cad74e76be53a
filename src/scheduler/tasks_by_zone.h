// Counts the tasks of a job in each zone.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <utility>

#include "base/types.h"

namespace beaconsill::scheduler {

class TasksByZone {
 public:
  TasksByZone() = default;
  TasksByZone(std::initializer_list<std::pair<const Zone, std::uint32_t>> tasks) : by_zone_(tasks) {}

  // Adds the zone even if `tasks` is 0.
  void add(const Zone& zone, std::uint32_t tasks) { by_zone_[zone] += tasks; }
  // Returns 0 for a zone that was never added.
  std::uint32_t in(const Zone& zone) const {
    auto tasks = by_zone_.find(zone);
    return tasks == by_zone_.end() ? 0 : tasks->second;
  }
  // Returns the alphabetically first of the zones that were added, or std::nullopt if there are none.
  std::optional<Zone> first_zone() const {
    return by_zone_.empty() ? std::nullopt : std::optional(by_zone_.begin()->first);
  }

 private:
  std::map<Zone, std::uint32_t> by_zone_;
};

}  // namespace beaconsill::scheduler
