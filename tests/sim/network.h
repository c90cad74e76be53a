// The controllers' processes and the network between them.
#pragma once

#include <array>

#include "sim/clock.h"
#include "sim/options.h"

namespace beaconsill::sim {

class Network {
 public:
  explicit Network(EventQueue& queue) : queue_(queue) {}

  bool up(int node) const { return at(node).up; }
  std::uint64_t life(int node) const { return at(node).life; }
  // A new process starts: cuts of the one before it are over.
  void start(int node) { at(node) = {true, at(node).life + 1, 0, 0}; }
  void stop(int node) { at(node) = {false, at(node).life, 0, 0}; }

  // The state service refuses this controller alone.
  void refuse(int node, double until) { at(node).refused_until = until; }
  // The controller is cut off from the state service and the other controllers.
  void cut(int node, double until) { at(node).cut_until = until; }
  bool reaches_state(int node) const {
    return queue_.now() >= at(node).refused_until && queue_.now() >= at(node).cut_until;
  }

  // Runs only in the same life of the controller.
  void later(int node, double d, std::function<void()> f) {
    queue_.after(d, [this, node, life = life(node), f = std::move(f)] {
      if (up(node) && life == this->life(node)) f();
    });
  }
  // A message between controllers: lost, late, or come twice. `f` is what the receiver does.
  void peer(int from, int to, std::function<void()> f);

 private:
  struct Process {
    bool up = false;
    std::uint64_t life = 0;
    double refused_until = 0;
    double cut_until = 0;
  };
  Process& at(int node) { return processes_[static_cast<std::size_t>(node)]; }
  const Process& at(int node) const { return processes_[static_cast<std::size_t>(node)]; }

  EventQueue& queue_;
  std::array<Process, kControllers> processes_;
};

}  // namespace beaconsill::sim
