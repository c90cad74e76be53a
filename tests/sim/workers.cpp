#include "sim/workers.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kHeartbeatTimeout = 4;
constexpr double kNextControllerDelay = 1;  // how long a worker waits before it tries another one
constexpr double kCommandTimeout = 2;
}  // namespace

Workers::Workers(EventQueue& queue, Network& network, DecisionDigest& decisions, Ledger& ledger,
                 InvariantChecker& invariants, Outcome& outcome, const Options& options, Hooks hooks)
    : queue_(queue),
      network_(network),
      decisions_(decisions),
      ledger_(ledger),
      options_(options),
      on_heartbeat_(std::move(hooks.heartbeat)),
      agents_(queue, ledger, invariants, outcome, std::move(hooks.job_completed)) {}

void Workers::on_machine_added(const MachineName& name) {
  queue_.after(queue_.uniform(0, 1), [this, name] { send_next_heartbeat(name); });
}

void Workers::send_next_heartbeat(const MachineName& name) {
  auto* machine = ledger_.machine(name);
  if (!machine) return;
  queue_.after(options_.heartbeat_period_s * queue_.uniform(0.75, 1.25),
               [this, name] { send_next_heartbeat(name); });
  if (queue_.now() < machine->hangs_until || machine->in_flight) return;
  auto heartbeat = agents_.compose_heartbeat(*machine);
  machine->in_flight = true;
  int to = machine->controller;
  int next = (to + 1) % kControllers;
  if (queue_.now() < machine->outbound_cut_until || !network_.is_up(to))
    return finish_heartbeat(name, kNextControllerDelay, next);
  if (network_.blocked_path_to_worker(to, machine->zone))
    return finish_heartbeat(name, kHeartbeatTimeout + kNextControllerDelay, next);
  if (queue_.random_fault(0.04) || duplicate_window_.draw_fault(queue_)) deliver_copy_later(heartbeat);
  if (hold_window_.draw_fault(queue_)) held_heartbeats_.push_back(heartbeat);
  send_heartbeat_to(name, to, heartbeat);
}

void Workers::send_heartbeat_to(const MachineName& name, int to, const protocol::WorkerHeartbeat& heartbeat) {
  double sent = queue_.now();
  auto incarnation = heartbeat.incarnation.value();
  auto answered = std::make_shared<bool>(false);
  auto reply = [this, name, to, sent, incarnation, answered](const HeartbeatReply& answer) {
    decisions_.on_heartbeat_reply(to, name, answer);
    queue_.after(queue_.uniform(0.0005, 0.003), [this, name, to, sent, incarnation, answered, answer] {
      if (std::exchange(*answered, true)) return;
      on_reply(name, to, sent, incarnation, answer);
    });
  };
  queue_.after(kHeartbeatTimeout, [this, name, to, answered] {
    if (!std::exchange(*answered, true))
      finish_heartbeat(name, kNextControllerDelay, (to + 1) % kControllers);
  });
  queue_.after(queue_.uniform(0.0005, 0.007), [this, to, heartbeat, reply] {
    network_.run(to, CallbackKind::kHeartbeat,
                 [this, to, heartbeat, reply] { on_heartbeat_(to, heartbeat, reply); });
  });
}

// Delivers a late copy of the heartbeat to a random controller, also to one to which the worker never sent a
// heartbeat.
void Workers::deliver_copy_later(const protocol::WorkerHeartbeat& heartbeat) {
  int receiver = queue_.draw_below(kControllers);
  queue_.after(queue_.uniform(0.5, 25), [this, heartbeat, receiver] { deliver_copy(receiver, heartbeat); });
}

void Workers::deliver_copy(int controller, protocol::WorkerHeartbeat heartbeat) {
  if (auto* machine = ledger_.machine(heartbeat.machine);
      machine && options_.seeded_bug == SeededBug::kStaleHeartbeatsAccepted) {
    heartbeat.incarnation = Incarnation(machine->incarnation);
    heartbeat.sequence = Sequence(++machine->sequence);
    heartbeat.token = FencingToken(machine->token);
  }
  auto reply = [this, controller, name = heartbeat.machine](const HeartbeatReply& answer) {
    decisions_.on_heartbeat_reply(controller, name, answer);
  };
  network_.run(controller, CallbackKind::kHeartbeat,
               [this, controller, heartbeat, reply] { on_heartbeat_(controller, heartbeat, reply); });
}

void Workers::on_new_leader() {
  for (const auto& heartbeat : std::exchange(held_heartbeats_, {}))
    for (int controller = 0; controller < kControllers; ++controller)
      queue_.after(queue_.uniform(0, 1),
                   [this, controller, heartbeat] { deliver_copy(controller, heartbeat); });
}

// Allows the worker to send its next heartbeat after `wait` seconds, to `next_controller`, or to the same
// controller as before if that is negative.
void Workers::finish_heartbeat(const MachineName& name, double wait, int next_controller) {
  queue_.after(wait, [this, name, next_controller] {
    auto* machine = ledger_.machine(name);
    if (!machine) return;
    machine->in_flight = false;
    if (next_controller >= 0) machine->controller = next_controller;
  });
}

void Workers::on_reply(const MachineName& name, int controller, double sent, std::uint64_t incarnation,
                       const HeartbeatReply& reply) {
  auto* machine = ledger_.machine(name);
  if (!machine) return;
  double now = queue_.now();
  int next = (controller + 1) % kControllers;
  bool lost = now < machine->inbound_cut_until ||
              network_.blocked_path_to_worker(controller, machine->zone) || queue_.random_fault(0.002);
  if (lost) return finish_heartbeat(name, sent + kHeartbeatTimeout + kNextControllerDelay - now, next);
  if (!reply.answer) {
    bool redirected = reply.redirect >= 0 && reply.redirect != controller;
    return finish_heartbeat(name, redirected ? 0.3 : kNextControllerDelay,
                            redirected ? reply.redirect : next);
  }
  finish_heartbeat(name, 0.001, -1);
  if (now < machine->hangs_until || machine->incarnation != incarnation ||
      reply.answer->token.value() < machine->token)
    return;
  agents_.advance(*machine);
  if (machine->incarnation != incarnation) return;
  machine->token = reply.answer->token.value();
  machine->lease_renewed_at = std::max(machine->lease_renewed_at, sent);
  for (const auto& command : reply.answer->commands) agents_.apply_command(*machine, command);
}

void Workers::send_commands(int controller, const shard::ShardManager::Batch& batch,
                            const OnCommandReply& done) {
  decisions_.on_commands(controller, batch);
  auto no_reply = [this, done] { queue_.after(kCommandTimeout, [done] { done(std::nullopt); }); };
  auto* machine = ledger_.machine(batch.machine);
  if (!machine || queue_.now() < machine->inbound_cut_until || queue_.random_fault(0.01)) {
    // The network may only have delayed the command: with noise enabled, half of these commands still arrive,
    // up to 60 s late.
    if (queue_.random_fault(0.5)) execute_batch_after(queue_.uniform(0.5, 60), batch);
    return no_reply();
  }
  if (auto cut = network_.blocked_path_to_worker(controller, machine->zone)) {
    if (cut->deliver_later) execute_batch_after(cut->until - queue_.now() + queue_.uniform(0, 0.5), batch);
    return no_reply();
  }
  if (queue_.now() < machine->hangs_until) {
    execute_batch_after(machine->hangs_until - queue_.now(), batch);
    return no_reply();
  }
  if (command_delay_window_.draw_fault(queue_)) {
    execute_batch_after(queue_.uniform(2, 16), batch);
    return no_reply();
  }
  queue_.after(queue_.uniform(0.001, 0.01), [this, batch, done, no_reply] {
    auto reply = execute_batch(batch);
    if (!reply || queue_.random_fault(0.01)) return no_reply();
    queue_.after(0.005, [done, reply] { done(reply); });
  });
}

void Workers::execute_batch_after(double delay, const shard::ShardManager::Batch& batch) {
  queue_.after(delay, [this, batch] { execute_batch(batch); });
}

std::optional<CommandReply> Workers::execute_batch(const shard::ShardManager::Batch& batch) {
  auto* machine = ledger_.machine(batch.machine);
  if (!machine || queue_.now() < machine->inbound_cut_until) return std::nullopt;
  if (queue_.now() < machine->hangs_until) {
    execute_batch_after(machine->hangs_until - queue_.now(), batch);
    return std::nullopt;
  }
  return agents_.execute(*machine, batch);
}

}  // namespace beaconsill::sim
