// Manages the command channel to each machine: the queue of machines with commands to send, fencing and
// probes.
#pragma once

#include <vector>

#include "shard/machine.h"

namespace beaconsill::shard {

// Minimum interval between requested probes of one machine.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

// The queue of machines to which there may be commands or probes to send. It holds pointers to the machines.
class DispatchQueue {
 public:
  // Has no effect if the machine is already queued.
  void push(Machine& machine);
  // Empties the queue and returns its machines ordered by name, so that the same events always lead to the
  // same batches.
  std::vector<Machine*> take_all();
  // Must be called before the machine is destroyed.
  void remove(const Machine& machine) { std::erase(machines_, &machine); }

 private:
  std::vector<Machine*> machines_;
};

// Requests a probe (an empty batch) of the machine, unless one was sent within kProbeInterval.
void request_probe(Machine& machine, DispatchQueue& queue, Instant now);

// Raises the machine's fencing token, and starts no further task on the machine until its worker has reported
// that token. Heartbeats alone do not prove that a worker receives commands: without fencing, a worker that
// receives none would be considered reachable, and one start after another would be sent to it. Has no effect
// while a batch is in flight, because its result shows whether the worker receives commands.
void begin_fencing(Machine& machine, DispatchQueue& queue, Instant now);

// Records that the worker has restarted, and raises the machine's fencing token, which distinguishes the
// worker's heartbeats from late copies of those before the restart.
void on_worker_restarted(Machine& machine, DispatchQueue& queue, Instant now);

// Ends fencing. To be called once the worker has reported the fencing token: it then executes no earlier
// batch any more, so each unanswered command has either been executed or never will be.
void resolve_in_flight(Machine& machine, DispatchQueue& queue);

}  // namespace beaconsill::shard
