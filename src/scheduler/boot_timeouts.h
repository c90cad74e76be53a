// Determines after how long a booting instance counts as failed, from recent boot times of its machine type.
#pragma once

#include <map>

#include "base/types.h"

namespace beaconsill::scheduler {

// All times are in multiples of the type's typical boot time. Each instance that times out makes the timeout
// of its type longer: otherwise no instance would ever finish its boot while all of them are slow. Each
// instance that boots quickly makes it shorter.
class BootTimeouts {
 public:
  // Returns the current timeout of the type.
  double timeout_factor(const MachineType& type) const;
  // An instance has finished its boot, `boot_factor` typical boot times after it was rented.
  void on_running(const MachineType& type, double boot_factor);
  // An instance didn't finish its boot within the timeout.
  void on_timeout(const MachineType& type);

 private:
  double& find_or_insert(const MachineType& type);

  std::map<MachineType, double> timeout_factors_;
};

}  // namespace beaconsill::scheduler
