// Machines: commands to them, and how they are watched, doubted and given up.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "part/part.h"

namespace beaconsill::part {
namespace {

// Clocks drift apart by 0.05%; a lease is over for sure after this much more, and a margin for steps of
// timers.
constexpr double kDrift = 1.002;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(500);
constexpr Duration kProbeAgain = std::chrono::seconds(1);
constexpr Duration kDeleteAgain = std::chrono::seconds(2);
// Left to a machine after a takeover: it's called on at once, but it may be there and not be in reach yet.
constexpr Duration kTakeoverPatience = std::chrono::seconds(2);
constexpr Duration kStrayPatience = std::chrono::seconds(2);

}  // namespace

std::vector<Part::Batch> Part::take_batches(Instant now) {
  std::vector<Batch> out;
  if (superseded_) return out;
  auto touched = std::move(touched_);
  touched_.clear();
  // In the order of their names, so that the same events give the same batches.
  std::sort(touched.begin(), touched.end(), [](const auto* a, const auto* b) { return a->name < b->name; });
  for (auto* machine : touched) {
    auto& m = *machine;
    m.touched = false;
    effort_ += 1 + m.tasks.size();
    if (m.address.empty() || m.deleting) continue;
    bool probe_due = m.retry_at && now >= *m.retry_at;
    bool commanded = m.channel == Machine::Channel::kIdle && m.reported;
    if (commanded) {
      auto b = command_batch(m, now);
      if (!b.commands.empty()) {
        // Commands tell as much as a probe.
        if (probe_due) m.retry_at.reset();
        out.push_back(std::move(b));
        continue;
      }
    }
    if (probe_due) out.push_back(probe_batch(m, now));
  }
  return out;
}

// An empty batch: to learn whether the machine receives commands, or, after a takeover, to be obeyed and to
// get its report at once. Otherwise a worker that an owner cut off from all but its workers still answers
// would not come here.
Part::Batch Part::probe_batch(Machine& m, Instant now) {
  m.retry_at.reset();
  m.probed = now;
  m.probe_under_way = true;
  m.on_sent(now);
  return {m.name, m.address, std::max(m.session, Session(1)), m.token, {}};
}

// What is to be sent to the machine now; without commands nothing is.
Part::Batch Part::command_batch(Machine& m, Instant now) {
  Batch b{m.name, m.address, m.session, {}, {}};
  for (auto& [key, t] : m.tasks) {
    if (b.commands.size() >= kMaxCommands) break;
    if (t.start == TaskOn::Start::kQueued) {
      auto* job = find_job(key.first.job);
      // Cancelled between placing and sending: it never leaves this node.
      if (!job || job->end) continue;
      t.start = TaskOn::Start::kSent;
      b.commands.push_back({wire::Command::Op::kStart, key.first, key.second, 0});
    } else if (t.start == TaskOn::Start::kSettled && live(t) && t.stop_grace && !t.stop_sent) {
      t.stop_sent = true;
      b.commands.push_back({wire::Command::Op::kStop, key.first, key.second, *t.stop_grace});
    } else if (!live(t) && !t.forget_sent && (t.may_forget || durable(key.first))) {
      t.forget_sent = true;
      b.commands.push_back({wire::Command::Op::kForget, key.first, key.second, 0});
    }
  }
  drop_if(
      m,
      [&](const TaskKey& key, const TaskOn& t) {
        if (t.start != TaskOn::Start::kQueued) return false;
        auto* job = find_job(key.first.job);
        return !job || job->end.has_value();
      },
      now);
  if (b.commands.empty()) return b;
  // A token of its own for every batch: a copy of it that arrives late is refused.
  m.token = m.token.raised();
  b.token = m.token;
  m.channel = Machine::Channel::kBusy;
  m.on_sent(now);
  return b;
}

void Part::on_commands(const Batch& b, CommandResult result, const std::optional<wire::Report>& report,
                       Instant now) {
  auto it = machines_.find(b.machine);
  if (it == machines_.end()) return;
  auto& m = it->second;
  touch(m);
  if (result == CommandResult::kNoAnswer) {
    if (m.unanswered_since) ++m.unanswered;
  } else {
    m.forget_unanswered();
    m.commands_answered = commands_answered_[m.zone] = now;
  }
  if (b.commands.empty()) {
    m.probe_under_way = false;
    if (report && report->machine == b.machine) take_report(*report, true, now);
    if (m.reported && m.channel != Machine::Channel::kFencing) return;
    // A session that was guessed wrong is known now.
    m.retry_at = m.session > b.session ? now : now + kProbeAgain;
    return;
  }
  if (m.session == b.session) {
    if (result == CommandResult::kNoAnswer) {
      m.channel = Machine::Channel::kIdle;
      doubt(m, now);
    } else {
      m.channel = Machine::Channel::kIdle;
      for (const auto& c : b.commands) {
        auto t = m.tasks.find({c.task, c.attempt});
        if (t == m.tasks.end()) continue;
        if (result == CommandResult::kExecuted) {
          if (t->second.start == TaskOn::Start::kSent) t->second.start = TaskOn::Start::kSettled;
        } else if (t->second.start == TaskOn::Start::kSent) {
          // Refused for its token or session, and so it always will be.
          auto key = t->first;
          drop(m, t);
          m.changed();
          requeue(key, now);
        } else {
          t->second.stop_sent = t->second.forget_sent = false;
        }
      }
    }
  }
  if (report && report->machine == b.machine) take_report(*report, true, now);
}

// ---------------------------------------------------------------- machines that go

std::vector<MachineName> Part::take_deletions(Instant now) {
  std::vector<MachineName> out;
  if (superseded_) return out;
  auto cut_off = cut_off_zones(now);
  for (const auto& zone : cut_off) cut_off_[zone] = now;
  // A zone that comes back after all must not find hundreds marked, by this request or by others that are not
  // answered yet: what is being deleted gets no commands but the stops in answers to its reports.
  auto under_way = static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [](const auto& m) { return m.second.deleting; }));
  for (auto& [name, m] : machines_) {
    if (out.size() + under_way >= wire::kMaxDelete) break;
    if (m.deleting || (m.delete_retry && now < *m.delete_retry)) continue;
    const char* why = reason_to_delete(m, cut_off.contains(m.zone), now);
    if (!why) continue;
    spdlog::info("{}: to be deleted ({})", name.value(), why);
    m.deleting = true;
    out.push_back(name);
  }
  return out;
}

// None: it's kept.
const char* Part::reason_to_delete(const Machine& m, bool cut_off, Instant now) const {
  // What ran on those that have obeyed this owner ends with their leases, and they may come back.
  if (cut_off && m.reported) return nullptr;
  // After a takeover nothing is known to be there until it has reported, but something may well run.
  bool empty = m.reported && m.tasks.empty() && m.channel == Machine::Channel::kIdle;
  if (m.sick && empty) return "sick";
  if (m.closed && empty) return "not needed";
  auto patience = m.reported ? params_.grace : params_.grace + kTakeoverPatience;
  // The others hold up the rebuilding, though not without end: an earlier owner that is cut off with them
  // keeps their tasks running until its word of cancellations is too old.
  if (cut_off) patience = std::max(patience, params_.cancel_limit);
  if (hangs(m, now)) return "answers neither commands nor probes";
  // Of a zone that comes back, or when this node has stood still, half of the machines report before the
  // others do, and those would pass for silent.
  auto since = cut_off ? listening_since_ : in_reach_since(m.zone);
  auto beyond = [&](Instant last, Duration limit) { return now - std::max(last, since) > limit; };
  if (auto doubted = m.in_doubt_since(); doubted && beyond(*doubted, patience)) return "does not hear";
  if (beyond(m.heard, patience)) return "silent";
  // One that answers probes is alive. What runs there goes on until its lease ends, which answers to commands
  // don't renew; after that it's of no use unless it reports.
  if (beyond(m.last_report, std::max(patience, params_.lease))) return "answers, but does not report";
  return nullptr;
}

void Part::on_deleted(const MachineName& name, Instant now) {
  gone_.insert(name);
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  lose_all(it->second, now);
  std::erase(touched_, &it->second);
  evidence_.on_machine_gone(name);
  machines_.erase(it);
  registry_dirty_ = true;
  check_rebuilt(now);
}

void Part::on_delete_failed(const MachineName& name, Instant now) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  it->second.deleting = false;
  touch(it->second);
  it->second.delete_retry = now + kDeleteAgain;
}

void Part::release(const MachineName& name) {
  auto it = machines_.find(name);
  if (it != machines_.end() && it->second.tasks.empty()) it->second.closed = true;
}

// Rule 4 of docs/design.md: the lease has run out since the last time that anybody entitled can have
// answered. The worker has seen our term, so no earlier owner is obeyed; `read` shows that no successor
// existed. Peers' word doesn't: one that has ended since may have been it.
void Part::check_leases(Instant now, Instant read) {
  effort_ += machines_.size();
  for (auto& [name, m] : machines_) {
    if (!m.reported || m.tasks.empty()) continue;
    // Any report that was answered was sent before the newest one came: the lease can't last longer than from
    // then on. (Answers to late copies of older reports don't lengthen it.)
    auto over = m.heard + std::chrono::duration_cast<Duration>(params_.lease * kDrift) + kLeaseMargin;
    if (now <= over || read <= over || superseded_) continue;
    spdlog::info("{}: silent beyond its lease, its {} tasks are gone", name.value(), m.tasks.size());
    lose_all(m, now);
    // A report of that session can only be a late one.
    m.session = Session(m.session.value() + 1);
    m.sequence = Sequence();
  }
}

void Part::check_notices(Instant now) {
  for (auto& [name, m] : machines_) {
    if (!m.taken_at || !m.reported) continue;
    double left = to_seconds(*m.taken_at - now);
    for (auto& [key, t] : m.tasks) {
      if (!live(t) || !t.spec || t.stop_grace) continue;
      // A task that should complete in time is left alone: it has nothing to lose.
      if (t.spec->kind == JobKind::kArray && t.running_since &&
          t.spec->estimate_s - to_seconds(now - *t.running_since) < left)
        continue;
      stop(m, t, t.spec->checkpoint_s > 0 ? t.spec->save_s : 0);
      if (t.spec->kind == JobKind::kGang) stop_mates(key.first.job, t.spec->save_s);
    }
  }
}

// A gang saves only if all of its tasks are told to stop within a short time.
void Part::stop_mates(const JobId& id, double grace) {
  each_listed(id, [&](Machine& m, const TaskKey&, TaskOn& t) {
    if (live(t)) stop(m, t, grace);
  });
}

void Part::give_up(Machine& m, TaskOn& t) {
  if (live(t)) {
    if (t.stop_grace != 0.0) stop(m, t, 0);
  } else if (!t.may_forget) {
    t.may_forget = true;
    touch(m);
  }
}

// Tasks on a machine that are not granted to this part, or whose job is over. Looked for where tasks have
// come since the last time, or where what is known of them has changed, and as long as there are any.
void Part::stop_strays(Instant now, Instant read) {
  strays_checked_ = now;
  for (auto& [name, m] : machines_) {
    ++effort_;
    if (!m.strays) continue;
    effort_ += m.tasks.size();
    m.strays = false;
    for (auto& [key, t] : m.tasks) {
      auto job = jobs_.find(key.first.job);
      bool known = job != jobs_.end();
      if (known && job->second.end) {
        m.strays = true;
        give_up(m, t);
        continue;
      }
      if (known && job->second.slots.contains(key.first.index)) continue;
      m.strays = true;
      // Its grant may be on its way to us: judged only by what was read after the task was seen.
      if (read < t.since + kStrayPatience) continue;
      if (live(t) && !t.stop_grace)
        spdlog::info("{}: task {} isn't granted here, stopped", name.value(), wire::task_name(key.first));
      give_up(m, t);
    }
  }
}

}  // namespace beaconsill::part
