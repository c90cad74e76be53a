#include "sim/worker_agents.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kMaxTimeToFailure = 3;
}  // namespace

void WorkerAgents::advance_all() {
  for (auto& [name, machine] : ledger_.machines)
    if (!machine.terminated) advance(machine);
}

protocol::WorkerHeartbeat WorkerAgents::compose_heartbeat(Machine& machine) {
  advance(machine);
  protocol::WorkerHeartbeat heartbeat;
  heartbeat.machine = machine.name;
  heartbeat.address = "10.0.0.1:1";
  heartbeat.type = MachineType("t8");
  heartbeat.zone = machine.zone;
  heartbeat.incarnation = Incarnation(machine.incarnation);
  heartbeat.sequence = Sequence(++machine.sequence);
  heartbeat.token = FencingToken(machine.token);
  for (const auto& [key, task] : machine.tasks)
    heartbeat.tasks.push_back({key.first, key.second,
                               task.ended     ? protocol::TaskState::kEnded
                               : task.saving  ? protocol::TaskState::kSaving
                               : task.running ? protocol::TaskState::kRunning
                                              : protocol::TaskState::kFetching,
                               task.cause, task.saved});
  return heartbeat;
}

void WorkerAgents::advance(Machine& machine) {
  double now = queue_.now();
  if (now - machine.lease_renewed_at > kLease) {
    machine.tasks.clear();
    ++machine.incarnation;
    machine.lease_renewed_at = now;
  }
  if (now < machine.hangs_until) return;
  for (auto& [key, task] : machine.tasks) {
    if (task.ended) continue;
    auto& job = ledger_.jobs.at(key.first.job);
    if (!task.running && now >= task.image_ready_at) {
      task.running = true;
      // The result of a completed task is retained, so another attempt at the task ends immediately.
      if (job.done.contains(key.first.index)) task.ends_at = now;
      invariants_.on_task_start(machine, key.first, job);
    }
    if (task.saving) {
      if (now < task.ends_at) continue;
      task.ended = task.saved = true;
      task.cause = protocol::EndCause::kStopped;
      continue;
    }
    if (task.running && task.fails && now >= task.ends_at) {
      task.ended = true;
      task.cause = protocol::EndCause::kError;
      continue;
    }
    if (task.running && job.spec->kind == JobKind::kArray && now >= task.ends_at) {
      task.ended = true;
      task.cause = protocol::EndCause::kDone;
      on_task_done(key.first.job, job, key.first.index);
    }
  }
}

void WorkerAgents::on_task_done(const JobId& id, Job& job, std::uint32_t index) {
  if (!job.done.insert(index).second || job.done.size() < job.spec->tasks) return;
  queue_.after(0, [this, id] { on_job_completed_(id); });
}

void WorkerAgents::apply_command(Machine& machine, const protocol::Command& command) {
  const TaskKey key{command.task, command.attempt};
  auto it = machine.tasks.find(key);
  if (command.op == protocol::Command::Op::kStart) {
    if (it != machine.tasks.end()) return;
    start(machine, key);
  } else if (command.op == protocol::Command::Op::kStop && it != machine.tasks.end() && !it->second.ended) {
    stop(machine, it->second, *ledger_.jobs.at(key.first.job).spec, command.grace_s);
  } else if (command.op == protocol::Command::Op::kForget && it != machine.tasks.end() && it->second.ended) {
    machine.tasks.erase(it);
  }
}

void WorkerAgents::start(Machine& machine, const TaskKey& key) {
  auto& task = machine.tasks[key];
  task.image_ready_at = queue_.now() + queue_.uniform(0.1, 1.5);
  const auto& job = ledger_.jobs.at(key.first.job);
  task.ends_at = task.image_ready_at + job.run_s.value_or(queue_.uniform(0.5, 6));
  task.fails = job.always_fails || queue_.now() < machine.faulty_until;
  if (task.fails) task.ends_at = task.image_ready_at + queue_.uniform(0.1, kMaxTimeToFailure);
  ++outcome_.started;
  outcome_.failing_starts += job.always_fails;
  for (double due : {task.image_ready_at, task.ends_at}) advance_at(machine, due);
}

// A running task saves its checkpoint if it gets enough time. A task that saves continues to do so unless it
// gets no time at all.
void WorkerAgents::stop(Machine& machine, Task& task, const protocol::JobSpec& spec, double grace_s) {
  if (task.saving && grace_s > 0) return;
  bool saves = !task.saving && task.running && spec.checkpoint_s > 0 && grace_s >= spec.save_s;
  if (!saves) {
    task.ended = true;
    task.cause = protocol::EndCause::kStopped;
    return;
  }
  task.saving = true;
  task.ends_at = queue_.now() + spec.save_s;
  ++outcome_.saves;
  advance_at(machine, task.ends_at);
}

// Tasks start and end at their exact times, not only when the next heartbeat is composed.
void WorkerAgents::advance_at(const Machine& machine, double due) {
  queue_.at(due + 0.001, [this, name = machine.name] {
    if (auto* current = ledger_.machine(name)) advance(*current);
  });
}

CommandReply WorkerAgents::execute(Machine& machine, const shard::ShardManager::Batch& batch) {
  advance(machine);
  bool accepted = batch.token.value() >= machine.token && batch.incarnation.value() == machine.incarnation;
  if (accepted) {
    machine.token = batch.token.value();
    for (const auto& command : batch.commands) apply_command(machine, command);
  }
  return {accepted, compose_heartbeat(machine)};
}

}  // namespace beaconsill::sim
