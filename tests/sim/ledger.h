// The true state of the simulated world, whatever the controllers believe: the machines with the tasks on
// them, and the jobs as their users know them. Invariants are checked against this ledger.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "protocol/api.h"
#include "protocol/worker.h"

namespace beaconsill::sim {

struct Task {
  double ready = 0;  // has its image
  double ends = 0;   // completes; services: never
  bool running = false;
  bool fails = false;  // at `ends`
  bool ended = false;
  protocol::EndCause cause = protocol::EndCause::kDone;
  // From the image to the end it's on its machine, also if that hangs.
  bool on_machine() const { return running && !ended; }
};

struct Machine {
  MachineName name;
  Zone zone;
  bool terminated = false;
  double hangs_until = 0;         // does nothing
  double inbound_cut_until = 0;   // sends heartbeats, but receives neither replies nor commands
  double outbound_cut_until = 0;  // commands arrive, but it reaches no controller
  double faulty_until = 0;        // fails every task that it starts
  std::uint64_t incarnation = 1;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  double lease_from = 0;
  int controller = 0;  // where it sends its heartbeats
  bool in_flight = false;
  std::map<std::pair<TaskId, Attempt>, Task> tasks;
};

struct Job {
  std::shared_ptr<const protocol::JobSpec> spec;
  std::optional<double> run_s;  // of each task; none: drawn
  bool always_fails = false;    // fails on every machine
  double submitted = 0;
  bool accepted = false;
  bool cancel_requested = false;
  std::optional<double> cancelled;  // when its user received the confirmation
  std::set<std::uint32_t> done;     // tasks that completed, as the workers know
};

struct Ledger {
  std::map<MachineName, Machine> machines;
  std::map<JobId, Job> jobs;

  // None if there is no such machine any more.
  Machine* machine(const MachineName& name) {
    auto it = machines.find(name);
    return it == machines.end() || it->second.terminated ? nullptr : &it->second;
  }
  // Calls `f(job)` for all jobs that this one needs, directly or through others.
  template <class F>
  void each_needed(const JobId& id, F visit) const {
    auto job = jobs.find(id);
    if (job == jobs.end()) return;
    for (const auto& dependency : job->second.spec->depends_on) {
      if (auto needed = jobs.find(dependency); needed != jobs.end()) visit(needed->second);
      each_needed(dependency, visit);
    }
  }
  // Calls `f(machine, key, task)` for all tasks of the job on machines that are there.
  template <class F>
  void each_task(const JobId& id, F visit) const {
    for (const auto& [name, machine] : machines) {
      if (machine.terminated) continue;
      for (auto entry = machine.tasks.lower_bound({TaskId{id, 0}, Attempt()});
           entry != machine.tasks.end() && entry->first.first.job == id; ++entry)
        visit(machine, entry->first, entry->second);
    }
  }
};

}  // namespace beaconsill::sim
