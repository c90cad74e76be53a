// The command channel to one machine: which machines have something to send, fencing and probes.
#pragma once

#include <vector>

#include "shard/machine.h"

namespace beaconsill::shard {

// Probes of one machine are at least so far apart.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

// Machines to which there may be something to send. Refers to them by address.
class DispatchQueue {
 public:
  // Without effect if the machine is queued already.
  void push(Machine& machine);
  // Empties the queue, in the order of names, so that the same events give the same batches.
  std::vector<Machine*> take_all();
  // To be called before the machine is destroyed.
  void remove(const Machine& machine) { std::erase(machines_, &machine); }

 private:
  std::vector<Machine*> machines_;
};

// Requests an empty batch to the machine, unless one was sent within kProbeInterval.
void request_probe(Machine& machine, DispatchQueue& queue, Instant now);

// Starts nothing more on the machine until its worker shows a token raised for that purpose. By its
// heartbeats alone a worker that receives nothing would pass for reachable, and be sent start after start.
// Without effect while a batch is in flight, whose result decides.
void begin_fencing(Machine& machine, DispatchQueue& queue, Instant now);

// The worker has shown the fencing token, so it obeys no earlier batch any more: what had no answer has been
// executed or never will be.
void resolve_in_flight(Machine& machine, DispatchQueue& queue);

}  // namespace beaconsill::shard
