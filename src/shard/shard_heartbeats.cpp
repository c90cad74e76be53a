// Reports: what the workers say of themselves, and who else has owned them.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "shard/shard_manager.h"

namespace beaconsill::shard {
namespace {

using protocol::EndCause;
using protocol::TaskState;

// A task that has run for so long shows that its job doesn't fail wherever it's started.
constexpr Duration kRunsWell = std::chrono::seconds(10);
constexpr Duration kRedirectAgainAfter = std::chrono::seconds(20);

}  // namespace

void ShardManager::on_registry(const std::vector<state_store::MachineRecord>& records, Instant now) {
  registry_.clear();
  std::set<MachineName> written;
  for (const auto& r : records) {
    registry_[state_store::machine_bucket(r.name)].push_back(r);
    written.insert(r.name);
    if (terminated_.contains(r.name)) continue;
    auto [it, fresh] = machines_.try_emplace(r.name);
    auto& m = it->second;
    if (fresh) {
      m.name = r.name;
      m.type = r.type;
      m.zone = r.zone;
      m.spot = r.spot;
      m.first_seen = m.last_contact = m.last_own_heartbeat = now;
      m.idle_since = now;
      m.token = Token::first_of(term_);
      set_failure_timeouts(m);
      m.address = r.address;
      m.quarantined = r.quarantined;
      m.retry_at = now;
      mark_for_dispatch(m);
      set_type(m);
    }
  }
  for (auto& [name, m] : machines_) m.registered = written.contains(name);
  registry_known_ = registry_dirty_ = true;
  check_reconciled(now);
}

std::map<std::uint32_t, std::vector<state_store::MachineRecord>> ShardManager::unregistered_machines() {
  std::map<std::uint32_t, std::vector<state_store::MachineRecord>> wanted, out;
  if (!registry_known_ || !registry_dirty_) return out;
  // One that has only been heard of by a report under an earlier term isn't added: it may be a late copy by a
  // machine that is gone, and would be waited for at the next takeover. Nothing is started there anyway.
  for (const auto& [name, m] : machines_)
    if (m.registered || m.confirmed)
      wanted[state_store::machine_bucket(name)].push_back(
          {m.name, m.type, m.zone, m.spot, m.address, m.quarantined});
  for (std::uint32_t b = 0; b < state_store::kMachineBuckets; ++b) {
    auto it = registry_.find(b);
    auto have = it == registry_.end() ? std::vector<state_store::MachineRecord>{} : it->second;
    std::sort(have.begin(), have.end(), [](const auto& x, const auto& y) { return x.name < y.name; });
    if (have != wanted[b]) out[b] = wanted[b];
  }
  registry_dirty_ = !out.empty();  // until it's seen as written
  return out;
}

Machine& ShardManager::machine(const protocol::WorkerHeartbeat& r, Instant now) {
  auto [it, fresh] = machines_.try_emplace(r.machine);
  auto& m = it->second;
  if (fresh) {
    m.name = r.machine;
    m.first_seen = m.last_own_heartbeat = m.idle_since = now;
    m.token = Token::first_of(term_);
    set_failure_timeouts(m);
  }
  if (m.type != r.type || !m.type_known) {
    m.type = r.type;
    set_type(m);
  }
  m.zone = r.zone;
  m.spot = r.spot;
  m.address = r.address;
  return m;
}

ShardManager::HeartbeatResponse ShardManager::answer(const MachineName& name, Instant now) {
  auto& m = machines_.at(name);
  m.last_answered = now;
  HeartbeatResponse a{m.token, {}};
  // One that is being deleted may have gone on after all: until the deletion is answered, what was cancelled
  // there is told to stop this way, since it gets no other commands.
  if (m.channel != Machine::Channel::kFencing && !m.deleting) return a;
  for (const auto& [key, t] : m.tasks)
    if (live(t) && t.stop_grace && a.commands.size() < kMaxCommands)
      a.commands.push_back({protocol::Command::Op::kStop, key.first, key.second, *t.stop_grace});
  return a;
}

// A worker with running tasks that comes by way of another controller may be cut off from this one. Sent here
// in vain it waits for an answer, then goes to the next controller, and its lease may be over by then: on a
// recorded day whole shards lost their tasks at the second cut of a controller, since each machine had been
// sent back in the first one and so wasn't answered at once in the second. So it's sent here only if it has
// answered commands of this controller lately, and otherwise answered and probed.
bool ShardManager::should_redirect_here(const protocol::WorkerHeartbeat& r, Instant now) {
  auto it = machines_.find(r.machine);
  bool busy =
      std::any_of(r.tasks.begin(), r.tasks.end(), [](const auto& t) { return t.state != TaskState::kEnded; });
  if (it == machines_.end() || !busy) return true;
  auto& m = it->second;
  if (!m.relayed_since) m.relayed_since = now;
  if (now - m.commands_answered > kHeartbeatAnswerTimeout) {
    if (m.can_be_probed()) probe(m, now);
    return false;
  }
  if (m.redirected != Instant{} && now - m.redirected < kRedirectAgainAfter) return false;
  m.redirected = now;
  return true;
}

void ShardManager::on_direct_contact(const MachineName& name) {
  auto* m = find_machine(name);
  if (!m) return;
  m->relayed_since.reset();
}

void ShardManager::supersede(Term t) {
  if (t > term_) superseded_ = true;
}

bool ShardManager::reconcile_heartbeat(const protocol::WorkerHeartbeat& r, bool answers_commands,
                                       Instant now) {
  if (terminated_.contains(r.machine)) return false;
  if (r.token.term() > term_) {
    if (!superseded_)
      spdlog::info("part {}: {} has seen term {}, ours is {}", id_.value(), r.machine.value(),
                   r.token.term().value(), term_.value());
    superseded_ = true;
    return false;
  }
  auto& m = machine(r, now);
  if (!r.newer_than(m.incarnation, m.sequence)) {
    spdlog::debug("{}: stale report {}/{} dropped", m.name.value(), r.incarnation.value(),
                  r.sequence.value());
    return false;
  }
  bool lost = r.incarnation != m.incarnation;
  if (lost) {
    if (!m.tasks.empty())
      spdlog::info("{}: its lease ran out, {} tasks are lost", m.name.value(), m.tasks.size());
    drop_all_tasks(m, now);
  }
  // After a pause as long as a worker waits for an answer it has most likely waited in vain. Not so if a
  // pause like that lies within what reports vary by.
  auto patience = std::max(kHeartbeatAnswerTimeout, suspicion_timeout());
  bool waited = m.last_answered >= m.last_contact && now - m.last_contact >= patience;
  m.incarnation = r.incarnation;
  m.sequence = r.sequence;
  m.last_contact = now;
  if (!answers_commands) m.last_own_heartbeat = now;
  m.forget_unanswered();
  m.token = std::max(m.token, r.token);
  // It reports, but its lease ran out, or it made a pause as one does that waits for an answer.
  if (m.confirmed && !answers_commands && (lost || waited)) suspect(m, now);
  if (!m.confirmed && r.token >= Token::first_of(term_)) {
    m.confirmed = registry_dirty_ = true;
    m.retry_at.reset();
  }
  if (r.notice_s) {
    auto at = now + from_seconds(*r.notice_s);
    if (!m.reclaimed_at) spdlog::info("{}: to be taken back in {:.1f} s", m.name.value(), *r.notice_s);
    m.reclaimed_at = at;
  } else {
    m.reclaimed_at.reset();
  }
  // The worker obeys nothing older than the fence any more: what had no answer is there, or never will be.
  if (m.channel == Machine::Channel::kFencing && r.token >= m.token) resolve_in_flight(m, now);

  mark_for_dispatch(m);
  ++heartbeat_count_;
  visited_count_ += r.tasks.size() + m.tasks.size();
  for (const auto& x : r.tasks) {
    TaskKey key{x.task, x.attempt};
    auto [t, fresh] = put(m, key);
    if (fresh) {
      t.since = now;
      if (auto* job = find_job(x.task.job)) t.spec = job->record.spec;
    }
    t.listed = heartbeat_count_;
    update(m, key, t, x, now);
  }
  // A start that isn't settled may still be carried out: its absence from a report proves nothing.
  drop_if(
      m,
      [&](const TaskKey&, const MachineTask& t) {
        return t.start == MachineTask::Start::kAcknowledged && t.listed != heartbeat_count_;
      },
      now);
  m.changed();
  if (m.live_tasks() > 0) m.idle_since = now;
  check_reconciled(now);
  return true;
}

void ShardManager::update(Machine& m, const TaskKey& key, MachineTask& t, const protocol::TaskStatus& r,
                          Instant now) {
  bool was_live = live(t) || t.since == now;
  t.start = MachineTask::Start::kAcknowledged;
  t.state = r.state;
  t.cause = r.cause;
  t.saved = r.saved;
  if (r.state == TaskState::kRunning && !t.running_since) {
    t.running_since = now;
    spdlog::debug("{}: {} runs, {:.2f} s after it was placed", m.name.value(), protocol::task_name(key.first),
                  to_seconds(now - t.since));
  }
  if (t.running_since && !t.runs_well && live(t) && now - *t.running_since >= kRunsWell) {
    t.runs_well = true;
    on_task_worked(m, key.first.job, t.since, now);
  }
  if (t.spec && (r.state == TaskState::kRunning || r.state == TaskState::kWaiting))
    m.images.use(t.spec->image, t.spec->image_gb, now);
  if (live(t)) {
    adopt(m, key, t, now);
  } else if (was_live) {
    on_ended(m, key, t, now);
  }
}

// A live task that the books don't place here: after a takeover, or since its grant isn't known yet.
void ShardManager::adopt(Machine& m, const TaskKey& key, MachineTask& t, Instant) {
  auto* granted_task = find_granted_task(key.first);
  if (!granted_task) return;
  bool open = granted_task->status == GrantedTask::Status::kAwaitingReconciliation ||
              granted_task->status == GrantedTask::Status::kWaiting;
  bool elsewhere = granted_task->status == GrantedTask::Status::kPlaced &&
                   (granted_task->machine != m.name || granted_task->attempt != key.second) && !t.stop_grace;
  if (!open && !elsewhere) return;
  if (elsewhere && !m.confirmed) return;
  if (open || is_outdated(*granted_task, key.first, m, t)) {
    granted_task->status = GrantedTask::Status::kPlaced;
    granted_task->started = true;
    granted_task->machine = m.name;
    granted_task->attempt = key.second;
    return;
  }
  spdlog::error("{}: task {} is here as well as on {}", m.name.value(), protocol::task_name(key.first),
                granted_task->machine.value());
  stop(m, t, 0);
}

// Whether the place that the books give a task rests on an old report. A new owner can't tell an old report
// from a new one until the machine reports under its term: a copy that came late, by a machine that is gone
// say, would have the sound task stopped for a second one.
bool ShardManager::is_outdated(const GrantedTask& granted_task, const TaskId& task, const Machine& m,
                               const MachineTask& t) {
  auto* other = find_machine(granted_task.machine);
  if (!other) return true;
  if (other != &m) return !other->confirmed;
  auto listing = m.tasks.find({task, granted_task.attempt});
  if (listing == m.tasks.end()) return true;
  return listing->second.start == MachineTask::Start::kAcknowledged && listing->second.listed < t.listed;
}

void ShardManager::on_ended(Machine& m, const TaskKey& key, MachineTask& t, Instant now) {
  if (t.cause == EndCause::kDone) {
    on_task_worked(m, key.first.job, t.since, now);
    if (auto* granted_task = find_granted_task(key.first)) {
      if (granted_task->status != GrantedTask::Status::kReleased)
        granted_task->status = GrantedTask::Status::kDone;
      jobs_[key.first.job].mark();
    }
    return;
  }
  t.is_disposable = true;
  if (t.cause == EndCause::kError || t.cause == EndCause::kUnknown) on_task_failed(m, key.first.job, now);
  requeue(key, now);
}

void ShardManager::requeue(const TaskKey& key, Instant now) {
  auto* granted_task = find_granted_task(key.first);
  if (!granted_task || granted_task->status != GrantedTask::Status::kPlaced ||
      granted_task->attempt != key.second)
    return;
  // A gang's task has the same attempt wherever it was started under it: another machine may list it.
  if (auto* m = find_machine(granted_task->machine)) {
    auto t = m->tasks.find(key);
    if (t != m->tasks.end() && live(t->second)) return;
  }
  granted_task->status = granted_task->earlier && !reconciled_ ? GrantedTask::Status::kAwaitingReconciliation
                                                               : GrantedTask::Status::kWaiting;
  granted_task->since = now;
  wait(key.first.job);
}

void ShardManager::drop_all_tasks(Machine& m, Instant now) {
  drop_if(
      m, [](const TaskKey&, const MachineTask&) { return true; }, now);
  m.channel = Machine::Channel::kIdle;
  m.retry_at.reset();
  m.idle_since = now;
}

void ShardManager::on_task_failed(Machine& m, const JobId& id, Instant now) {
  auto* job = find_job(id);
  failure_attribution_.on_failed(m.name, id, job && job->works, now);
  m.avoided_until = failure_attribution_.suspect_until(m.name);
  quarantine_if_faulty(m);
  if (!job || !failure_attribution_.job_fails(id, now)) return;
  job->verdict = protocol::JobHealth::kFails;
  job->unacknowledged = true;
}

void ShardManager::on_task_worked(Machine& m, const JobId& id, Instant placed, Instant now) {
  auto* job = find_job(id);
  if (job) job->works = true;
  if (!failure_attribution_.concerns(m.name, id)) return;
  if (job && failure_attribution_.job_fails(id, now)) {
    job->verdict = protocol::JobHealth::kWorks;
    job->unacknowledged = true;
  }
  failure_attribution_.on_worked(m.name, id, placed);
  m.avoided_until = failure_attribution_.suspect_until(m.name);
  for (const auto& name : failure_attribution_.failed_on(id, now))
    if (auto* other = find_machine(name)) quarantine_if_faulty(*other);
}

void ShardManager::quarantine_if_faulty(Machine& m) {
  if (m.quarantined || !failure_attribution_.machine_faulty(m.name)) return;
  m.quarantined = registry_dirty_ = true;
  spdlog::info("{}: tasks of several jobs that work elsewhere failed here, set aside", m.name.value());
}

// Nothing more is started there until the worker shows that it hears, by a token raised for that: by its
// reports alone it would pass for sound, and start after start would be sent in vain.
void ShardManager::suspect(Machine& m, Instant now) {
  if (m.channel == Machine::Channel::kBusy) return;  // the batch under way will tell
  if (m.channel != Machine::Channel::kFencing) {
    m.channel = Machine::Channel::kFencing;
    m.token = m.token.raised();
    m.retry_at = now;
    mark_for_dispatch(m);
  }
  if (!m.suspected_since) m.suspected_since = now;
}

void ShardManager::resolve_in_flight(Machine& m, Instant) {
  mark_for_dispatch(m);
  m.channel = Machine::Channel::kIdle;
  m.retry_at.reset();
  m.suspected_since.reset();
  for (auto& [key, t] : m.tasks) {
    if (t.start == MachineTask::Start::kSent) t.start = MachineTask::Start::kAcknowledged;
    t.stop_sent = t.forget_sent = false;
  }
}

void ShardManager::check_reconciled(Instant now) {
  if (reconciled_ || !registry_known_) return;
  for (const auto& [name, m] : machines_)
    if (m.registered && !m.confirmed) return;
  reconciled_ = true;
  std::size_t missing = 0;
  for (auto& [id, job] : jobs_)
    for (auto& [n, granted_task] : job.granted_tasks)
      if (granted_task.status == GrantedTask::Status::kAwaitingReconciliation) {
        granted_task.status = GrantedTask::Status::kWaiting;
        granted_task.since = now;
        wait(id);
        ++missing;
      }
  spdlog::info("part {}: rebuilt under term {} after {:.1f} s, {} machines, {} granted tasks on none of them",
               id_.value(), term_.value(), to_seconds(now - began_), machines_.size(), missing);
}

}  // namespace beaconsill::shard
