#include "shard/task_locations.h"

namespace beaconsill::shard {

TaskLocations::PutResult TaskLocations::put(Machine& machine, const TaskKey& key) {
  auto [it, inserted] = machine.tasks.try_emplace(key);
  if (inserted) {
    machines_by_task_[key.task].push_back(&machine);
    machine.may_have_orphans = true;
  }
  return {it->second, inserted};
}

TaskLocations::TaskIterator TaskLocations::drop(Machine& machine, TaskIterator task) {
  auto entry = machines_by_task_.find(task->first.task);
  auto& machines = entry->second;
  machines.erase(std::find(machines.begin(), machines.end(), &machine));
  if (machines.empty()) machines_by_task_.erase(entry);
  return machine.tasks.erase(task);
}

bool TaskLocations::is_live_anywhere(const TaskId& id) const {
  auto entry = machines_by_task_.find(id);
  if (entry == machines_by_task_.end()) return false;
  bool found = false;
  for_each_of_task(*entry, [&](const Machine&, const TaskKey&, const MachineTask& task) {
    found = found || is_live(task);
  });
  return found;
}

}  // namespace beaconsill::shard
