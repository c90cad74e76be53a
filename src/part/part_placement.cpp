// Placement: which task goes where, and what makes room for it.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "part/part.h"

namespace beaconsill::part {

using wire::TaskState;

void Part::place_all(Instant now) {
  std::vector<std::pair<JobId, PartJob*>> waiting;
  for (auto w = waiting_.begin(); w != waiting_.end();) {
    auto& job = jobs_.at(*w);
    bool waits = std::any_of(job.slots.begin(), job.slots.end(),
                             [](const auto& s) { return s.second.status == Slot::Status::kWaiting; });
    if (waits && !job.end && !held_back(*w, now)) waiting.emplace_back(*w, &job);
    w = waits ? std::next(w) : waiting_.erase(w);
  }
  if (waiting.empty()) return;
  auto due = [](const PartJob& j) {
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
  effort_ += machines_.size();
  for (auto& [name, m] : machines_)
    if (m.usable(now) && has_room(m, params_.rules)) pass.open.push_back(&m);
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
void Part::place_gang(const JobId& id, PartJob& job, const std::vector<Machine*>& open, Instant now) {
  bool ready = !job.recalled && std::all_of(job.slots.begin(), job.slots.end(), [](const auto& s) {
    return s.second.status == Slot::Status::kWaiting && !s.second.started;
  });
  if (!ready) return;
  auto shape = shape_of(*job.record.spec, 1);
  const auto avoid = evidence_.failed_on(id, now);
  std::vector<std::pair<std::uint32_t, Machine*>> placed;
  for (auto& [n, slot] : job.slots) {
    auto fitting = choose_machines(open, shape, slot.zone, params_.rules, avoid, false, now);
    if (fitting.empty()) break;
    start(*fitting.front(), {id, n}, job, slot, now);
    placed.emplace_back(n, fitting.front());
  }
  if (placed.size() == job.slots.size()) return;
  for (auto [n, m] : placed) {
    auto& slot = job.slots.at(n);
    drop(*m, m->tasks.find({TaskId{id, n}, slot.attempt}));
    m->changed();
    slot.status = Slot::Status::kWaiting;
    slot.started = false;
  }
}

// A gang that lost a task here starts anew under its next attempt only: what is left of this one is stopped,
// the others notice by themselves.
void Part::check_gangs(Instant) {
  for (const auto& id : gangs_) {
    auto& job = jobs_.at(id);
    bool lost = std::any_of(job.slots.begin(), job.slots.end(), [](const auto& s) {
      return s.second.status == Slot::Status::kWaiting && s.second.started;
    });
    if (!lost) continue;
    for (auto& [n, slot] : job.slots) {
      if (slot.status != Slot::Status::kPlaced) continue;
      auto m = machines_.find(slot.machine);
      if (m == machines_.end()) continue;
      auto t = m->second.tasks.find({TaskId{id, n}, slot.attempt});
      if (t == m->second.tasks.end() || t->second.state == TaskState::kSaving) continue;
      // A running task may yet complete or exit by itself with its mates; one that waits would do so for
      // long.
      if (t->second.state == TaskState::kWaiting || t->second.state == TaskState::kFetching)
        stop(m->second, t->second, 0);
    }
  }
}

// Whether room is still being made for it, on its target.
bool Part::making_room(const Slot& slot, Instant now) const {
  return slot.status == Slot::Status::kWaiting && slot.target && now - slot.since < params_.report_period;
}

void Part::place_job(const JobId& id, PartJob& job, bool warm, Pass& pass) {
  auto now = pass.now;
  if (job.record.spec->kind == JobKind::kGang) {
    if (!warm) place_gang(id, job, pass.open, now);
    return;
  }
  auto shape = shape_of(*job.record.spec, 1);
  // One that needs no less, and may use no other machines, won't fit either.
  auto no_room = [&](const std::optional<Zone>& z) {
    return std::any_of(pass.full.begin(), pass.full.end(), [&](const auto& f) {
      const auto& s = f.first;
      return f.second == z && s.image == shape.image && s.types == shape.types && s.zone == shape.zone &&
             s.spot == shape.spot && s.priority == shape.priority && s.each.cpus <= shape.each.cpus &&
             s.each.gpus <= shape.each.gpus && s.each.memory_gb <= shape.each.memory_gb;
    });
  };
  const auto avoid = evidence_.failed_on(id, now);
  const bool fails = evidence_.job_fails(id, now);
  // The best first. They are looked for once: what is placed makes the first one fuller, and so only better,
  // until it has no room left.
  std::vector<Machine*> fitting;
  std::size_t at = 0;
  std::optional<Zone> looked_in;
  bool looked = false;
  auto best = [&](const std::optional<Zone>& zone) -> Machine* {
    if (!looked || looked_in != zone) {
      effort_ += pass.open.size();
      fitting = choose_machines(pass.open, shape, zone, params_.rules, avoid, warm, now);
      looked = true;
      looked_in = zone;
      at = 0;
    }
    while (at < fitting.size() && room_on(*fitting[at], shape, params_.rules, false) == 0) ++at;
    return at < fitting.size() ? fitting[at] : nullptr;
  };
  for (auto& [n, slot] : job.slots) {
    if (slot.status != Slot::Status::kWaiting) continue;
    if (!warm && !slot.preempt && !slot.target && no_room(slot.zone)) continue;
    auto* m = best(slot.zone);
    if (warm && !m) {
      if (!slot.zone) return;
      continue;
    }
    TaskId task{id, n};
    // A guard against every mistake above: what any machine still lists is not started.
    if (on_some_machine(task)) continue;
    // Where room is being made for it, and the image is, it starts sooner than anywhere else.
    if (making_room(slot, now)) {
      auto it = machines_.find(*slot.target);
      if (it != machines_.end() && it->second.usable(now)) {
        if (room_on(it->second, shape, params_.rules, false) == 0) continue;
        if (pass.promised) (*pass.promised)[it->first] -= shape.each;
        start(it->second, task, job, slot, now);
        if (fails) return;
        continue;
      }
    }
    if (slot.preempt) {
      bool cold = !m || !m->images.has(shape.image);
      if (cold && preempt_for(job, slot, true, pass)) continue;
      if (!m && preempt_for(job, slot, false, pass)) continue;
    }
    if (!m) {
      // A job that failed on machines avoids them: that they have no room for it says nothing of others.
      if (!avoid.empty()) break;
      pass.full.emplace_back(shape, slot.zone);
      continue;
    }
    start(*m, task, job, slot, now);
    if (fails) return;
  }
}

// Found on days with jobs submitted with a mistake: each of their hundreds of tasks was started again and
// again. One task at a time shows as much.
bool Part::held_back(const JobId& id, Instant now) const {
  if (!evidence_.job_fails(id, now)) return false;
  if (now < evidence_.retry_at(id)) return true;
  bool tried = false;
  each_listed(id, [&](const Machine&, const TaskKey&, const TaskOn& t) { tried = tried || live(t); });
  return tried;
}

bool Part::on_some_machine(const TaskId& id) const {
  auto w = where_.find(id);
  if (w == where_.end()) return false;
  bool found = false;
  each_listed(*w, [&](Machine&, const TaskKey&, const TaskOn& t) { found = found || live(t); });
  return found;
}

void Part::start(Machine& m, const TaskId& id, const PartJob& job, Slot& slot, Instant now) {
  slot.status = Slot::Status::kPlaced;
  slot.started = true;
  slot.machine = m.name;
  if (job.record.spec->kind != JobKind::kGang) slot.attempt = Attempt(next_attempt_++);
  auto& t = put(m, {id, slot.attempt}).first;
  t = {};
  t.start = TaskOn::Start::kQueued;
  t.spec = job.record.spec;
  t.since = now;
  m.changed();
  m.idle_since = now;
  touch(m);
}

// Makes room for one task of higher priority by stopping the work that loses least.
bool Part::preempt_for(const PartJob& job, Slot& slot, bool warm, Pass& pass) {
  auto now = pass.now;
  auto shape = shape_of(*job.record.spec, 1);
  // Room that is being made for other tasks is theirs.
  if (!pass.promised) {
    pass.promised.emplace();
    for (const auto& id : waiting_) {
      const auto& other = jobs_.at(id);
      if (other.end) continue;
      for (const auto& [n, s] : other.slots)
        if (making_room(s, now)) (*pass.promised)[*s.target] += other.record.spec->each;
    }
  }
  Machine* best = nullptr;
  std::vector<TaskOn*> best_victims;
  double best_cost = 0;
  for (auto& [name, m] : machines_) {
    if (!m.usable(now) || !allowed(shape, m.type, m.zone, m.spot) || (slot.zone && *slot.zone != m.zone))
      continue;
    if (!suits(image_on(m, shape.image), warm) || room_on(m, shape, params_.rules, true) == 0) continue;
    std::vector<TaskOn*> lower;
    Resources idle = m.total - m.used();
    if (auto p = pass.promised->find(name); p != pass.promised->end()) idle -= p->second;
    for (auto& [key, t] : m.tasks) {
      // Gangs are spared: one task less stops them all.
      if (!live(t) || !t.spec || t.spec->priority >= shape.priority || t.spec->kind == JobKind::kGang)
        continue;
      if (t.stop_grace) {
        idle += t.spec->each;  // on its way out already
      } else if (t.start == TaskOn::Start::kSettled) {
        lower.push_back(&t);
      }
    }
    auto lost = [now](const TaskOn* t) {
      double ran = t->running_since ? to_seconds(now - *t->running_since) : 0;
      if (t->spec->checkpoint_s > 0) ran = std::min(ran, t->spec->checkpoint_s);
      return ran * t->spec->each.cpus;
    };
    std::sort(lower.begin(), lower.end(), [&](auto* a, auto* b) { return lost(a) < lost(b); });
    std::vector<TaskOn*> victims;
    double cost = 0;
    for (auto* t : lower) {
      if (fits(idle, shape.each) > 0) break;
      idle += t->spec->each;
      cost += lost(t);
      victims.push_back(t);
    }
    if (fits(idle, shape.each) == 0) continue;
    if (!best || cost < best_cost) {
      best = &m;
      best_cost = cost;
      best_victims = std::move(victims);
    }
  }
  if (!best) return false;
  for (auto* t : best_victims) stop(*best, *t, t->spec->checkpoint_s > 0 ? t->spec->save_s : 0);
  slot.preempt = false;
  slot.target = best->name;
  slot.since = now;
  (*pass.promised)[best->name] += shape.each;
  return true;
}

void Part::give_back(Instant now) {
  for (const auto& id : waiting_) {
    auto& job = jobs_.at(id);
    for (auto& [n, slot] : job.slots) {
      if (slot.status != Slot::Status::kWaiting) continue;
      if (!job.end && !job.recalled && now - slot.since < params_.report_period) continue;
      slot.status = Slot::Status::kReturned;
      job.mark();
    }
  }
}

}  // namespace beaconsill::part
