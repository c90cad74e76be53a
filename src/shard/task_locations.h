// An index of which machines list which tasks, so that questions about a job or a task cost no pass over all
// machines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "shard/machine.h"

namespace beaconsill::shard {

// Every insertion into and removal from `Machine::tasks` goes through put and drop, which keep the index. It
// refers to machines by address: all tasks of a machine have to be dropped before the machine is destroyed.
class TaskLocations {
 public:
  using TaskIterator = std::map<TaskKey, MachineTask>::iterator;
  struct PutResult {
    MachineTask& task;
    bool inserted;
  };
  // Finds the task on the machine, or adds it there in its initial state.
  PutResult put(Machine& machine, const TaskKey& key);
  // Removes the task from the machine; returns the one after it.
  TaskIterator drop(Machine& machine, TaskIterator task);

  // Calls visit(machine, key, task) for everything that machines list of the job.
  template <class Visitor>
  void for_each_of_job(const JobId& id, Visitor visit) const;
  // Whether any machine lists an attempt of the task that has not ended.
  bool is_live_anywhere(const TaskId& id) const;
  // Tasks visited so far.
  std::uint64_t visited_count() const { return visited_count_; }

 private:
  // One entry for each attempt that the machine lists.
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
    // A machine that lists several attempts has as many entries.
    if (std::find(machines.begin(), it, machine) != it) continue;
    auto task = machine->tasks.lower_bound({id, Attempt()});
    for (; task != machine->tasks.end() && task->first.task == id; ++task, ++visited_count_)
      visit(*machine, task->first, task->second);
  }
}

}  // namespace beaconsill::shard
