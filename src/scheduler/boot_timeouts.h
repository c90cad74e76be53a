// After how long a starting instance is taken never to come up, by what was seen of its type lately.
#pragma once

#include <map>

#include "base/types.h"

namespace beaconsill::scheduler {

// All times are in multiples of the type's typical boot time. After each timeout the next instance of the
// type is waited for longer, or none would come up while all are slow; each instance that comes up quickly
// shortens it.
class BootTimeouts {
 public:
  // The present timeout of the type.
  double of(const MachineType& type) const;
  // An instance came up, `boot_times` after it was rented.
  void on_running(const MachineType& type, double boot_times);
  // An instance didn't come up within the timeout.
  void on_timeout(const MachineType& type);

 private:
  double& timeout(const MachineType& type);

  std::map<MachineType, double> timeouts_;
};

}  // namespace beaconsill::scheduler
