// Index from tasks to the machines that list them, so that queries about a job or a task need no scan of all
// machines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "shard/machine.h"

namespace beaconsill::shard {

// Every insertion into and removal from `Machine::tasks` must go through put and drop, which update the
// index. The index holds pointers to machines: all tasks of a machine must be dropped before the machine is
// destroyed.
class TaskLocations {
 public:
  using TaskIterator = std::map<TaskKey, MachineTask>::iterator;
  struct PutResult {
    MachineTask& task;
    bool inserted;
  };
  // Returns the task on the machine. Adds it in its initial state if it does not exist.
  PutResult put(Machine& machine, const TaskKey& key);
  // Removes the task from the machine. Returns an iterator to the following task.
  TaskIterator drop(Machine& machine, TaskIterator task);

  // Calls visit(machine, key, task) for each attempt of the job's tasks on each machine that lists it.
  template <class Visitor>
  void for_each_of_job(const JobId& id, Visitor visit) const;
  // Returns whether any machine lists an attempt of the task that has not ended.
  bool is_live_anywhere(const TaskId& id) const;
  // Returns the number of tasks visited so far.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  // A machine has one entry for each attempt of the task that it lists.
  using MachinesByTask = std::map<TaskId, std::vector<Machine*>>;
  template <class Visitor>
  void for_each_of_task(const MachinesByTask::value_type& entry, Visitor visit) const;

  MachinesByTask machines_by_task_;
  mutable std::uint64_t visited_count_ = 0;
};

template <class Visitor>
void TaskLocations::for_each_of_job(const JobId& id, Visitor visit) const {
  auto entry = machines_by_task_.lower_bound(TaskId{id, 0});
  for (; entry != machines_by_task_.end() && entry->first.job == id; ++entry) for_each_of_task(*entry, visit);
}

template <class Visitor>
void TaskLocations::for_each_of_task(const MachinesByTask::value_type& entry, Visitor visit) const {
  const auto& [id, machines] = entry;
  for (auto it = machines.begin(); it != machines.end(); ++it) {
    auto* machine = *it;
    // A machine that lists several attempts has several entries, but is visited only once.
    if (std::find(machines.begin(), it, machine) != it) continue;
    auto task = machine->tasks.lower_bound({id, Attempt()});
    for (; task != machine->tasks.end() && task->first.task == id; ++task, ++visited_count_)
      visit(*machine, task->first, task->second);
  }
}

}  // namespace beaconsill::shard
