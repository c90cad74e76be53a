#include "shard/shard_state.h"

#include "base/log.h"

namespace beaconsill::shard {

ShardState::ShardState(ShardId shard, Term shard_term, const ShardParams& shard_params, Instant now)
    : id(shard),
      term(shard_term),
      params(shard_params),
      acquired_at(now),
      jobs(shard, shard_term),
      failure_detector(shard_params),
      next_attempt((shard_term.value() << FencingToken::kFenceBits) + 1) {}

Machine* ShardState::find_machine(const MachineName& name) {
  auto it = machines.find(name);
  return it == machines.end() ? nullptr : &it->second;
}

ShardState::FoundMachine ShardState::find_or_add_machine(const MachineName& name, Instant now) {
  auto [it, added] = machines.try_emplace(name);
  auto& machine = it->second;
  if (added) {
    machine.name = name;
    machine.first_seen = machine.last_unsolicited_heartbeat = machine.idle_since = now;
    machine.token = FencingToken::first_of(term);
    failure_detector.set_timeouts(machine);
  }
  return {machine, added};
}

void ShardState::apply_catalogue(Machine& machine) const {
  if (!catalogue) return;
  auto it = catalogue->find(machine.type);
  if (it == catalogue->end()) return;
  machine.total = it->second.total;
  machine.images.set_capacity(it->second.cache_gb);
  machine.type_known = true;
}

void ShardState::stop(Machine& machine, const TaskKey& key, MachineTask& task, double grace,
                      StopReason reason) {
  dispatch_queue.push(machine);
  if (task.stop_grace && *task.stop_grace <= grace) return;
  task.stop_grace = grace;
  spdlog::debug("task_stop_requested shard={} machine={} task={} seconds={:.1f} reason={}", id.value(),
                machine.name.value(), protocol::task_name(key.task), grace, to_string(reason));
}

void ShardState::stop_job(const JobId& job, double grace, StopReason reason) {
  locations.for_each_of_job(job, [&](Machine& machine, const TaskKey& key, MachineTask& task) {
    if (is_live(task)) stop(machine, key, task, grace, reason);
  });
}

void ShardState::requeue(const TaskKey& key, Instant now) {
  auto* granted_task = jobs.find_task(key.task);
  if (!granted_task || granted_task->status != GrantedTask::Status::kPlaced ||
      granted_task->attempt != key.attempt)
    return;
  // All starts of a gang's task under one grant have the same attempt number, so the attempt may be live on
  // the machine where it is placed although it has left another one.
  if (auto* machine = find_machine(granted_task->machine)) {
    auto task = machine->tasks.find(key);
    if (task != machine->tasks.end() && is_live(task->second)) return;
  }
  granted_task->reset_to_waiting(reconciled, now);
  jobs.mark_waiting(key.task.job);
}

TaskLocations::TaskIterator ShardState::drop_task(Machine& machine, TaskLocations::TaskIterator task) {
  machine.token = std::max(machine.token, task->second.start_token.raised());
  return locations.drop(machine, task);
}

void ShardState::drop_all_tasks(Machine& machine, Instant now) {
  drop_tasks_if(
      machine, [](const TaskKey&, const MachineTask&) { return true; }, now);
  machine.channel = Machine::Channel::kIdle;
  machine.probe_at.reset();
  machine.idle_since = now;
}

void ShardState::place(Machine& machine, const TaskId& task_id, const ShardJob& job,
                       GrantedTask& granted_task, Instant now) {
  granted_task.status = GrantedTask::Status::kPlaced;
  granted_task.started = true;
  granted_task.machine = machine.name;
  if (job.record.spec->kind != JobKind::kGang) granted_task.attempt = Attempt(next_attempt++);
  auto& task = locations.put(machine, {task_id, granted_task.attempt}).task;
  task = {};
  task.start = MachineTask::Start::kQueued;
  task.spec = job.record.spec;
  task.since = now;
  machine.invalidate_load();
  machine.idle_since = now;
  dispatch_queue.push(machine);
}

void ShardState::mark_possible_orphans(const JobId& job) {
  locations.for_each_of_job(
      job, [](Machine& machine, const TaskKey&, MachineTask&) { machine.may_have_orphans = true; });
}

void ShardState::erase_job(const JobId& job) {
  jobs.erase(job);
  mark_possible_orphans(job);
}

void ShardState::check_reconciled(Instant now) {
  if (reconciled || !registry.is_loaded()) return;
  for (const auto& [name, machine] : machines)
    if (machine.registered && !machine.confirmed) return;
  reconciled = true;
  auto unlocated = jobs.finish_reconciliation(now);
  spdlog::info("shard_reconciled shard={} term={} seconds={:.1f} machines={} unlocated_tasks={}", id.value(),
               term.value(), to_seconds(now - acquired_at), machines.size(), unlocated);
}

}  // namespace beaconsill::shard
