// Fake of the cloud: machines come, are deleted, and are replaced.
#pragma once

#include <functional>

#include "sim/clock.h"
#include "sim/ledger.h"

namespace beaconsill::sim {

class Cloud {
 public:
  // `on_added` is called with each new machine.
  Cloud(EventQueue& queue, Ledger& ledger, std::function<void(const MachineName&)> on_added)
      : queue_(queue), ledger_(ledger), on_added_(std::move(on_added)) {}

  void add_machine();
  // Ends a machine; nobody is notified. Another one comes some seconds later.
  void kill(const MachineName& name);
  // A request for deletion. `answer` gets whether the cloud said that it was carried out.
  void remove(const MachineName& name, const std::function<void(bool)>& answer);
  // Until then new machines are up within two seconds.
  void boot_fast(double until) { fast_boot_until_ = until; }
  // Until then they take up to a minute.
  void boot_slowly(double until) { slow_boot_until_ = until; }
  // How many deletions were asked for.
  int deletions() const { return deletions_; }

 private:
  EventQueue& queue_;
  Ledger& ledger_;
  std::function<void(const MachineName&)> on_added_;
  int next_ = 0;
  double fast_boot_until_ = 0;
  double slow_boot_until_ = 0;
  int deletions_ = 0;
};

}  // namespace beaconsill::sim
