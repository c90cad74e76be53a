// Builds the batches of commands that are sent to machines, and applies their results.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "shard/shard_state.h"

namespace beaconsill::shard {

// Commands for one machine under one fencing token. A batch without commands is a probe.
struct CommandBatch {
  MachineName machine;
  std::string address;
  Incarnation incarnation;
  FencingToken token;
  std::vector<protocol::Command> commands;
  // Incarnation and sequence number of the newest heartbeat that was known when the batch was sent.
  Incarnation known_incarnation = {};
  Sequence known_sequence = {};

  // Whether the answer to this batch shows that the worker has restarted: it was sent after that heartbeat,
  // but has no higher numbers. Unlike an unsolicited heartbeat, it can't be a late copy of an earlier one.
  bool shows_restart(const protocol::WorkerHeartbeat& answer) const {
    return !answer.is_newer_than(known_incarnation, known_sequence);
  }
};

enum class CommandResult { kExecuted, kRejected, kNoAnswer };

// The answer to a machine's heartbeat, which renews its lease.
struct HeartbeatResponse {
  FencingToken token;
  // Stops of tasks, listed here while no command batches can be sent to the machine. Only stops are allowed,
  // because they can be repeated and need no tracking as in-flight commands.
  std::vector<protocol::Command> commands;
};

// Operates on a shard's state while one event is processed.
class CommandDelivery {
 public:
  CommandDelivery(ShardState& state, Instant now) : state_(state), now_(now) {}

  // Returns the batches to send now: at most one for each machine that has commands to send or a probe due.
  std::vector<CommandBatch> take_batches();
  // Applies the result of a batch that take_batches returned. The caller then reconciles the heartbeat
  // contained in the answer, and after that calls schedule_next_probe if the batch was a probe.
  void on_result(Machine& machine, const CommandBatch& batch, CommandResult result);
  // Schedules another probe, unless the machine is confirmed and not being fenced.
  void schedule_next_probe(Machine& machine, const CommandBatch& probe);
  HeartbeatResponse heartbeat_response(Machine& machine);

 private:
  void drop_cancelled_starts(Machine& machine);
  std::optional<CommandBatch> command_batch(Machine& machine);
  // `token`: that of the batch for which the command is meant.
  std::optional<protocol::Command> next_command(const Machine& machine, const TaskKey& key, MachineTask& task,
                                                FencingToken token) const;
  CommandBatch probe_batch(Machine& machine);
  void on_executed(Machine& machine, const CommandBatch& batch);
  void on_rejected(Machine& machine, const CommandBatch& batch);

  ShardState& state_;
  Instant now_;
};

}  // namespace beaconsill::shard
