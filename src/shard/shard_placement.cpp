// Placement: which task goes where, and what makes room for it.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "shard/shard_manager.h"

namespace beaconsill::shard {

using protocol::TaskState;

void ShardManager::place_all(Instant now) {
  std::vector<std::pair<JobId, ShardJob*>> waiting;
  for (auto w = waiting_.begin(); w != waiting_.end();) {
    auto& job = jobs_.at(*w);
    bool waits = std::any_of(job.granted_tasks.begin(), job.granted_tasks.end(),
                             [](const auto& s) { return s.second.status == GrantedTask::Status::kWaiting; });
    if (waits && !job.end && !in_crash_loop_backoff(*w, now)) waiting.emplace_back(*w, &job);
    w = waits ? std::next(w) : waiting_.erase(w);
  }
  if (waiting.empty()) return;
  auto due = [](const ShardJob& j) {
    return j.record.submitted.value() +
           static_cast<std::int64_t>(j.record.spec->deadline_s.value_or(3600) * 1000);
  };
  std::sort(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) {
    auto pa = a.second->record.spec->priority, pb = b.second->record.spec->priority;
    if (pa != pb) return pa > pb;
    return due(*a.second) < due(*b.second);
  });
  // Of equal priority, those go first that find their image: a task that fetches holds its place for far
  // longer, and would take the place of one that doesn't have to.
  Pass pass{now, {}, {}, {}};
  visited_count_ += machines_.size();
  for (auto& [name, m] : machines_)
    if (m.usable(now) && has_capacity(m, params_.rules)) pass.open.push_back(&m);
  for (auto first = waiting.begin(); first != waiting.end();) {
    auto priority = first->second->record.spec->priority;
    auto last = std::find_if(first, waiting.end(),
                             [&](const auto& w) { return w.second->record.spec->priority != priority; });
    for (bool warm : {true, false})
      for (auto w = first; w != last; ++w) place_job(w->first, *w->second, warm, pass);
    first = last;
  }
}

// A gang's share is placed as a whole or not at all, and once under each attempt.
void ShardManager::place_gang(const JobId& id, ShardJob& job, const std::vector<Machine*>& open,
                              Instant now) {
  bool ready =
      !job.revoked && std::all_of(job.granted_tasks.begin(), job.granted_tasks.end(), [](const auto& s) {
        return s.second.status == GrantedTask::Status::kWaiting && !s.second.started;
      });
  if (!ready) return;
  auto resource_request = request_of(*job.record.spec, 1);
  const auto avoid = failure_attribution_.failed_on(id, now);
  std::vector<std::pair<std::uint32_t, Machine*>> placed;
  for (auto& [n, granted_task] : job.granted_tasks) {
    auto fitting =
        choose_machines(open, resource_request, granted_task.zone, params_.rules, avoid, false, now);
    if (fitting.empty()) break;
    start(*fitting.front(), {id, n}, job, granted_task, now);
    placed.emplace_back(n, fitting.front());
  }
  if (placed.size() == job.granted_tasks.size()) return;
  for (auto [n, m] : placed) {
    auto& granted_task = job.granted_tasks.at(n);
    drop(*m, m->tasks.find({TaskId{id, n}, granted_task.attempt}));
    m->changed();
    granted_task.status = GrantedTask::Status::kWaiting;
    granted_task.started = false;
  }
}

// A gang that lost a task here starts anew under its next attempt only: what is left of this one is stopped,
// the others notice by themselves.
void ShardManager::check_gangs(Instant) {
  for (const auto& id : gangs_) {
    auto& job = jobs_.at(id);
    bool lost = std::any_of(job.granted_tasks.begin(), job.granted_tasks.end(), [](const auto& s) {
      return s.second.status == GrantedTask::Status::kWaiting && s.second.started;
    });
    if (!lost) continue;
    for (auto& [n, granted_task] : job.granted_tasks) {
      if (granted_task.status != GrantedTask::Status::kPlaced) continue;
      auto m = machines_.find(granted_task.machine);
      if (m == machines_.end()) continue;
      auto t = m->second.tasks.find({TaskId{id, n}, granted_task.attempt});
      if (t == m->second.tasks.end() || t->second.state == TaskState::kSaving) continue;
      // A running task may yet complete or exit by itself with its mates; one that waits would do so for
      // long.
      if (t->second.state == TaskState::kWaiting || t->second.state == TaskState::kFetching)
        stop(m->second, t->second, 0);
    }
  }
}

// Whether room is still being made for it, on its target.
bool ShardManager::making_room(const GrantedTask& granted_task, Instant now) const {
  return granted_task.status == GrantedTask::Status::kWaiting && granted_task.target &&
         now - granted_task.since < params_.heartbeat_period;
}

void ShardManager::place_job(const JobId& id, ShardJob& job, bool warm, Pass& pass) {
  auto now = pass.now;
  if (job.record.spec->kind == JobKind::kGang) {
    if (!warm) place_gang(id, job, pass.open, now);
    return;
  }
  auto resource_request = request_of(*job.record.spec, 1);
  // One that needs no less, and may use no other machines, won't fit either.
  auto no_room = [&](const std::optional<Zone>& z) {
    return std::any_of(pass.full.begin(), pass.full.end(), [&](const auto& f) {
      const auto& s = f.first;
      return f.second == z && s.image == resource_request.image && s.types == resource_request.types &&
             s.zone == resource_request.zone && s.spot == resource_request.spot &&
             s.priority == resource_request.priority && s.each.cpus <= resource_request.each.cpus &&
             s.each.gpus <= resource_request.each.gpus && s.each.memory_gb <= resource_request.each.memory_gb;
    });
  };
  const auto avoid = failure_attribution_.failed_on(id, now);
  const bool fails = failure_attribution_.job_fails(id, now);
  // The best first. They are looked for once: what is placed makes the first one fuller, and so only better,
  // until it has no room left.
  std::vector<Machine*> fitting;
  std::size_t at = 0;
  std::optional<Zone> looked_in;
  bool looked = false;
  auto best = [&](const std::optional<Zone>& zone) -> Machine* {
    if (!looked || looked_in != zone) {
      visited_count_ += pass.open.size();
      fitting = choose_machines(pass.open, resource_request, zone, params_.rules, avoid, warm, now);
      looked = true;
      looked_in = zone;
      at = 0;
    }
    while (at < fitting.size() && available_tasks(*fitting[at], resource_request, params_.rules, false) == 0)
      ++at;
    return at < fitting.size() ? fitting[at] : nullptr;
  };
  for (auto& [n, granted_task] : job.granted_tasks) {
    if (granted_task.status != GrantedTask::Status::kWaiting) continue;
    if (!warm && !granted_task.preempt && !granted_task.target && no_room(granted_task.zone)) continue;
    auto* m = best(granted_task.zone);
    if (warm && !m) {
      if (!granted_task.zone) return;
      continue;
    }
    TaskId task{id, n};
    // A guard against every mistake above: what any machine still lists is not started.
    if (on_some_machine(task)) continue;
    // Where room is being made for it, and the image is, it starts sooner than anywhere else.
    if (making_room(granted_task, now)) {
      auto it = machines_.find(*granted_task.target);
      if (it != machines_.end() && it->second.usable(now)) {
        if (available_tasks(it->second, resource_request, params_.rules, false) == 0) continue;
        if (pass.promised) (*pass.promised)[it->first] -= resource_request.each;
        start(it->second, task, job, granted_task, now);
        if (fails) return;
        continue;
      }
    }
    if (granted_task.preempt) {
      bool cold = !m || !m->images.has(resource_request.image);
      if (cold && preempt_for(job, granted_task, true, pass)) continue;
      if (!m && preempt_for(job, granted_task, false, pass)) continue;
    }
    if (!m) {
      // A job that failed on machines avoids them: that they have no room for it says nothing of others.
      if (!avoid.empty()) break;
      pass.full.emplace_back(resource_request, granted_task.zone);
      continue;
    }
    start(*m, task, job, granted_task, now);
    if (fails) return;
  }
}

// Found on days with jobs submitted with a mistake: each of their hundreds of tasks was started again and
// again. One task at a time shows as much.
bool ShardManager::in_crash_loop_backoff(const JobId& id, Instant now) const {
  if (!failure_attribution_.job_fails(id, now)) return false;
  if (now < failure_attribution_.retry_at(id)) return true;
  bool tried = false;
  each_listed(id, [&](const Machine&, const TaskKey&, const MachineTask& t) { tried = tried || live(t); });
  return tried;
}

bool ShardManager::on_some_machine(const TaskId& id) const {
  auto w = where_.find(id);
  if (w == where_.end()) return false;
  bool found = false;
  each_listed(*w, [&](Machine&, const TaskKey&, const MachineTask& t) { found = found || live(t); });
  return found;
}

void ShardManager::start(Machine& m, const TaskId& id, const ShardJob& job, GrantedTask& granted_task,
                         Instant now) {
  granted_task.status = GrantedTask::Status::kPlaced;
  granted_task.started = true;
  granted_task.machine = m.name;
  if (job.record.spec->kind != JobKind::kGang) granted_task.attempt = Attempt(next_attempt_++);
  auto& t = put(m, {id, granted_task.attempt}).first;
  t = {};
  t.start = MachineTask::Start::kQueued;
  t.spec = job.record.spec;
  t.since = now;
  m.changed();
  m.idle_since = now;
  mark_for_dispatch(m);
}

// Makes room for one task of higher priority by stopping the work that loses least.
bool ShardManager::preempt_for(const ShardJob& job, GrantedTask& granted_task, bool warm, Pass& pass) {
  auto now = pass.now;
  auto resource_request = request_of(*job.record.spec, 1);
  // Room that is being made for other tasks is theirs.
  if (!pass.promised) {
    pass.promised.emplace();
    for (const auto& id : waiting_) {
      const auto& other = jobs_.at(id);
      if (other.end) continue;
      for (const auto& [n, s] : other.granted_tasks)
        if (making_room(s, now)) (*pass.promised)[*s.target] += other.record.spec->each;
    }
  }
  Machine* best = nullptr;
  std::vector<MachineTask*> best_victims;
  double best_cost = 0;
  for (auto& [name, m] : machines_) {
    if (!m.usable(now) || !allowed(resource_request, m.type, m.zone, m.spot) ||
        (granted_task.zone && *granted_task.zone != m.zone))
      continue;
    if (!accepts_image_state(image_state(m, resource_request.image), warm) ||
        available_tasks(m, resource_request, params_.rules, true) == 0)
      continue;
    std::vector<MachineTask*> lower;
    Resources idle = m.total - m.used();
    if (auto p = pass.promised->find(name); p != pass.promised->end()) idle -= p->second;
    for (auto& [key, t] : m.tasks) {
      // Gangs are spared: one task less stops them all.
      if (!live(t) || !t.spec || t.spec->priority >= resource_request.priority ||
          t.spec->kind == JobKind::kGang)
        continue;
      if (t.stop_grace) {
        idle += t.spec->each;  // on its way out already
      } else if (t.start == MachineTask::Start::kAcknowledged) {
        lower.push_back(&t);
      }
    }
    auto lost = [now](const MachineTask* t) {
      double ran = t->running_since ? to_seconds(now - *t->running_since) : 0;
      if (t->spec->checkpoint_s > 0) ran = std::min(ran, t->spec->checkpoint_s);
      return ran * t->spec->each.cpus;
    };
    std::sort(lower.begin(), lower.end(), [&](auto* a, auto* b) { return lost(a) < lost(b); });
    std::vector<MachineTask*> victims;
    double cost = 0;
    for (auto* t : lower) {
      if (fits(idle, resource_request.each) > 0) break;
      idle += t->spec->each;
      cost += lost(t);
      victims.push_back(t);
    }
    if (fits(idle, resource_request.each) == 0) continue;
    if (!best || cost < best_cost) {
      best = &m;
      best_cost = cost;
      best_victims = std::move(victims);
    }
  }
  if (!best) return false;
  for (auto* t : best_victims) stop(*best, *t, t->spec->checkpoint_s > 0 ? t->spec->save_s : 0);
  granted_task.preempt = false;
  granted_task.target = best->name;
  granted_task.since = now;
  (*pass.promised)[best->name] += resource_request.each;
  return true;
}

void ShardManager::release_unplaced(Instant now) {
  for (const auto& id : waiting_) {
    auto& job = jobs_.at(id);
    for (auto& [n, granted_task] : job.granted_tasks) {
      if (granted_task.status != GrantedTask::Status::kWaiting) continue;
      if (!job.end && !job.revoked && now - granted_task.since < params_.heartbeat_period) continue;
      granted_task.status = GrantedTask::Status::kReleased;
      job.mark();
    }
  }
}

}  // namespace beaconsill::shard
