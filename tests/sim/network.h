// The controllers' processes, the network, and what it loses, delays and repeats.
#pragma once

#include <array>
#include <map>
#include <optional>

#include "sim/clock.h"
#include "sim/topology.h"

namespace beaconsill::sim {

// What a controller's callback is about: the process can be paused right before the next one of a kind.
enum class CallbackKind { kTimer, kTransaction, kRead, kCommand, kPeer, kHeartbeat, kUserRequest };

// A connection that is interrupted. What is sent meanwhile is refused, or held and delivered afterwards.
struct Cut {
  double until = 0;
  bool deliver_later = false;
};

class Network {
 public:
  explicit Network(EventQueue& queue) : queue_(queue) {}

  // ---- Processes
  bool up(int controller) const { return at(controller).up; }
  std::uint64_t incarnation(int controller) const { return at(controller).incarnation; }
  void start(int controller);
  void stop(int controller) { at(controller).up = false; }
  // The process does nothing until then; what comes meanwhile waits.
  void pause(int controller, double until) { at(controller).paused_until = until; }
  // The same, beginning with its next callback of that kind.
  void pause_before(int controller, CallbackKind kind, double duration_s);
  // `f` happens at the controller now, or once it's no longer paused; never in another incarnation.
  void run(int controller, std::uint64_t incarnation, CallbackKind kind, std::function<void()> f);
  void run(int controller, CallbackKind kind, std::function<void()> f) {
    run(controller, incarnation(controller), kind, std::move(f));
  }
  void later(int controller, double d, CallbackKind kind, std::function<void()> f);

  // ---- Cuts
  void cut_state(int controller, Cut c) { at(controller).state = c; }
  void cut_peers(int controller, Cut c) { at(controller).peers = c; }
  void cut_workers(int controller, Cut c) { at(controller).workers = c; }
  void cut_users(int controller, Cut c) { at(controller).users = c; }
  // Nothing passes between the zone and everything else.
  void cut_zone(const Zone& zone, Cut c) { zones_[zone] = c; }
  // The cut on the path, if there is one.
  std::optional<Cut> blocked_path_to_state(int controller) const;
  std::optional<Cut> blocked_path_between(int controller, int other) const;
  std::optional<Cut> blocked_path_to_worker(int controller, const Zone& zone) const;
  std::optional<Cut> blocked_path_to_user(int controller) const;

  // ---- Messages between controllers
  // Lost, late, or come twice. `f` is what the receiver does.
  void peer(int from, int to, std::function<void()> f);
  // That share of the messages between controllers is lost, or comes late and repeatedly.
  void lose_peer_messages(Window w) { lost_ = w; }
  void delay_peer_messages(Window w) { delayed_ = w; }

 private:
  struct Process {
    bool up = false;
    std::uint64_t incarnation = 0;
    double paused_until = 0;
    std::optional<std::pair<CallbackKind, double>> pause_before;
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
