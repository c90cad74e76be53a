#include "sim/workers.h"

namespace beaconsill::sim {
namespace {
constexpr double kNoAnswer = 4.9;  // a worker waits so long for an answer, and 1 s before the next node
constexpr double kNextNode = 1;
constexpr double kCommandTimeout = 2;
}  // namespace

Workers::Workers(EventQueue& queue, Network& network, Books& books, Rules& rules, Outcome& outcome,
                 const Options& options, Answer answer)
    : queue_(queue),
      network_(network),
      books_(books),
      rules_(rules),
      outcome_(outcome),
      options_(options),
      answer_(std::move(answer)) {}

void Workers::on_added(const MachineName& m) {
  queue_.after(queue_.uniform(0, 1), [this, m] { report(m); });
}

void Workers::advance_all() {
  for (auto& [name, m] : books_.machines)
    if (!m.gone) advance(m);
}

wire::Report Workers::compose(Machine& m) {
  advance(m);
  wire::Report r;
  r.machine = m.name;
  r.address = "10.0.0.1:1";
  r.type = MachineType("t8");
  r.zone = m.zone;
  r.session = Session(m.session);
  r.sequence = Sequence(++m.sequence);
  r.token = Token(m.token);
  for (const auto& [key, t] : m.tasks)
    r.tasks.push_back({key.first, key.second,
                       t.ended     ? wire::TaskState::kEnded
                       : t.running ? wire::TaskState::kRunning
                                   : wire::TaskState::kFetching,
                       t.cause, false});
  return r;
}

// What happened on the machine up to now.
void Workers::advance(Machine& m) {
  double now = queue_.now();
  if (now - m.lease_from > kLease) {
    m.tasks.clear();
    ++m.session;
    m.lease_from = now;
  }
  if (now < m.hangs_until) return;
  for (auto& [key, t] : m.tasks) {
    if (t.ended) continue;
    auto& job = books_.jobs.at(key.first.job);
    if (!t.running && now >= t.ready) {
      t.running = true;
      // The result of a task that completed is kept: it ends at once.
      if (job.done.contains(key.first.index)) t.ends = now;
      rules_.on_begin(m, key.first, job);
    }
    if (t.running && job.spec->kind == JobKind::kArray && now >= t.ends) {
      t.ended = true;
      t.cause = wire::EndCause::kDone;
      job.done.insert(key.first.index);
    }
  }
}

void Workers::report(const MachineName& name) {
  auto* m = books_.machine(name);
  if (!m) return;
  queue_.after(options_.report_s * queue_.uniform(0.75, 1.25), [this, name] { report(name); });
  if (queue_.now() < m->hangs_until || m->in_flight) return;
  auto r = compose(*m);
  m->in_flight = true;
  double sent = queue_.now();
  auto session = m->session;
  int to = m->node;
  if (queue_.mishap(0.04)) copy_later(r);
  if (!network_.up(to)) return report_over(name, kNextNode, (to + 1) % kControllers);
  queue_.after(queue_.uniform(0.001, 0.01), [this, name, r, to, sent, session] {
    if (!network_.up(to)) return report_over(name, kNextNode, (to + 1) % kControllers);
    on_reply(name, to, sent, session, answer_(to, r));
  });
}

// Copies come late, also to controllers that the worker never reported to.
void Workers::copy_later(const wire::Report& r) {
  int where = static_cast<int>(queue_.draw() % kControllers);
  queue_.after(queue_.uniform(0.5, 25), [this, r = wire::Report(r), where]() mutable {
    if (auto* m = books_.machine(r.machine); m && options_.mistake == Mistake::kCopiesAreNews) {
      r.session = Session(m->session);
      r.sequence = Sequence(++m->sequence);
      r.token = Token(m->token);
    }
    if (network_.up(where)) answer_(where, r);
  });
}

void Workers::report_over(const MachineName& name, double wait, int next_node) {
  queue_.after(wait, [this, name, next_node] {
    auto* m = books_.machine(name);
    if (!m) return;
    m->in_flight = false;
    if (next_node >= 0) m->node = next_node;
  });
}

void Workers::on_reply(const MachineName& name, int node, double sent, std::uint64_t session,
                       const ReportReply& reply) {
  auto* m = books_.machine(name);
  if (!m) return;
  double now = queue_.now();
  int next = (node + 1) % kControllers;
  if (now < m->deaf_until || queue_.mishap(0.002)) return report_over(name, kNoAnswer, next);
  if (!reply.answer) {
    bool told_where = reply.redirect >= 0 && reply.redirect != node;
    return report_over(name, 0.3, told_where ? reply.redirect : next);
  }
  report_over(name, 0.001, -1);
  if (now < m->hangs_until || m->session != session || reply.answer->token.value() < m->token) return;
  advance(*m);
  if (m->session != session) return;
  m->token = reply.answer->token.value();
  m->lease_from = std::max(m->lease_from, sent);
  for (const auto& c : reply.answer->commands) obey(*m, c);
}

void Workers::command(const part::Part::Batch& b, std::function<void(std::optional<CommandReply>)> done) {
  auto* m = books_.machine(b.machine);
  if (!m || queue_.now() < m->deaf_until || queue_.mishap(0.01)) {
    // Held up on the way, it may still arrive, minutes late.
    if (queue_.mishap(0.5)) queue_.after(queue_.uniform(0.5, 60), [this, b] { carry_out(b); });
    return queue_.after(kCommandTimeout, [done] { done(std::nullopt); });
  }
  if (queue_.now() < m->hangs_until) {
    queue_.at(m->hangs_until, [this, b] { carry_out(b); });
    return queue_.after(kCommandTimeout, [done] { done(std::nullopt); });
  }
  queue_.after(queue_.uniform(0.001, 0.01), [this, b, done] {
    auto r = carry_out(b);
    if (!r || queue_.mishap(0.01)) return queue_.after(kCommandTimeout, [done] { done(std::nullopt); });
    queue_.after(0.005, [done, r] { done(r); });
  });
}

std::optional<CommandReply> Workers::carry_out(const part::Part::Batch& b) {
  auto* m = books_.machine(b.machine);
  if (!m || queue_.now() < m->hangs_until || queue_.now() < m->deaf_until) return std::nullopt;
  advance(*m);
  bool ok = b.token.value() >= m->token && b.session.value() == m->session;
  if (ok) {
    m->token = b.token.value();
    for (const auto& c : b.commands) obey(*m, c);
  }
  return CommandReply{ok, compose(*m)};
}

void Workers::obey(Machine& m, const wire::Command& c) {
  std::pair key{c.task, c.attempt};
  auto it = m.tasks.find(key);
  if (c.op == wire::Command::Op::kStart) {
    if (it != m.tasks.end()) return;
    auto& t = m.tasks[key];
    t.ready = queue_.now() + queue_.uniform(0.1, 1.5);
    t.ends = t.ready + books_.jobs.at(c.task.job).run_s.value_or(queue_.uniform(0.5, 6));
    ++outcome_.started;
    // Time passes between reports as well.
    queue_.at(t.ready + 0.001, [this, name = m.name] {
      if (auto* x = books_.machine(name)) advance(*x);
    });
  } else if (c.op == wire::Command::Op::kStop && it != m.tasks.end() && !it->second.ended) {
    it->second.ended = true;
    it->second.cause = wire::EndCause::kStopped;
  } else if (c.op == wire::Command::Op::kForget && it != m.tasks.end() && it->second.ended) {
    m.tasks.erase(it);
  }
}

}  // namespace beaconsill::sim
