// Stand-in of the cloud: machines come, are deleted, and are replaced.
#pragma once

#include <functional>

#include "sim/books.h"
#include "sim/clock.h"

namespace beaconsill::sim {

class Cloud {
 public:
  // `on_added` is called with each new machine.
  Cloud(EventQueue& queue, Books& books, std::function<void(const MachineName&)> on_added)
      : queue_(queue), books_(books), on_added_(std::move(on_added)) {}

  void add_machine();
  // Ends a machine; nobody is told. Another one comes some seconds later.
  void kill(const MachineName& m);
  // A request for deletion. `answer` gets whether the cloud said that it was carried out.
  void remove(const MachineName& m, std::function<void(bool)> answer);
  // Until then new machines are up within two seconds.
  void boot_quickly(double until) { quick_until_ = until; }
  // Until then they take up to a minute.
  void boot_late(double until) { late_until_ = until; }
  // How many deletions were asked for.
  int removed() const { return removed_; }

 private:
  EventQueue& queue_;
  Books& books_;
  std::function<void(const MachineName&)> on_added_;
  int next_ = 0;
  double quick_until_ = 0;
  double late_until_ = 0;
  int removed_ = 0;
};

}  // namespace beaconsill::sim
