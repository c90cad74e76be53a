// What is true in the simulated world, whatever the controllers believe: the machines with the tasks on them,
// and the jobs as their users know them. The rules are checked on these books.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "wire/api.h"
#include "wire/worker.h"

namespace beaconsill::sim {

struct Task {
  double ready = 0;  // has its image
  double ends = 0;   // completes; services: never
  bool running = false;
  bool ended = false;
  wire::EndCause cause = wire::EndCause::kDone;
};

struct Machine {
  MachineName name;
  Zone zone;
  bool gone = false;
  double hangs_until = 0;  // does nothing
  double deaf_until = 0;   // reports, but neither answers nor commands arrive
  std::uint64_t session = 1;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  double lease_from = 0;
  int node = 0;  // where it reports
  bool in_flight = false;
  std::map<std::pair<TaskId, Attempt>, Task> tasks;
};

struct Job {
  std::shared_ptr<const wire::JobSpec> spec;
  std::optional<double> run_s;  // of each task; none: drawn
  double submitted = 0;
  bool accepted = false;
  std::optional<double> cancelled;  // when its user was told
  std::set<std::uint32_t> done;     // tasks that completed, as the workers know
};

struct Books {
  std::map<MachineName, Machine> machines;
  std::map<JobId, Job> jobs;

  // None if there is no such machine any more.
  Machine* machine(const MachineName& name) {
    auto it = machines.find(name);
    return it == machines.end() || it->second.gone ? nullptr : &it->second;
  }
};

}  // namespace beaconsill::sim
