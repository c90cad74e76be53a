#include "sim/workers.h"

namespace beaconsill::sim {
namespace {
constexpr double kHeartbeatTimeout = 4;
constexpr double kNextControllerDelay = 1;  // a worker waits so long before it tries the next one
constexpr double kCommandTimeout = 2;
constexpr double kFailsWithin = 3;
}  // namespace

Workers::Workers(EventQueue& queue, Network& network, DecisionDigest& decisions, Ledger& ledger,
                 InvariantChecker& invariants, Outcome& outcome, const Options& options, Hooks hooks)
    : queue_(queue),
      network_(network),
      decisions_(decisions),
      ledger_(ledger),
      invariants_(invariants),
      outcome_(outcome),
      options_(options),
      hooks_(std::move(hooks)) {}

void Workers::on_added(const MachineName& m) {
  queue_.after(queue_.uniform(0, 1), [this, m] { heartbeat(m); });
}

void Workers::advance_all() {
  for (auto& [name, m] : ledger_.machines)
    if (!m.terminated) advance(m);
}

protocol::WorkerHeartbeat Workers::compose(Machine& m) {
  advance(m);
  protocol::WorkerHeartbeat r;
  r.machine = m.name;
  r.address = "10.0.0.1:1";
  r.type = MachineType("t8");
  r.zone = m.zone;
  r.incarnation = Incarnation(m.incarnation);
  r.sequence = Sequence(++m.sequence);
  r.token = FencingToken(m.token);
  for (const auto& [key, t] : m.tasks)
    r.tasks.push_back({key.first, key.second,
                       t.ended     ? protocol::TaskState::kEnded
                       : t.running ? protocol::TaskState::kRunning
                                   : protocol::TaskState::kFetching,
                       t.cause, false});
  return r;
}

// What happened on the machine up to now.
void Workers::advance(Machine& m) {
  double now = queue_.now();
  if (now - m.lease_from > kLease) {
    m.tasks.clear();
    ++m.incarnation;
    m.lease_from = now;
  }
  if (now < m.hangs_until) return;
  for (auto& [key, t] : m.tasks) {
    if (t.ended) continue;
    auto& job = ledger_.jobs.at(key.first.job);
    if (!t.running && now >= t.ready) {
      t.running = true;
      // The result of a task that completed is kept: it ends at once.
      if (job.done.contains(key.first.index)) t.ends = now;
      invariants_.on_begin(m, key.first, job);
    }
    if (t.running && t.fails && now >= t.ends) {
      t.ended = true;
      t.cause = protocol::EndCause::kError;
      continue;
    }
    if (t.running && job.spec->kind == JobKind::kArray && now >= t.ends) {
      t.ended = true;
      t.cause = protocol::EndCause::kDone;
      on_done(key.first.job, job, key.first.index);
    }
  }
}

void Workers::on_done(const JobId& id, Job& job, std::uint32_t index) {
  if (!job.done.insert(index).second || job.done.size() < job.spec->tasks) return;
  queue_.after(0, [this, id] { hooks_.all_done(id); });
}

void Workers::heartbeat(const MachineName& name) {
  auto* m = ledger_.machine(name);
  if (!m) return;
  queue_.after(options_.report_s * queue_.uniform(0.75, 1.25), [this, name] { heartbeat(name); });
  if (queue_.now() < m->hangs_until || m->in_flight) return;
  auto r = compose(*m);
  m->in_flight = true;
  int to = m->controller;
  int next = (to + 1) % kControllers;
  if (queue_.now() < m->outbound_cut_until || !network_.up(to))
    return heartbeat_finished(name, kNextControllerDelay, next);
  if (network_.blocked_path_to_worker(to, m->zone))
    return heartbeat_finished(name, kHeartbeatTimeout + kNextControllerDelay, next);
  if (queue_.random_fault(0.04) || duplicates_.hits(queue_)) copy_later(r);
  if (held_for_next_leader_.hits(queue_)) held_heartbeats_.push_back(r);
  send_heartbeat_to(name, to, r);
}

void Workers::send_heartbeat_to(const MachineName& name, int to, const protocol::WorkerHeartbeat& r) {
  double sent = queue_.now();
  auto incarnation = r.incarnation.value();
  auto answered = std::make_shared<bool>(false);
  auto reply = [this, name, to, sent, incarnation, answered](const HeartbeatReply& x) {
    decisions_.on_heartbeat_reply(to, name, x);
    queue_.after(queue_.uniform(0.0005, 0.003), [this, name, to, sent, incarnation, answered, x] {
      if (std::exchange(*answered, true)) return;
      on_reply(name, to, sent, incarnation, x);
    });
  };
  queue_.after(kHeartbeatTimeout, [this, name, to, answered] {
    if (!std::exchange(*answered, true))
      heartbeat_finished(name, kNextControllerDelay, (to + 1) % kControllers);
  });
  queue_.after(queue_.uniform(0.0005, 0.007), [this, to, r, reply] {
    network_.run(to, CallbackKind::kHeartbeat, [this, to, r, reply] { hooks_.heartbeat(to, r, reply); });
  });
}

// Copies come late, also to controllers that the worker never reported to.
void Workers::copy_later(const protocol::WorkerHeartbeat& r) {
  int where = queue_.draw_below(kControllers);
  queue_.after(queue_.uniform(0.5, 25), [this, r, where] { deliver_copy(where, r); });
}

void Workers::deliver_copy(int controller, protocol::WorkerHeartbeat r) {
  if (auto* m = ledger_.machine(r.machine); m && options_.seeded_bug == SeededBug::kStaleHeartbeatsAccepted) {
    r.incarnation = Incarnation(m->incarnation);
    r.sequence = Sequence(++m->sequence);
    r.token = FencingToken(m->token);
  }
  auto reply = [this, controller, name = r.machine](const HeartbeatReply& x) {
    decisions_.on_heartbeat_reply(controller, name, x);
  };
  network_.run(controller, CallbackKind::kHeartbeat,
               [this, controller, r, reply] { hooks_.heartbeat(controller, r, reply); });
}

void Workers::on_new_leader() {
  for (const auto& r : std::exchange(held_heartbeats_, {}))
    for (int n = 0; n < kControllers; ++n)
      queue_.after(queue_.uniform(0, 1), [this, n, r] { deliver_copy(n, r); });
}

void Workers::heartbeat_finished(const MachineName& name, double wait, int next_controller) {
  queue_.after(wait, [this, name, next_controller] {
    auto* m = ledger_.machine(name);
    if (!m) return;
    m->in_flight = false;
    if (next_controller >= 0) m->controller = next_controller;
  });
}

void Workers::on_reply(const MachineName& name, int controller, double sent, std::uint64_t incarnation,
                       const HeartbeatReply& reply) {
  auto* m = ledger_.machine(name);
  if (!m) return;
  double now = queue_.now();
  int next = (controller + 1) % kControllers;
  bool lost = now < m->inbound_cut_until || network_.blocked_path_to_worker(controller, m->zone) ||
              queue_.random_fault(0.002);
  if (lost) return heartbeat_finished(name, sent + kHeartbeatTimeout + kNextControllerDelay - now, next);
  if (!reply.answer) {
    bool redirected = reply.redirect >= 0 && reply.redirect != controller;
    return heartbeat_finished(name, redirected ? 0.3 : kNextControllerDelay,
                              redirected ? reply.redirect : next);
  }
  heartbeat_finished(name, 0.001, -1);
  if (now < m->hangs_until || m->incarnation != incarnation || reply.answer->token.value() < m->token) return;
  advance(*m);
  if (m->incarnation != incarnation) return;
  m->token = reply.answer->token.value();
  m->lease_from = std::max(m->lease_from, sent);
  for (const auto& c : reply.answer->commands) apply_command(*m, c);
}

void Workers::command(int controller, const shard::ShardManager::Batch& b,
                      std::function<void(std::optional<CommandReply>)> done) {
  decisions_.on_command_result(controller, b);
  auto none = [this, done] { queue_.after(kCommandTimeout, [done] { done(std::nullopt); }); };
  auto* m = ledger_.machine(b.machine);
  if (!m || queue_.now() < m->inbound_cut_until || queue_.random_fault(0.01)) {
    // Held up on the way, it may still arrive, minutes late.
    if (queue_.random_fault(0.5)) carry_out_later(queue_.uniform(0.5, 60), b);
    return none();
  }
  if (auto cut = network_.blocked_path_to_worker(controller, m->zone)) {
    if (cut->deliver_later) carry_out_later(cut->until - queue_.now() + queue_.uniform(0, 0.5), b);
    return none();
  }
  if (queue_.now() < m->hangs_until) {
    carry_out_later(m->hangs_until - queue_.now(), b);
    return none();
  }
  if (late_commands_.hits(queue_)) {
    carry_out_later(queue_.uniform(2, 16), b);
    return none();
  }
  queue_.after(queue_.uniform(0.001, 0.01), [this, b, done, none] {
    auto r = carry_out(b);
    if (!r || queue_.random_fault(0.01)) return none();
    queue_.after(0.005, [done, r] { done(r); });
  });
}

void Workers::carry_out_later(double d, const shard::ShardManager::Batch& b) {
  queue_.after(d, [this, b] { carry_out(b); });
}

std::optional<CommandReply> Workers::carry_out(const shard::ShardManager::Batch& b) {
  auto* m = ledger_.machine(b.machine);
  if (!m || queue_.now() < m->inbound_cut_until) return std::nullopt;
  if (queue_.now() < m->hangs_until) {
    carry_out_later(m->hangs_until - queue_.now(), b);
    return std::nullopt;
  }
  advance(*m);
  bool ok = b.token.value() >= m->token && b.incarnation.value() == m->incarnation;
  if (ok) {
    m->token = b.token.value();
    for (const auto& c : b.commands) apply_command(*m, c);
  }
  return CommandReply{ok, compose(*m)};
}

void Workers::apply_command(Machine& m, const protocol::Command& c) {
  std::pair key{c.task, c.attempt};
  auto it = m.tasks.find(key);
  if (c.op == protocol::Command::Op::kStart) {
    if (it != m.tasks.end()) return;
    auto& t = m.tasks[key];
    t.ready = queue_.now() + queue_.uniform(0.1, 1.5);
    const auto& job = ledger_.jobs.at(c.task.job);
    t.ends = t.ready + job.run_s.value_or(queue_.uniform(0.5, 6));
    t.fails = job.always_fails || queue_.now() < m.faulty_until;
    if (t.fails) t.ends = t.ready + queue_.uniform(0.1, kFailsWithin);
    ++outcome_.started;
    outcome_.failing_starts += job.always_fails;
    // Time passes between reports as well.
    for (double when : {t.ready, t.ends})
      queue_.at(when + 0.001, [this, name = m.name] {
        if (auto* x = ledger_.machine(name)) advance(*x);
      });
  } else if (c.op == protocol::Command::Op::kStop && it != m.tasks.end() && !it->second.ended) {
    it->second.ended = true;
    it->second.cause = protocol::EndCause::kStopped;
  } else if (c.op == protocol::Command::Op::kForget && it != m.tasks.end() && it->second.ended) {
    m.tasks.erase(it);
  }
}

}  // namespace beaconsill::sim
