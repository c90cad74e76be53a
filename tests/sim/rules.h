// The rules of the protocol, checked on the books.
#pragma once

#include <string>

#include "sim/books.h"
#include "sim/clock.h"
#include "sim/options.h"
#include "sim/state_service.h"

namespace beaconsill::sim {

class Rules {
 public:
  // `advance`: lets everything happen that is due on the machines.
  Rules(const EventQueue& queue, const Books& books, Outcome& outcome, std::function<void()> advance)
      : queue_(queue), books_(books), outcome_(outcome), advance_(std::move(advance)) {}

  void broke(const std::string& rule, const std::string& what);
  // A task begins to run on a machine.
  void on_begin(const Machine& m, const TaskId& task, const Job& job);
  // The state service holds a new value.
  void on_written(const wire::Write& w);
  // Looks at everything. To be called about once a second.
  void look();
  // What users want of the job is so.
  bool satisfied(const JobId& id, const Job& job, const StateService& state) const;

 private:
  const EventQueue& queue_;
  const Books& books_;
  Outcome& outcome_;
  std::function<void()> advance_;
};

}  // namespace beaconsill::sim
