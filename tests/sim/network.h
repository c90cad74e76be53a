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
  // `callback` happens at the controller now, or once it's no longer paused; never in another incarnation.
  void run(int controller, std::uint64_t incarnation, CallbackKind kind, std::function<void()> callback);
  void run(int controller, CallbackKind kind, std::function<void()> callback) {
    run(controller, incarnation(controller), kind, std::move(callback));
  }
  void later(int controller, double delay, CallbackKind kind, std::function<void()> callback);

  // ---- Cuts
  void cut_state(int controller, Cut cut) { at(controller).state = cut; }
  void cut_peers(int controller, Cut cut) { at(controller).peers = cut; }
  void cut_workers(int controller, Cut cut) { at(controller).workers = cut; }
  void cut_users(int controller, Cut cut) { at(controller).users = cut; }
  // Nothing passes between the zone and everything else.
  void cut_zone(const Zone& zone, Cut cut) { zones_[zone] = cut; }
  // The cut on the path, if there is one.
  std::optional<Cut> blocked_path_to_state(int controller) const;
  std::optional<Cut> blocked_path_between(int controller, int other) const;
  std::optional<Cut> blocked_path_to_worker(int controller, const Zone& zone) const;
  std::optional<Cut> blocked_path_to_user(int controller) const;

  // ---- Messages between controllers
  // Lost, late, or come twice. `callback` is what the receiver does.
  void peer(int from, int to, const std::function<void()>& callback);
  // That share of the messages between controllers is lost, or comes late and repeatedly.
  void lose_peer_messages(Window window) { lost_ = window; }
  void delay_peer_messages(Window window) { delayed_ = window; }

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
  std::optional<Cut> active(const Cut& cut) const;
  std::optional<Cut> leaving(const Zone& zone) const;
  std::optional<Cut> between(const Zone& zone, const Zone& other) const;

  EventQueue& queue_;
  std::array<Process, kControllers> processes_;
  std::map<Zone, Cut> zones_;
  Window lost_, delayed_;
};

}  // namespace beaconsill::sim
