// Records the true state of the simulated world, independently of the controllers' view: the machines with
// their tasks, and the jobs as their users know them. The invariants are checked against this ledger. Times
// are in simulated seconds.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "protocol/api.h"
#include "protocol/worker.h"

namespace beaconsill::sim {

struct Task {
  double image_ready_at = 0;  // when its image is on the machine and it starts
  double ends_at = 0;         // when it completes, fails or has saved; services never complete
  bool running = false;
  bool saving = false;  // was stopped and saves a checkpoint until `ends_at`
  bool saved = false;
  bool fails = false;  // at `ends_at`
  bool ended = false;
  protocol::EndCause cause = protocol::EndCause::kDone;
  // Returns whether the task has started and not ended. This includes tasks on a machine that hangs.
  bool on_machine() const { return running && !ended; }
};

struct Machine {
  MachineName name;
  Zone zone;
  bool terminated = false;
  double hangs_until = 0;         // the machine does nothing until then
  double inbound_cut_until = 0;   // sends heartbeats, but receives neither replies nor commands
  double outbound_cut_until = 0;  // receives commands, but reaches no controller
  double faulty_until = 0;        // every task that it starts fails
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  double lease_renewed_at = 0;
  int controller = 0;      // the controller to which it sends its heartbeats
  bool in_flight = false;  // a heartbeat awaits its response
  std::map<std::pair<TaskId, Attempt>, Task> tasks;
};

struct Job {
  std::shared_ptr<const protocol::JobSpec> spec;
  std::optional<double> run_s;  // run time of each task; std::nullopt: drawn at random
  bool always_fails = false;    // its tasks fail on every machine
  double submitted = 0;
  bool accepted = false;
  bool cancel_requested = false;
  std::optional<double> cancelled;  // when its user received the confirmation
  std::set<std::uint32_t> done;     // indices of the tasks that completed on a machine
};

struct Ledger {
  std::map<MachineName, Machine> machines;
  std::map<JobId, Job> jobs;

  // Returns the machine, or nullptr if it does not exist or has been terminated.
  Machine* machine(const MachineName& name) {
    auto it = machines.find(name);
    return it == machines.end() || it->second.terminated ? nullptr : &it->second;
  }
  // Calls `visit(job)` for each job that this one depends on, directly or transitively.
  template <class F>
  void for_each_dependency(const JobId& id, F visit) const {
    auto job = jobs.find(id);
    if (job == jobs.end()) return;
    for (const auto& dependency : job->second.spec->depends_on) {
      if (auto dependency_job = jobs.find(dependency); dependency_job != jobs.end())
        visit(dependency_job->second);
      for_each_dependency(dependency, visit);
    }
  }
  // Calls `visit(machine, key, task)` for each task of the job on machines that have not been terminated.
  template <class F>
  void for_each_task(const JobId& id, F visit) const {
    for (const auto& [name, machine] : machines) {
      if (machine.terminated) continue;
      for (auto entry = machine.tasks.lower_bound({TaskId{id, 0}, Attempt()});
           entry != machine.tasks.end() && entry->first.first.job == id; ++entry)
        visit(machine, entry->first, entry->second);
    }
  }
};

}  // namespace beaconsill::sim
