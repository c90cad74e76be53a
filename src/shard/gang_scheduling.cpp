#include "shard/gang_scheduling.h"

#include <algorithm>

namespace beaconsill::shard {
namespace {

using protocol::TaskState;

struct PlacedMember {
  std::uint32_t index;
  Machine* machine;
};

bool is_ready_to_start(const ShardJob& job) {
  return !job.revoked &&
         std::all_of(job.granted_tasks.begin(), job.granted_tasks.end(), [](const auto& entry) {
           return entry.second.status == GrantedTask::Status::kWaiting && !entry.second.started;
         });
}

void undo_placement(ShardState& state, const JobId& id, ShardJob& job,
                    const std::vector<PlacedMember>& members) {
  for (const auto& [index, machine] : members) {
    auto& granted_task = job.granted_tasks.at(index);
    state.drop_task(*machine, machine->tasks.find({TaskId{id, index}, granted_task.attempt}));
    machine->invalidate_load();
    granted_task.status = GrantedTask::Status::kWaiting;
    granted_task.started = false;
  }
}

bool has_lost_task(const ShardJob& job) {
  return std::any_of(job.granted_tasks.begin(), job.granted_tasks.end(), [](const auto& entry) {
    return entry.second.status == GrantedTask::Status::kWaiting && entry.second.started;
  });
}

void stop_if_not_running(ShardState& state, const TaskId& id, const GrantedTask& granted_task) {
  if (granted_task.status != GrantedTask::Status::kPlaced) return;
  auto* machine = state.find_machine(granted_task.machine);
  if (!machine) return;
  auto task = machine->tasks.find({id, granted_task.attempt});
  if (task == machine->tasks.end()) return;
  // A running task may still complete, or exit by itself together with the others. A task that still waits or
  // fetches its image would remain for a long time, so it is stopped.
  if (task->second.state == TaskState::kWaiting || task->second.state == TaskState::kFetching)
    state.stop(*machine, task->first, task->second, 0, StopReason::kIncompleteGang);
}

}  // namespace

void place_gang(ShardState& state, const JobId& id, ShardJob& job,
                const std::vector<Machine*>& machines_with_capacity, Instant now) {
  if (!is_ready_to_start(job)) return;
  auto request = request_of(*job.record.spec, 1);
  const auto avoided = state.failure_attribution.failed_on(id, now);
  std::vector<PlacedMember> placed;
  for (auto& [index, granted_task] : job.granted_tasks) {
    auto candidates =
        choose_machines(machines_with_capacity, {request, granted_task.zone, avoided, ImagePolicy::kMayFetch},
                        state.params.rules, now);
    if (candidates.empty()) break;
    state.place(*candidates.front(), {id, index}, job, granted_task, now);
    placed.push_back({index, candidates.front()});
  }
  if (placed.size() < job.granted_tasks.size()) undo_placement(state, id, job, placed);
}

void stop_broken_gangs(ShardState& state) {
  for (const auto& id : state.jobs.gangs()) {
    const auto& job = state.jobs.at(id);
    if (!has_lost_task(job)) continue;
    for (const auto& [index, granted_task] : job.granted_tasks)
      stop_if_not_running(state, {id, index}, granted_task);
  }
}

}  // namespace beaconsill::shard
