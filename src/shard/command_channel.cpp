#include "shard/command_channel.h"

#include <algorithm>
#include <utility>

namespace beaconsill::shard {

void DispatchQueue::push(Machine& machine) {
  if (machine.dispatch_pending) return;
  machine.dispatch_pending = true;
  machines_.push_back(&machine);
}

std::vector<Machine*> DispatchQueue::take_all() {
  auto queued = std::exchange(machines_, {});
  std::sort(queued.begin(), queued.end(),
            [](const auto* left, const auto* right) { return left->name < right->name; });
  for (auto* machine : queued) machine->dispatch_pending = false;
  return queued;
}

void request_probe(Machine& machine, DispatchQueue& queue, Instant now) {
  if (machine.last_probe_at && now - *machine.last_probe_at < kProbeInterval) return;
  machine.probe_at = now;
  queue.push(machine);
}

void begin_fencing(Machine& machine, DispatchQueue& queue, Instant now) {
  if (machine.channel == Machine::Channel::kBusy) return;
  if (machine.channel != Machine::Channel::kFencing) {
    machine.channel = Machine::Channel::kFencing;
    machine.token = machine.token.raised();
    machine.probe_at = now;
    queue.push(machine);
  }
  if (!machine.suspected_since) machine.suspected_since = now;
}

void on_worker_restarted(Machine& machine, DispatchQueue& queue, Instant now) {
  const bool fenced = machine.restart_detected && machine.channel == Machine::Channel::kFencing;
  machine.restart_detected = true;
  if (fenced || machine.channel == Machine::Channel::kBusy) return;
  machine.channel = Machine::Channel::kIdle;  // fencing that began before the restart needs a new token
  begin_fencing(machine, queue, now);
}

void resolve_in_flight(Machine& machine, DispatchQueue& queue) {
  queue.push(machine);
  machine.channel = Machine::Channel::kIdle;
  machine.probe_at.reset();
  machine.suspected_since.reset();
  for (auto& [key, task] : machine.tasks) {
    if (task.start == MachineTask::Start::kSent) task.start = MachineTask::Start::kAcknowledged;
    task.sent_stop_grace.reset();
    task.forget_sent = false;
  }
}

}  // namespace beaconsill::shard
