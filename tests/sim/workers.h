// Fake of the communication between workers and controllers: delivers heartbeats and commands, and injects
// losses, delays and duplicates. worker_agents.h simulates the machines themselves.
#pragma once

#include <functional>
#include <vector>

#include "shard/shard_manager.h"
#include "sim/decision_digest.h"
#include "sim/network.h"
#include "sim/worker_agents.h"

namespace beaconsill::sim {

// A controller's reply to a worker heartbeat: the shard leader's response, or the controller to contact
// instead.
struct HeartbeatReply {
  std::optional<shard::ShardManager::HeartbeatResponse> answer;
  int redirect = -1;  // number of the controller to contact instead; -1 if unknown
};

class Workers {
 public:
  using Reply = std::function<void(const HeartbeatReply&)>;
  using OnCommandReply = std::function<void(const std::optional<CommandReply>&)>;
  struct Hooks {
    // Called when a heartbeat reaches a controller.
    std::function<void(int controller, const protocol::WorkerHeartbeat&, Reply)> heartbeat;
    // Called when the last task of a job has completed.
    std::function<void(const JobId&)> job_completed;
  };
  // `decisions` records all commands and all replies to heartbeats.
  Workers(EventQueue& queue, Network& network, DecisionDigest& decisions, Ledger& ledger,
          InvariantChecker& invariants, Outcome& outcome, const Options& options, Hooks hooks);

  // Makes the worker on a new machine begin to send heartbeats.
  void on_machine_added(const MachineName& name);
  // Processes everything that is due by now on the machines.
  void advance_all() { agents_.advance_all(); }
  // Sends commands from a controller directly to a machine. `done` receives std::nullopt if there was no
  // reply.
  void send_commands(int controller, const shard::ShardManager::Batch& batch, const OnCommandReply& done);

  // ---- Faults
  // For the window's share of heartbeats, a copy arrives 0.5 to 25 s later, possibly after more than
  // `kLease`.
  void duplicate_heartbeats(FaultWindow window) { duplicate_window_ = window; }
  // For the window's share of heartbeats, a copy is held until the scheduler has a new leader, and is then
  // delivered to every controller.
  void hold_heartbeats_for_next_leader(FaultWindow window) { hold_window_ = window; }
  void on_new_leader();
  std::size_t held_heartbeats() const { return held_heartbeats_.size(); }
  // The window's share of direct commands is executed 2 to 16 s late, and its sender gets no reply.
  void delay_commands(FaultWindow window) { command_delay_window_ = window; }

 private:
  void send_next_heartbeat(const MachineName& name);
  void send_heartbeat_to(const MachineName& name, int to, const protocol::WorkerHeartbeat& heartbeat);
  void deliver_copy_later(const protocol::WorkerHeartbeat& heartbeat);
  void deliver_copy(int controller, protocol::WorkerHeartbeat heartbeat);
  void finish_heartbeat(const MachineName& name, double wait, int next_controller);
  void on_reply(const MachineName& name, int controller, double sent, std::uint64_t incarnation,
                const HeartbeatReply& reply);
  std::optional<CommandReply> execute_batch(const shard::ShardManager::Batch& batch);
  void execute_batch_after(double delay, const shard::ShardManager::Batch& batch);

  EventQueue& queue_;
  Network& network_;
  DecisionDigest& decisions_;
  Ledger& ledger_;
  const Options& options_;
  std::function<void(int, const protocol::WorkerHeartbeat&, Reply)> on_heartbeat_;
  WorkerAgents agents_;
  FaultWindow duplicate_window_, hold_window_, command_delay_window_;
  std::vector<protocol::WorkerHeartbeat> held_heartbeats_;
};

}  // namespace beaconsill::sim
