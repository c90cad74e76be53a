// Fake of the cloud provider: creates machines, deletes them on request, and replaces each machine that
// terminates.
#pragma once

#include <functional>
#include <optional>

#include "sim/clock.h"
#include "sim/ledger.h"
#include "sim/options.h"

namespace beaconsill::sim {

class Cloud {
 public:
  // `on_machine_added` is called with the name of each new machine.
  Cloud(EventQueue& queue, Ledger& ledger, const Options& options,
        std::function<void(const MachineName&)> on_machine_added)
      : queue_(queue), ledger_(ledger), options_(options), on_machine_added_(std::move(on_machine_added)) {}

  // Adds a machine in the zone, by default in the one that follows from the machine's number.
  void add_machine(std::optional<Zone> zone = std::nullopt);
  // Terminates a machine without notifying any component. A replacement machine is added some seconds later.
  void terminate_machine(const MachineName& name);
  // Requests the deletion of a machine. `answer` receives whether the cloud reported success; the machine may
  // have been deleted although the cloud reported a failure.
  void delete_machine(const MachineName& name, const std::function<void(bool)>& answer);
  // Replacements of machines that terminate before this time (s) boot within 2 s.
  void boot_fast_until(double until) { fast_boot_until_ = until; }
  // Replacements of machines that terminate before this time (s) take 20 to 60 s to boot.
  void boot_slowly_until(double until) { slow_boot_until_ = until; }
  // The number of deletion requests received so far.
  int requested_deletions() const { return requested_deletions_; }

 private:
  EventQueue& queue_;
  Ledger& ledger_;
  const Options& options_;
  std::function<void(const MachineName&)> on_machine_added_;
  int next_number_ = 0;
  double fast_boot_until_ = 0;
  double slow_boot_until_ = 0;
  int requested_deletions_ = 0;
};

}  // namespace beaconsill::sim
