// The controllers' processes, the network, and what it loses, delays and repeats.
#pragma once

#include <array>
#include <map>
#include <optional>

#include "sim/clock.h"
#include "sim/topology.h"

namespace beaconsill::sim {

// What a controller's callback is about: it can be made to stand still right before the next one of a kind.
enum class Await { kTimer, kTransaction, kRead, kCommand, kPeer, kReport, kUserRequest };

// A connection that is interrupted. What is sent meanwhile is refused, or held and delivered afterwards.
struct Cut {
  double until = 0;
  bool lease = false;
};

class Network {
 public:
  explicit Network(EventQueue& queue) : queue_(queue) {}

  // ---- Processes
  bool up(int controller) const { return at(controller).up; }
  std::uint64_t life(int controller) const { return at(controller).life; }
  void start(int controller);
  void stop(int controller) { at(controller).up = false; }
  // The process does nothing until then; what comes meanwhile waits.
  void pause_detector(int controller, double until) { at(controller).still_until = until; }
  // The same, beginning with its next callback of that kind.
  void stand_still_at(int controller, Await await, double for_s);
  // `f` happens at the controller now, or once it doesn't stand still any more; never in another life.
  void run(int controller, std::uint64_t life, Await await, std::function<void()> f);
  void run(int controller, Await await, std::function<void()> f) {
    run(controller, life(controller), await, std::move(f));
  }
  void later(int controller, double d, Await await, std::function<void()> f);

  // ---- Cuts
  void cut_state(int controller, Cut c) { at(controller).state = c; }
  void cut_peers(int controller, Cut c) { at(controller).peers = c; }
  void cut_workers(int controller, Cut c) { at(controller).workers = c; }
  void cut_users(int controller, Cut c) { at(controller).users = c; }
  // Nothing passes between the zone and everything else.
  void cut_zone(const Zone& zone, Cut c) { zones_[zone] = c; }
  // The cut on the way, if there is one.
  std::optional<Cut> way_to_state(int controller) const;
  std::optional<Cut> way_between(int controller, int other) const;
  std::optional<Cut> way_to_worker(int controller, const Zone& zone) const;
  std::optional<Cut> way_to_user(int controller) const;

  // ---- Messages between controllers
  // Lost, late, or come twice. `f` is what the receiver does.
  void peer(int from, int to, std::function<void()> f);
  // That share of the messages between controllers is lost, or comes late and repeatedly.
  void lose_peer_messages(Window w) { lost_ = w; }
  void delay_peer_messages(Window w) { delayed_ = w; }

 private:
  struct Process {
    bool up = false;
    std::uint64_t life = 0;
    double still_until = 0;
    std::optional<std::pair<Await, double>> still_at;
    Cut state, peers, workers, users;
  };
  Process& at(int controller) { return processes_[static_cast<std::size_t>(controller)]; }
  const Process& at(int controller) const { return processes_[static_cast<std::size_t>(controller)]; }
  std::optional<Cut> active(const Cut& c) const;
  std::optional<Cut> leaving(const Zone& zone) const;
  std::optional<Cut> between(const Zone& a, const Zone& b) const;

  EventQueue& queue_;
  std::array<Process, kControllers> processes_;
  std::map<Zone, Cut> zones_;
  Window lost_, delayed_;
};

}  // namespace beaconsill::sim
