// Fake of the controller processes (running, paused or stopped) and of the network between the components,
// which can lose, delay and duplicate messages.
#pragma once

#include <array>
#include <map>
#include <optional>

#include "sim/clock.h"
#include "sim/topology.h"

namespace beaconsill::sim {

// The kinds of callbacks that run in a controller process. A process can be paused right before its next
// callback of one kind.
enum class CallbackKind { kTimer, kTransaction, kRead, kCommand, kPeer, kHeartbeat, kUserRequest };

// An interruption of a connection until the time `until` (s). Messages sent in the meantime are refused or
// lost, or, with `deliver_later`, delivered once the interruption is over.
struct Cut {
  double until = 0;
  bool deliver_later = false;
};

class Network {
 public:
  explicit Network(EventQueue& queue) : queue_(queue) {}

  // ---- Processes
  bool is_up(int controller) const { return at(controller).up; }
  std::uint64_t incarnation(int controller) const { return at(controller).incarnation; }
  void start(int controller);
  void stop(int controller) { at(controller).up = false; }
  // Pauses the process until the given time (s). Callbacks that become due in the meantime run afterwards.
  void pause(int controller, double until) { at(controller).paused_until = until; }
  // Pauses the process for `duration_s`, beginning right before its next callback of the given kind.
  void pause_before(int controller, CallbackKind kind, double duration_s);
  // Runs `callback` in the controller process, immediately or at the end of the current pause. The callback
  // is dropped if the process is down or has a different incarnation by then.
  void run(int controller, std::uint64_t incarnation, CallbackKind kind, std::function<void()> callback);
  void run(int controller, CallbackKind kind, std::function<void()> callback) {
    run(controller, incarnation(controller), kind, std::move(callback));
  }
  // Calls `run` after `delay` seconds, for the incarnation that is current now.
  void run_later(int controller, double delay, CallbackKind kind, std::function<void()> callback);

  // ---- Cuts
  void cut_state(int controller, Cut cut) { at(controller).state = cut; }
  void cut_peers(int controller, Cut cut) { at(controller).peers = cut; }
  void cut_workers(int controller, Cut cut) { at(controller).workers = cut; }
  void cut_users(int controller, Cut cut) { at(controller).users = cut; }
  // Interrupts all connections between the zone and everything outside it.
  void cut_zone(const Zone& zone, Cut cut) { zones_[zone] = cut; }
  // Each of these returns the active cut on the path, or std::nullopt if the path is not interrupted.
  std::optional<Cut> blocked_path_to_state(int controller) const;
  std::optional<Cut> blocked_path_between(int controller, int other) const;
  std::optional<Cut> blocked_path_to_worker(int controller, const Zone& zone) const;
  std::optional<Cut> blocked_path_to_user(int controller) const;

  // ---- Messages between controllers
  // Sends a message, which may be lost, delayed or duplicated. `callback` runs in the receiver's process when
  // the message arrives.
  void send_to_peer(int from, int to, const std::function<void()>& callback);
  // The window's share of the messages between controllers is lost.
  void lose_peer_messages(FaultWindow window) { peer_loss_window_ = window; }
  // The window's share of the messages between controllers is delayed by 0.5 to 40 s. Independently of that,
  // the same share is delivered a second time, 0.5 to 40 s after being sent.
  void delay_peer_messages(FaultWindow window) { peer_delay_window_ = window; }

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
  std::optional<Cut> if_active(const Cut& cut) const;
  std::optional<Cut> cut_around_zone(const Zone& zone) const;
  std::optional<Cut> cut_between_zones(const Zone& zone, const Zone& other) const;

  EventQueue& queue_;
  std::array<Process, kControllers> processes_;
  std::map<Zone, Cut> zones_;
  FaultWindow peer_loss_window_, peer_delay_window_;
};

}  // namespace beaconsill::sim
