#include "scheduler/boot_timeouts.h"

#include <algorithm>

namespace beaconsill::scheduler {
namespace {

// Timeouts are in multiples of the type's typical boot time.
constexpr double kMinTimeout = 3.0;
constexpr double kMaxTimeout = 12.0;
constexpr double kGrowthOnTimeout = 1.5;
constexpr double kDecayOnRunning = 0.8;
// The timeout is at least this many times the boot time of the latest instance that finished its boot.
constexpr double kObservedBootMargin = 2.0;

}  // namespace

double& BootTimeouts::find_or_insert(const MachineType& type) {
  return timeout_factors_.try_emplace(type, kMinTimeout).first->second;
}

double BootTimeouts::timeout_factor(const MachineType& type) const {
  auto it = timeout_factors_.find(type);
  return it == timeout_factors_.end() ? kMinTimeout : it->second;
}

void BootTimeouts::on_running(const MachineType& type, double boot_factor) {
  auto& factor = find_or_insert(type);
  factor = std::clamp(std::max(boot_factor * kObservedBootMargin, factor * kDecayOnRunning), kMinTimeout,
                      kMaxTimeout);
}

void BootTimeouts::on_timeout(const MachineType& type) {
  auto& factor = find_or_insert(type);
  factor = std::min(factor * kGrowthOnTimeout, kMaxTimeout);
}

}  // namespace beaconsill::scheduler
