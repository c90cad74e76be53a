// The jobs that drawn users submit.
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

  // An array of small tasks, with a new id.
  protocol::JobSpec next(std::uint32_t tasks);
  // By their index: arrays and services of all teams, some of them bound to zones. Equal indices have equal
  // ids.
  protocol::JobSpec mixed(int index);
  // Jobs that depend on each other, each on earlier ones only. The first depends on a submitted job now and
  // then.
  using Pipeline = std::vector<protocol::JobSpec>;
  Pipeline pipeline(int index);
  // A random one of those that were submitted; none if there are none.
  std::optional<JobId> submitted_job();

 private:
  EventQueue& queue_;
  const Ledger& ledger_;
  int next_job_ = 1000;
};

}  // namespace beaconsill::sim
