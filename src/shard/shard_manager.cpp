#include "shard/shard_manager.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::shard {

using protocol::TaskState;

namespace {
// What only the passing of time brings about is looked for so often: some hundred events a second would
// otherwise go through all machines each.
constexpr Duration kTimeoutCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kOrphanCheckPeriod = std::chrono::milliseconds(500);
}  // namespace

ShardManager::ShardManager(ShardId id, Term term, ShardParams params, Instant now)
    : id_(id),
      term_(term),
      params_(params),
      began_(now),
      next_attempt_((term.value() << Token::kFenceBits) + 1) {}

void ShardManager::set_catalogue(std::shared_ptr<const protocol::Catalogue> c) {
  catalogue_ = std::move(c);
  for (auto& [name, m] : machines_) set_type(m);
}

void ShardManager::set_type(Machine& m) {
  if (!catalogue_) return;
  auto it = catalogue_->find(m.type);
  if (it == catalogue_->end()) return;
  m.total = it->second.total;
  m.images.set_capacity(it->second.cache_gb);
  m.type_known = true;
}

Machine* ShardManager::find_machine(const MachineName& name) {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

ShardManager::ShardJob* ShardManager::find_job(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

ShardManager::GrantedTask* ShardManager::find_granted_task(const TaskId& id) {
  auto* job = find_job(id.job);
  if (!job) return nullptr;
  auto it = job->granted_tasks.find(id.index);
  return it == job->granted_tasks.end() ? nullptr : &it->second;
}

std::pair<MachineTask&, bool> ShardManager::put(Machine& m, const TaskKey& key) {
  auto [it, fresh] = m.tasks.try_emplace(key);
  if (fresh) {
    where_[key.first].push_back(&m);
    m.may_have_orphans = true;
  }
  return {it->second, fresh};
}

std::map<TaskKey, MachineTask>::iterator ShardManager::drop(Machine& m,
                                                            std::map<TaskKey, MachineTask>::iterator t) {
  auto w = where_.find(t->first.first);
  w->second.erase(std::find(w->second.begin(), w->second.end(), &m));
  if (w->second.empty()) where_.erase(w);
  return m.tasks.erase(t);
}

void ShardManager::mark_for_dispatch(Machine& m) {
  if (m.dispatch_pending) return;
  m.dispatch_pending = true;
  dispatch_queue_.push_back(&m);
}

void ShardManager::erase_job(const JobId& id) {
  waiting_.erase(id);
  gangs_.erase(id);
  jobs_.erase(id);
  mark_possible_orphans(id);
}

void ShardManager::mark_possible_orphans(const JobId& id) {
  each_listed(id, [](Machine& m, const TaskKey&, MachineTask&) { m.may_have_orphans = true; });
}

// What the task ended with is recorded, or of no use to anybody.
bool ShardManager::is_durable(const TaskId& id) const {
  auto it = jobs_.find(id.job);
  if (it == jobs_.end()) return false;
  return it->second.end || it->second.recorded.done.contains(id.index);
}

// ---------------------------------------------------------------- jobs

void ShardManager::on_job(const JobId& id, const state_store::Job* job,
                          std::optional<state_store::TerminalState> end, Instant now) {
  if (!job) return erase_job(id);
  if (!job->record.spec) {
    if (auto* known = find_job(id); known && end) {
      known->end = end;
      mark_possible_orphans(id);
    }
    return;
  }
  bool ours = std::any_of(job->grants.value.chunks.begin(), job->grants.value.chunks.end(),
                          [&](const auto& c) { return c.shard == id_; });
  if (!ours && !jobs_.contains(id)) return;
  auto& pj = jobs_[id];
  set_record(pj, *job);
  if (pj.record.spec->kind == JobKind::kGang) gangs_.insert(id);
  pj.end = end;
  auto recorded = job->progress.find(id_);
  pj.recorded = recorded == job->progress.end() ? state_store::Progress{} : recorded->second.value;
  pj.works = pj.works || std::any_of(job->progress.begin(), job->progress.end(),
                                     [](const auto& p) { return !p.second.value.done.empty(); });
  if (pj.works) failure_attribution_.on_job_works(id);
  pj.revoked = job->grants.value.revoke;
  pj.generations.clear();
  std::set<std::uint32_t> wanted;
  for (const auto& c : job->grants.value.chunks) {
    if (c.shard != id_) continue;
    pj.generations.insert(c.generation);
    if (c.term > term_) continue;  // meant for a later owner
    Ranges tasks = c.tasks;
    tasks.remove(state_store::released_tasks(pj.recorded, c.generation));
    tasks.remove(pj.recorded.done);
    for (auto [first, last] : tasks.spans())
      for (auto n = first; n < last; ++n) {
        wanted.insert(n);
        auto [it, fresh] = pj.granted_tasks.try_emplace(n);
        auto& granted_task = it->second;
        if (!fresh && granted_task.generation == c.generation) continue;
        granted_task = {};
        granted_task.generation = c.generation;
        granted_task.earlier = c.term < term_;
        granted_task.preempt = c.preempt;
        granted_task.zone = c.zone;
        granted_task.attempt = c.gang_attempt;
        granted_task.since = now;
        granted_task.status = granted_task.earlier && !reconciled_
                                  ? GrantedTask::Status::kAwaitingReconciliation
                                  : GrantedTask::Status::kWaiting;
        wait(id);
      }
  }
  std::erase_if(pj.granted_tasks, [&](const auto& s) { return !wanted.contains(s.first); });
  each_listed(id, [&](Machine& m, const TaskKey& key, MachineTask& t) {
    mark_for_dispatch(m);  // what it ended with may be recorded now, or the job be over
    m.may_have_orphans = true;
    if (!t.spec) {
      t.spec = pj.record.spec;
      m.changed();
    }
    if (live(t)) {
      adopt(m, key, t, now);
      if (end == state_store::TerminalState::kCancelled) stop(m, t, 0);
      if (pj.revoked) stop(m, t, pj.record.spec->save_s);
    } else if (t.cause == protocol::EndCause::kDone) {
      auto* granted_task = find_granted_task(key.first);
      if (granted_task && granted_task->status != GrantedTask::Status::kReleased &&
          granted_task->status != GrantedTask::Status::kDone) {
        granted_task->status = GrantedTask::Status::kDone;
        pj.mark();
      }
    }
  });
  pj.dirty = true;
  if (pj.granted_tasks.empty() && pj.generations.empty()) erase_job(id);
}

// In this shard the job has the priority of the jobs that need it, as the leader granted it.
void ShardManager::set_record(ShardJob& pj, const state_store::Job& job) const {
  auto priority = job.record.spec->priority;
  for (const auto& c : job.grants.value.chunks)
    if (c.shard == id_ && c.priority) priority = std::max(priority, *c.priority);
  pj.record.submitted = job.record.submitted;
  if (pj.record.spec && pj.record.spec->priority == priority) return;
  pj.record.spec = job.record.spec;
  if (priority == job.record.spec->priority) return;
  auto raised = *job.record.spec;
  raised.priority = priority;
  pj.record.spec = std::make_shared<const protocol::JobSpec>(std::move(raised));
}

state_store::Progress ShardManager::progress_of(const ShardJob& job) const {
  state_store::Progress p;
  p.done = job.recorded.done;
  for (const auto& r : job.recorded.released)
    if (job.generations.contains(r.generation)) p.released.push_back(r);
  for (const auto& [n, granted_task] : job.granted_tasks) {
    if (granted_task.status == GrantedTask::Status::kDone) p.done.add(n);
    if (granted_task.status != GrantedTask::Status::kReleased) continue;
    auto it = std::find_if(
        p.released.begin(), p.released.end(),
        [&granted_task = granted_task](const auto& r) { return r.generation == granted_task.generation; });
    if (it == p.released.end()) it = p.released.insert(p.released.end(), {granted_task.generation, {}});
    it->tasks.add(n);
  }
  return p;
}

std::map<JobId, state_store::Progress> ShardManager::unwritten_progress() {
  std::map<JobId, state_store::Progress> out;
  for (auto& [id, job] : jobs_) {
    if (!job.dirty) continue;
    auto p = progress_of(job);
    bool news = std::any_of(job.granted_tasks.begin(), job.granted_tasks.end(), [](const auto& s) {
      return s.second.status == GrantedTask::Status::kDone ||
             s.second.status == GrantedTask::Status::kReleased;
    });
    job.dirty = news && p != job.recorded;  // until it's seen as written
    if (job.dirty) out[id] = std::move(p);
  }
  return out;
}

std::vector<protocol::JobProgress> ShardManager::progress_report(bool all) {
  std::vector<protocol::JobProgress> out;
  for (auto& [id, job] : jobs_) {
    if (!job.unacknowledged && !(all && job.dirty)) continue;
    job.unacknowledged = false;
    auto p = progress_of(job);
    auto verdict = std::exchange(job.verdict, protocol::JobHealth::kNone);
    if (p != job.recorded || verdict != protocol::JobHealth::kNone)
      out.push_back({id, std::move(p.done), std::move(p.released), verdict});
  }
  return out;
}

bool ShardManager::holds_no_tasks_of(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ||
         std::all_of(it->second.granted_tasks.begin(), it->second.granted_tasks.end(), [](const auto& s) {
           return s.second.status == GrantedTask::Status::kDone ||
                  s.second.status == GrantedTask::Status::kReleased;
         });
}

// ---------------------------------------------------------------- time

void ShardManager::tick(Instant now, Instant word, Instant read) {
  check_reconciled(now);
  if (now - timeouts_checked_ >= kTimeoutCheckPeriod) {
    timeouts_checked_ = now;
    check_leases(now, read);
    check_reclaim_notices(now);
    check_gangs(now);
    probe_late(now);
    for (auto& [name, m] : machines_)
      if (m.retry_at && now >= *m.retry_at) mark_for_dispatch(m);
  }
  if (now - orphans_checked_ >= kOrphanCheckPeriod) stop_orphaned_tasks(now, read);
  // Starting a task needs recent word of cancellations, well inside the time that they have.
  if (now - word < params_.cancel_limit / 4) place_all(now);
  release_unplaced(now);
}

// ---------------------------------------------------------------- questions

protocol::CapacityByZone ShardManager::estimate(const protocol::ResourceRequest& s, Instant now) const {
  visited_count_ += machines_.size();
  auto rooms = shard::estimate(machines_, s, params_.rules, now);
  if (s.each.cpus <= 0) return rooms;
  // Tasks that wait here already will take their room first.
  double waiting = 0;
  for (const auto& id : waiting_) {
    const auto& job = jobs_.at(id);
    if (job.end || job.record.spec->priority < s.priority) continue;
    for (const auto& [n, granted_task] : job.granted_tasks)
      if (granted_task.status == GrantedTask::Status::kWaiting) waiting += job.record.spec->each.cpus;
  }
  auto taken = static_cast<std::uint32_t>(std::ceil(waiting / s.each.cpus - 1e-9));
  for (auto& z : rooms) {
    auto n = std::min(taken, z.free);
    z.free -= n;
    z.warm = std::min(z.warm, z.free);
    taken -= n;
  }
  return rooms;
}

protocol::Summary ShardManager::summary(Instant now) const {
  protocol::Summary s{id_, term_, {}, {}, {}};
  std::map<JobId, std::uint32_t> running;
  for (const auto& [name, m] : machines_) {
    double idle = m.tasks.empty() ? to_seconds(now - m.idle_since) : 0;
    s.machines.push_back({name, m.type, m.zone, m.spot, m.total - m.used(), idle, m.usable(now)});
    for (const auto& [key, t] : m.tasks)
      if (t.state == TaskState::kRunning || t.state == TaskState::kSaving) ++running[key.first.job];
  }
  for (const auto& [id, n] : running) s.running.push_back({id, n});
  return s;
}

std::uint32_t ShardManager::running(const JobId& id) const {
  std::uint32_t n = 0;
  each_listed(id,
              [&](Machine&, const TaskKey&, const MachineTask& t) { n += t.state == TaskState::kRunning; });
  return n;
}

}  // namespace beaconsill::shard
