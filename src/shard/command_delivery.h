// Delivery of commands to machines: batches to be sent, and what their results tell.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Commands for one machine under one token; a probe if there are none.
struct CommandBatch {
  MachineName machine;
  std::string address;
  Incarnation incarnation;
  FencingToken token;
  std::vector<protocol::Command> commands;
};

enum class CommandResult { kExecuted, kRejected, kNoAnswer };

// The answer to a machine's heartbeat, which renews its lease.
struct HeartbeatResponse {
  FencingToken token;
  // While commands don't reach the machine, tasks to be stopped are listed here. Stops only: they can be
  // repeated, and leave nothing in flight.
  std::vector<protocol::Command> commands;
};

// Works on a shard's state for the time of one event.
class CommandDelivery {
 public:
  CommandDelivery(ShardState& state, Instant now) : state_(state), now_(now) {}

  // What can be sent now: at most one batch for each machine that has commands to send or is to be
  // probed.
  std::vector<CommandBatch> take_batches();
  // Applies the result of a batch that was taken. The caller reconciles the heartbeat of the answer next,
  // then calls schedule_next_probe if the batch was a probe.
  void on_result(Machine& machine, const CommandBatch& batch, CommandResult result);
  // Probes the machine again unless its heartbeat has confirmed it.
  void schedule_next_probe(Machine& machine, const CommandBatch& probe);
  HeartbeatResponse heartbeat_response(Machine& machine);

 private:
  void drop_cancelled_starts(Machine& machine);
  std::optional<CommandBatch> command_batch(Machine& machine);
  std::optional<protocol::Command> next_command(const TaskKey& key, MachineTask& task) const;
  CommandBatch probe_batch(Machine& machine);
  void on_executed(Machine& machine, const CommandBatch& batch);
  void on_rejected(Machine& machine, const CommandBatch& batch);

  ShardState& state_;
  Instant now_;
};

}  // namespace beaconsill::shard
