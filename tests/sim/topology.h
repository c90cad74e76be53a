// Defines the simulated deployment: three controllers in two zones, machines in three zones, and two teams.
#pragma once

#include <string>
#include <vector>

#include "base/types.h"

namespace beaconsill::sim {

constexpr int kControllers = 3;
// Settings of the deployment: times in seconds, memory in GB.
constexpr double kLease = 10;
constexpr double kCancelLimit = 40;
constexpr double kTeamCpus = 30;
constexpr double kMachineCpus = 8;
constexpr double kMachineMemory = 32;

inline ControllerName controller_name(int controller) {
  return ControllerName("n" + std::to_string(controller));
}
inline int controller_number(const ControllerName& name) {
  return name.value()[1] - '0';
}
inline Zone controller_zone(int controller) {
  return Zone(controller == 1 ? "west" : "east");
}
inline const std::vector<Zone>& zones() {
  static const std::vector<Zone> kAll{Zone("east"), Zone("west"), Zone("north")};
  return kAll;
}
inline const std::vector<Team>& teams() {
  static const std::vector<Team> kAll{Team("green"), Team("blue")};
  return kAll;
}

}  // namespace beaconsill::sim
