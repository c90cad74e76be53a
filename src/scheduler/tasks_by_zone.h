// How many tasks of a job are in each zone.
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

  // Adding no task makes the zone one of the job's all the same.
  void add(const Zone& zone, std::uint32_t tasks) { by_zone_[zone] += tasks; }
  // Zero for a zone that was never added.
  std::uint32_t in(const Zone& zone) const {
    auto tasks = by_zone_.find(zone);
    return tasks == by_zone_.end() ? 0 : tasks->second;
  }
  // The first by name of the zones that were added, if any.
  std::optional<Zone> first_zone() const {
    return by_zone_.empty() ? std::nullopt : std::optional(by_zone_.begin()->first);
  }

 private:
  std::map<Zone, std::uint32_t> by_zone_;
};

}  // namespace beaconsill::scheduler
