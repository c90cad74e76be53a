// The way between controllers and workers: heartbeats and commands, and what the network does to them. What
// happens on the machines is in worker_agents.h.
#pragma once

#include <functional>
#include <vector>

#include "shard/shard_manager.h"
#include "sim/decision_digest.h"
#include "sim/network.h"
#include "sim/worker_agents.h"

namespace beaconsill::sim {

// A controller's answer to a heartbeat: that of the shard leader, or where to go instead.
struct HeartbeatReply {
  std::optional<shard::ShardManager::HeartbeatResponse> answer;
  int redirect = -1;  // -1: unknown
};

class Workers {
 public:
  using Reply = std::function<void(const HeartbeatReply&)>;
  using OnCommandReply = std::function<void(const std::optional<CommandReply>&)>;
  struct Hooks {
    // A heartbeat reached a controller.
    std::function<void(int controller, const protocol::WorkerHeartbeat&, Reply)> heartbeat;
    // The last task of a job has completed.
    std::function<void(const JobId&)> job_completed;
  };
  // `decisions` gets all commands and all answers to heartbeats.
  Workers(EventQueue& queue, Network& network, DecisionDigest& decisions, Ledger& ledger,
          InvariantChecker& invariants, Outcome& outcome, const Options& options, Hooks hooks);

  // A new worker begins to send heartbeats.
  void on_added(const MachineName& name);
  // Lets everything happen that is due on the machines.
  void advance_all() { agents_.advance_all(); }
  // Direct commands of a controller; `done` gets none if there was no answer.
  void command(int controller, const shard::ShardManager::Batch& batch, const OnCommandReply& done);

  // ---- Faults
  // Of that share of heartbeats a copy arrives again, up to well over a lease later.
  void duplicate_heartbeats(Window window) { duplicates_ = window; }
  // The same, but the copies are kept until there is a new leader, and then reach every controller.
  void hold_heartbeats_for_next_leader(Window window) { held_for_next_leader_ = window; }
  void on_new_leader();
  std::size_t held_heartbeats() const { return held_heartbeats_.size(); }
  // That share of direct commands is held up for 2 to 16 s, unanswered, and then carried out.
  void delay_commands(Window window) { late_commands_ = window; }

 private:
  void heartbeat(const MachineName& name);
  void send_heartbeat_to(const MachineName& name, int to, const protocol::WorkerHeartbeat& heartbeat);
  void copy_later(const protocol::WorkerHeartbeat& heartbeat);
  void deliver_copy(int controller, protocol::WorkerHeartbeat heartbeat);
  void heartbeat_finished(const MachineName& name, double wait, int next_controller);
  void on_reply(const MachineName& name, int controller, double sent, std::uint64_t incarnation,
                const HeartbeatReply& reply);
  std::optional<CommandReply> carry_out(const shard::ShardManager::Batch& batch);
  void carry_out_later(double delay, const shard::ShardManager::Batch& batch);

  EventQueue& queue_;
  Network& network_;
  DecisionDigest& decisions_;
  Ledger& ledger_;
  const Options& options_;
  std::function<void(int, const protocol::WorkerHeartbeat&, Reply)> on_heartbeat_;
  WorkerAgents agents_;
  Window duplicates_, held_for_next_leader_, late_commands_;
  std::vector<protocol::WorkerHeartbeat> held_heartbeats_;
};

}  // namespace beaconsill::sim
