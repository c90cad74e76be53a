#include "shard/command_delivery.h"

#include <algorithm>

#include "base/log.h"

namespace beaconsill::shard {
namespace {

using Op = protocol::Command::Op;
using Start = MachineTask::Start;

// Delay before the next probe, after one that neither confirmed the machine nor ended its fencing.
constexpr Duration kReprobeDelay = std::chrono::seconds(1);

}  // namespace

std::vector<CommandBatch> CommandDelivery::take_batches() {
  std::vector<CommandBatch> batches;
  if (state_.superseded) return batches;
  for (auto* machine : state_.dispatch_queue.take_all()) {
    state_.visited_count += 1 + machine->tasks.size();
    if (machine->address.empty() || machine->deleting) continue;
    bool probe_due = machine->probe_at && now_ >= *machine->probe_at;
    if (auto batch = command_batch(*machine)) {
      // The answer to commands shows as much as the answer to a probe.
      if (probe_due) machine->probe_at.reset();
      batches.push_back(std::move(*batch));
    } else if (probe_due) {
      batches.push_back(probe_batch(*machine));
    }
  }
  return batches;
}

// Returns an empty batch. Its answer shows whether the machine receives commands. After a failover it also
// makes the worker accept this leader and send its heartbeat here immediately. Without it, a worker whose
// earlier leader is partitioned from everything but its workers would still be answered by that leader, and
// would never contact this one.
CommandBatch CommandDelivery::probe_batch(Machine& machine) {
  machine.probe_at.reset();
  machine.last_probe_at = now_;
  machine.probe_in_flight = true;
  machine.on_command_sent(now_);
  return {
      machine.name,        machine.address, std::max(machine.incarnation, Incarnation(1)), machine.token, {},
      machine.incarnation, machine.sequence};
}

std::optional<CommandBatch> CommandDelivery::command_batch(Machine& machine) {
  if (machine.channel != Machine::Channel::kIdle || !machine.confirmed) return std::nullopt;
  drop_cancelled_starts(machine);
  // Each batch has a new token, so that the worker rejects a copy of an earlier batch that arrives late.
  CommandBatch batch{machine.name, machine.address,     machine.incarnation, machine.token.raised(),
                     {},           machine.incarnation, machine.sequence};
  for (auto& [key, task] : machine.tasks) {
    if (batch.commands.size() >= kMaxCommands) break;
    if (auto command = next_command(machine, key, task, batch.token))
      batch.commands.push_back(std::move(*command));
  }
  if (batch.commands.empty()) return std::nullopt;
  machine.token = batch.token;
  machine.channel = Machine::Channel::kBusy;
  machine.on_command_sent(now_);
  return batch;
}

// Removes tasks whose jobs were cancelled after they had been placed and before their start commands were
// sent.
void CommandDelivery::drop_cancelled_starts(Machine& machine) {
  state_.drop_tasks_if(
      machine,
      [&](const TaskKey& key, const MachineTask& task) {
        if (task.start != Start::kQueued) return false;
        const auto* job = state_.jobs.find(key.task.job);
        return !job || job->terminal_state.has_value();
      },
      now_);
}

std::optional<protocol::Command> CommandDelivery::next_command(const Machine& machine, const TaskKey& key,
                                                               MachineTask& task, FencingToken token) const {
  if (task.start == Start::kQueued) {
    task.start = Start::kSent;
    task.start_token = token;
    return protocol::Command{Op::kStart, key.task, key.attempt, 0};
  }
  if (task.start == Start::kAcknowledged && is_stop_due(task)) {
    task.sent_stop_grace = task.stop_grace;
    spdlog::debug("task_stop_sent shard={} machine={} task={} seconds={:.1f}", state_.id.value(),
                  machine.name.value(), protocol::task_name(key.task), *task.stop_grace);
    return protocol::Command{Op::kStop, key.task, key.attempt, *task.stop_grace};
  }
  if (!is_live(task) && !task.forget_sent && (task.is_disposable || state_.jobs.is_durable(key.task))) {
    task.forget_sent = true;
    return protocol::Command{Op::kForget, key.task, key.attempt, 0};
  }
  return std::nullopt;
}

void CommandDelivery::on_result(Machine& machine, const CommandBatch& batch, CommandResult result) {
  state_.dispatch_queue.push(machine);
  if (result == CommandResult::kNoAnswer) {
    if (machine.unanswered_since) ++machine.unanswered;
  } else {
    machine.reset_unanswered();
    machine.last_command_answer_at = now_;
    state_.failure_detector.on_commands_answered(machine.zone, now_);
  }
  if (batch.commands.empty()) {
    machine.probe_in_flight = false;
    return;
  }
  // The batch was for an earlier incarnation of the machine, whose tasks have been dropped already.
  if (machine.incarnation != batch.incarnation) return;
  machine.channel = Machine::Channel::kIdle;
  switch (result) {
    case CommandResult::kNoAnswer:
      return begin_fencing(machine, state_.dispatch_queue, now_);
    case CommandResult::kExecuted:
      return on_executed(machine, batch);
    case CommandResult::kRejected:
      return on_rejected(machine, batch);
  }
}

void CommandDelivery::on_executed(Machine& machine, const CommandBatch& batch) {
  for (const auto& command : batch.commands) {
    auto task = machine.tasks.find({command.task, command.attempt});
    if (task != machine.tasks.end() && task->second.start == Start::kSent)
      task->second.start = Start::kAcknowledged;
  }
}

// The worker rejected the batch because of its token or incarnation, so it would also reject any copy of it.
void CommandDelivery::on_rejected(Machine& machine, const CommandBatch& batch) {
  for (const auto& command : batch.commands) {
    auto task = machine.tasks.find({command.task, command.attempt});
    if (task == machine.tasks.end()) continue;
    if (task->second.start != Start::kSent) {
      task->second.sent_stop_grace.reset();
      task->second.forget_sent = false;
      continue;
    }
    auto key = task->first;
    state_.drop_task(machine, task);
    machine.invalidate_load();
    state_.requeue(key, now_);
  }
}

void CommandDelivery::schedule_next_probe(Machine& machine, const CommandBatch& probe) {
  if (machine.confirmed && machine.channel != Machine::Channel::kFencing) return;
  // If the probe was sent with a wrong incarnation, the right one is known now, and the next probe is due.
  machine.probe_at = machine.incarnation > probe.incarnation ? now_ : now_ + kReprobeDelay;
}

HeartbeatResponse CommandDelivery::heartbeat_response(Machine& machine) {
  machine.last_answered = now_;
  HeartbeatResponse response{machine.token, {}};
  // A machine that is being fenced or deleted is sent no command batches, so the stops of its tasks are
  // listed in the response. The deletion may fail, and the machine then continues to run.
  if (machine.channel != Machine::Channel::kFencing && !machine.deleting) return response;
  for (const auto& [key, task] : machine.tasks)
    if (is_live(task) && task.stop_grace && response.commands.size() < kMaxCommands)
      response.commands.push_back({Op::kStop, key.task, key.attempt, *task.stop_grace});
  return response;
}

}  // namespace beaconsill::shard
