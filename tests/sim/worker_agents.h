// Fake of the agents on the worker machines: runs tasks, executes commands, and reports the tasks in
// heartbeats.
#pragma once

#include <functional>
#include <utility>

#include "shard/shard_manager.h"
#include "sim/clock.h"
#include "sim/invariants.h"
#include "sim/ledger.h"
#include "sim/options.h"

namespace beaconsill::sim {

// A machine's reply to a batch of commands sent directly by a controller.
struct CommandReply {
  bool executed = false;
  protocol::WorkerHeartbeat heartbeat;
};

class WorkerAgents {
 public:
  // `on_job_completed` is called when the last task of a job has completed.
  WorkerAgents(EventQueue& queue, Ledger& ledger, InvariantChecker& invariants, Outcome& outcome,
               std::function<void(const JobId&)> on_job_completed)
      : queue_(queue),
        ledger_(ledger),
        invariants_(invariants),
        outcome_(outcome),
        on_job_completed_(std::move(on_job_completed)) {}

  // Processes everything that is due by now on all machines, or on one machine: lease expiry, task starts and
  // task ends.
  void advance_all();
  void advance(Machine& machine);
  protocol::WorkerHeartbeat compose_heartbeat(Machine& machine);
  // Executes the commands unless they are for a different incarnation of the machine or come from a shard
  // leader that has been replaced (lower fencing token).
  CommandReply execute(Machine& machine, const shard::ShardManager::Batch& batch);
  void apply_command(Machine& machine, const protocol::Command& command);

 private:
  using TaskKey = std::pair<TaskId, Attempt>;
  void start(Machine& machine, const TaskKey& key);
  void stop(Machine& machine, Task& task, const protocol::JobSpec& spec, double grace_s);
  void advance_at(const Machine& machine, double due);
  void on_task_done(const JobId& id, Job& job, std::uint32_t index);

  EventQueue& queue_;
  Ledger& ledger_;
  InvariantChecker& invariants_;
  Outcome& outcome_;
  std::function<void(const JobId&)> on_job_completed_;
};

}  // namespace beaconsill::sim
