#include "scheduler/boot_timeouts.h"

#include <algorithm>

namespace beaconsill::scheduler {
namespace {

constexpr double kMinTimeout = 3.0;
constexpr double kMaxTimeout = 12.0;
constexpr double kGrowthOnTimeout = 1.5;
constexpr double kDecayOnRunning = 0.8;
// Of the boot time of an instance that came up lately, so much is waited for.
constexpr double kSeenBootMargin = 2.0;

}  // namespace

double& BootTimeouts::timeout(const MachineType& type) {
  return timeouts_.try_emplace(type, kMinTimeout).first->second;
}

double BootTimeouts::of(const MachineType& type) const {
  auto it = timeouts_.find(type);
  return it == timeouts_.end() ? kMinTimeout : it->second;
}

void BootTimeouts::on_running(const MachineType& type, double boot_times) {
  auto& times = timeout(type);
  times =
      std::clamp(std::max(boot_times * kSeenBootMargin, times * kDecayOnRunning), kMinTimeout, kMaxTimeout);
}

void BootTimeouts::on_timeout(const MachineType& type) {
  auto& times = timeout(type);
  times = std::min(times * kGrowthOnTimeout, kMaxTimeout);
}

}  // namespace beaconsill::scheduler
