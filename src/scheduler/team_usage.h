// Tracks how many CPUs, GPUs and gigabytes of memory each team has been granted.
#pragma once

#include <initializer_list>
#include <map>
#include <utility>

#include "base/types.h"

namespace beaconsill::scheduler {

// A value type, so that planning steps can work on a copy and charge it with what they intend to grant.
class TeamUsage {
 public:
  TeamUsage() = default;
  TeamUsage(std::initializer_list<std::pair<const Team, Resources>> usage) : by_team_(usage) {}

  void charge(const Team& team, const Resources& amount) { by_team_[team] += amount; }
  void release(const Team& team, const Resources& amount) { by_team_[team] -= amount; }
  // Returns zero amounts for a team that was never charged.
  Resources of(const Team& team) const {
    auto it = by_team_.find(team);
    return it == by_team_.end() ? Resources{} : it->second;
  }

 private:
  std::map<Team, Resources> by_team_;
};

}  // namespace beaconsill::scheduler
