// What the agents on the machines do: they let tasks run, carry out commands, and say in heartbeats what
// runs.
#pragma once

#include <functional>
#include <utility>

#include "shard/shard_manager.h"
#include "sim/clock.h"
#include "sim/invariants.h"
#include "sim/ledger.h"
#include "sim/options.h"

namespace beaconsill::sim {

// What comes back from a direct command.
struct CommandReply {
  bool executed = false;
  protocol::WorkerHeartbeat heartbeat;
};

class WorkerAgents {
 public:
  // `on_job_completed`: the last task of a job has completed.
  WorkerAgents(EventQueue& queue, Ledger& ledger, InvariantChecker& invariants, Outcome& outcome,
               std::function<void(const JobId&)> on_job_completed)
      : queue_(queue),
        ledger_(ledger),
        invariants_(invariants),
        outcome_(outcome),
        on_job_completed_(std::move(on_job_completed)) {}

  // Lets everything happen that is due on the machines, or on one of them.
  void advance_all();
  void advance(Machine& machine);
  protocol::WorkerHeartbeat compose_heartbeat(Machine& machine);
  // Carries out commands unless they are for an earlier incarnation, or of a shard leader that was replaced.
  CommandReply execute(Machine& machine, const shard::ShardManager::Batch& batch);
  void apply(Machine& machine, const protocol::Command& command);

 private:
  using TaskKey = std::pair<TaskId, Attempt>;
  void start(Machine& machine, const TaskKey& key);
  void on_task_done(const JobId& id, Job& job, std::uint32_t index);

  EventQueue& queue_;
  Ledger& ledger_;
  InvariantChecker& invariants_;
  Outcome& outcome_;
  std::function<void(const JobId&)> on_job_completed_;
};

}  // namespace beaconsill::sim
