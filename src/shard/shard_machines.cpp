// Machines: commands to them, and how they are watched, doubted and given up.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

// Clocks drift apart by 0.05%; a lease is over for sure after this much more, and a margin for steps of
// timers.
constexpr double kDrift = 1.002;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(500);
constexpr Duration kProbeAgain = std::chrono::seconds(1);
constexpr Duration kDeleteAgain = std::chrono::seconds(2);
// Left to a machine after a takeover: it's called on at once, but it may be there and not be in reach yet.
constexpr Duration kFailoverGracePeriod = std::chrono::seconds(2);
constexpr Duration kOrphanGracePeriod = std::chrono::seconds(2);

}  // namespace

std::vector<ShardManager::Batch> ShardManager::take_command_batches(Instant now) {
  std::vector<Batch> out;
  if (superseded_) return out;
  auto dispatch_pending = std::move(dispatch_queue_);
  dispatch_queue_.clear();
  // In the order of their names, so that the same events give the same batches.
  std::sort(dispatch_pending.begin(), dispatch_pending.end(),
            [](const auto* a, const auto* b) { return a->name < b->name; });
  for (auto* machine : dispatch_pending) {
    auto& m = *machine;
    m.dispatch_pending = false;
    visited_count_ += 1 + m.tasks.size();
    if (m.address.empty() || m.deleting) continue;
    bool probe_due = m.retry_at && now >= *m.retry_at;
    bool commanded = m.channel == Machine::Channel::kIdle && m.confirmed;
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
ShardManager::Batch ShardManager::probe_batch(Machine& m, Instant now) {
  m.retry_at.reset();
  m.probed = now;
  m.probe_under_way = true;
  m.on_sent(now);
  return {m.name, m.address, std::max(m.incarnation, Incarnation(1)), m.token, {}};
}

// What is to be sent to the machine now; without commands nothing is.
ShardManager::Batch ShardManager::command_batch(Machine& m, Instant now) {
  Batch b{m.name, m.address, m.incarnation, {}, {}};
  for (auto& [key, t] : m.tasks) {
    if (b.commands.size() >= kMaxCommands) break;
    if (t.start == MachineTask::Start::kQueued) {
      auto* job = find_job(key.first.job);
      // Cancelled between placing and sending: it never leaves this controller.
      if (!job || job->end) continue;
      t.start = MachineTask::Start::kSent;
      b.commands.push_back({protocol::Command::Op::kStart, key.first, key.second, 0});
    } else if (t.start == MachineTask::Start::kAcknowledged && live(t) && t.stop_grace && !t.stop_sent) {
      t.stop_sent = true;
      b.commands.push_back({protocol::Command::Op::kStop, key.first, key.second, *t.stop_grace});
    } else if (!live(t) && !t.forget_sent && (t.is_disposable || is_durable(key.first))) {
      t.forget_sent = true;
      b.commands.push_back({protocol::Command::Op::kForget, key.first, key.second, 0});
    }
  }
  drop_if(
      m,
      [&](const TaskKey& key, const MachineTask& t) {
        if (t.start != MachineTask::Start::kQueued) return false;
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

void ShardManager::on_commands(const Batch& b, CommandResult result,
                               const std::optional<protocol::WorkerHeartbeat>& heartbeat, Instant now) {
  auto it = machines_.find(b.machine);
  if (it == machines_.end()) return;
  auto& m = it->second;
  mark_for_dispatch(m);
  if (result == CommandResult::kNoAnswer) {
    if (m.unanswered_since) ++m.unanswered;
  } else {
    m.forget_unanswered();
    m.commands_answered = commands_answered_[m.zone] = now;
  }
  if (b.commands.empty()) {
    m.probe_under_way = false;
    if (heartbeat && heartbeat->machine == b.machine) reconcile_heartbeat(*heartbeat, true, now);
    if (m.confirmed && m.channel != Machine::Channel::kFencing) return;
    // A session that was guessed wrong is known now.
    m.retry_at = m.incarnation > b.incarnation ? now : now + kProbeAgain;
    return;
  }
  if (m.incarnation == b.incarnation) {
    if (result == CommandResult::kNoAnswer) {
      m.channel = Machine::Channel::kIdle;
      suspect(m, now);
    } else {
      m.channel = Machine::Channel::kIdle;
      for (const auto& c : b.commands) {
        auto t = m.tasks.find({c.task, c.attempt});
        if (t == m.tasks.end()) continue;
        if (result == CommandResult::kExecuted) {
          if (t->second.start == MachineTask::Start::kSent)
            t->second.start = MachineTask::Start::kAcknowledged;
        } else if (t->second.start == MachineTask::Start::kSent) {
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
  if (heartbeat && heartbeat->machine == b.machine) reconcile_heartbeat(*heartbeat, true, now);
}

// ---------------------------------------------------------------- machines that go

std::vector<MachineName> ShardManager::take_machines_to_delete(Instant now) {
  std::vector<MachineName> out;
  if (superseded_) return out;
  auto partitioned = partitioned_zones(now);
  for (const auto& zone : partitioned) partitioned_[zone] = now;
  // A zone that comes back after all must not find hundreds marked, by this request or by others that are not
  // answered yet: what is being deleted gets no commands but the stops in answers to its reports.
  auto under_way = static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [](const auto& m) { return m.second.deleting; }));
  for (auto& [name, m] : machines_) {
    if (out.size() + under_way >= protocol::kMaxDelete) break;
    if (m.deleting || (m.delete_retry && now < *m.delete_retry)) continue;
    const char* why = reason_to_delete(m, partitioned.contains(m.zone), now);
    if (!why) continue;
    spdlog::info("{}: to be deleted ({})", name.value(), why);
    m.deleting = true;
    out.push_back(name);
  }
  return out;
}

// None: it's kept.
const char* ShardManager::reason_to_delete(const Machine& m, bool partitioned, Instant now) const {
  // What ran on those that have obeyed this owner ends with their leases, and they may come back.
  if (partitioned && m.confirmed) return nullptr;
  // After a takeover nothing is known to be there until it has reported, but something may well run.
  bool empty = m.confirmed && m.tasks.empty() && m.channel == Machine::Channel::kIdle;
  if (m.quarantined && empty) return "sick";
  if (m.draining && empty) return "not needed";
  auto patience = m.confirmed ? params_.grace : params_.grace + kFailoverGracePeriod;
  // The others hold up the rebuilding, though not without end: an earlier owner that is cut off with them
  // keeps their tasks running until its word of cancellations is too old.
  if (partitioned) patience = std::max(patience, params_.cancel_limit);
  if (hangs(m, now)) return "answers neither commands nor probes";
  // Of a zone that comes back, or when this controller has stood still, half of the machines report before
  // the others do, and those would pass for silent.
  auto since = partitioned ? observing_since_ : reachable_since(m.zone);
  auto beyond = [&](Instant last, Duration limit) { return now - std::max(last, since) > limit; };
  if (auto suspected_since = m.unconfirmed_since(); suspected_since && beyond(*suspected_since, patience))
    return "does not hear";
  if (beyond(m.last_contact, patience)) return "silent";
  // One that answers probes is alive. What runs there goes on until its lease ends, which answers to commands
  // don't renew; after that it's of no use unless it reports.
  if (beyond(m.last_own_heartbeat, std::max(patience, params_.lease))) return "answers, but does not report";
  return nullptr;
}

void ShardManager::on_deleted(const MachineName& name, Instant now) {
  terminated_.insert(name);
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  drop_all_tasks(it->second, now);
  std::erase(dispatch_queue_, &it->second);
  failure_attribution_.on_machine_terminated(name);
  machines_.erase(it);
  registry_dirty_ = true;
  check_reconciled(now);
}

void ShardManager::on_delete_failed(const MachineName& name, Instant now) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  it->second.deleting = false;
  mark_for_dispatch(it->second);
  it->second.delete_retry = now + kDeleteAgain;
}

void ShardManager::release(const MachineName& name) {
  auto it = machines_.find(name);
  if (it != machines_.end() && it->second.tasks.empty()) it->second.draining = true;
}

// Rule 4 of docs/design.md: the lease has run out since the last time that anybody entitled can have
// answered. The worker has seen our term, so no earlier owner is obeyed; `read` shows that no successor
// existed. Peers' word doesn't: one that has ended since may have been it.
void ShardManager::check_leases(Instant now, Instant read) {
  visited_count_ += machines_.size();
  for (auto& [name, m] : machines_) {
    if (!m.confirmed || m.tasks.empty()) continue;
    // Any report that was answered was sent before the newest one came: the lease can't last longer than from
    // then on. (Answers to late copies of older reports don't lengthen it.)
    auto over = m.last_contact + std::chrono::duration_cast<Duration>(params_.lease * kDrift) + kLeaseMargin;
    if (now <= over || read <= over || superseded_) continue;
    spdlog::info("{}: silent beyond its lease, its {} tasks are gone", name.value(), m.tasks.size());
    drop_all_tasks(m, now);
    // A report of that session can only be a late one.
    m.incarnation = Incarnation(m.incarnation.value() + 1);
    m.sequence = Sequence();
  }
}

void ShardManager::check_reclaim_notices(Instant now) {
  for (auto& [name, m] : machines_) {
    if (!m.reclaimed_at || !m.confirmed) continue;
    double left = to_seconds(*m.reclaimed_at - now);
    for (auto& [key, t] : m.tasks) {
      if (!live(t) || !t.spec || t.stop_grace) continue;
      // A task that should complete in time is left alone: it has nothing to lose.
      if (t.spec->kind == JobKind::kArray && t.running_since &&
          t.spec->estimate_s - to_seconds(now - *t.running_since) < left)
        continue;
      stop(m, t, t.spec->checkpoint_s > 0 ? t.spec->save_s : 0);
      if (t.spec->kind == JobKind::kGang) stop_gang_members(key.first.job, t.spec->save_s);
    }
  }
}

// A gang saves only if all of its tasks are told to stop within a short time.
void ShardManager::stop_gang_members(const JobId& id, double grace) {
  each_listed(id, [&](Machine& m, const TaskKey&, MachineTask& t) {
    if (live(t)) stop(m, t, grace);
  });
}

void ShardManager::abandon(Machine& m, MachineTask& t) {
  if (live(t)) {
    if (t.stop_grace != 0.0) stop(m, t, 0);
  } else if (!t.is_disposable) {
    t.is_disposable = true;
    mark_for_dispatch(m);
  }
}

// Tasks on a machine that are not granted to this shard, or whose job is over. Looked for where tasks have
// come since the last time, or where what is known of them has changed, and as long as there are any.
void ShardManager::stop_orphaned_tasks(Instant now, Instant read) {
  orphans_checked_ = now;
  for (auto& [name, m] : machines_) {
    ++visited_count_;
    if (!m.may_have_orphans) continue;
    visited_count_ += m.tasks.size();
    m.may_have_orphans = false;
    for (auto& [key, t] : m.tasks) {
      auto job = jobs_.find(key.first.job);
      bool known = job != jobs_.end();
      if (known && job->second.end) {
        m.may_have_orphans = true;
        abandon(m, t);
        continue;
      }
      if (known && job->second.granted_tasks.contains(key.first.index)) continue;
      m.may_have_orphans = true;
      // Its grant may be on its way to us: judged only by what was read after the task was seen.
      if (read < t.since + kOrphanGracePeriod) continue;
      if (live(t) && !t.stop_grace)
        spdlog::info("{}: task {} isn't granted here, stopped", name.value(), protocol::task_name(key.first));
      abandon(m, t);
    }
  }
}

}  // namespace beaconsill::shard
