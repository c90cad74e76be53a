// Generates the jobs that the random users of a simulated schedule submit.
#pragma once

#include <optional>
#include <vector>

#include "sim/clock.h"
#include "sim/ledger.h"
#include "sim/topology.h"

namespace beaconsill::sim {

class JobGenerator {
 public:
  JobGenerator(EventQueue& queue, const Ledger& ledger) : queue_(queue), ledger_(ledger) {}

  // Returns an array job of tasks with 1 CPU each, with a new id.
  protocol::JobSpec next_array(std::uint32_t tasks);
  // Returns an array or a service of one of the teams, in some cases with zone constraints, depending on
  // `index`. The id depends only on `index`.
  protocol::JobSpec mixed_job(int index);
  // Gives the tasks of an array a checkpoint, which takes a short time, a lease or longer than the
  // cancellation limit to save.
  void add_checkpoint(protocol::JobSpec& spec);
  // Jobs that depend on each other, each only on earlier ones. The first one sometimes depends on a job that
  // was submitted before.
  using Pipeline = std::vector<protocol::JobSpec>;
  Pipeline draw_pipeline(int index);
  // Returns a random job of those in the ledger, or std::nullopt if the ledger has no jobs.
  std::optional<JobId> random_submitted_job();

 private:
  EventQueue& queue_;
  const Ledger& ledger_;
  int next_job_ = 1000;
};

}  // namespace beaconsill::sim
