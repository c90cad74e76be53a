#include "part/part.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::part {

using wire::TaskState;

namespace {
// What only the passing of time brings about is looked for so often: some hundred events a second would
// otherwise go through all machines each.
constexpr Duration kLook = std::chrono::milliseconds(100);
constexpr Duration kStrayCheck = std::chrono::milliseconds(500);
}  // namespace

Part::Part(PartId id, Term term, PartParams params, Instant now)
    : id_(id),
      term_(term),
      params_(params),
      began_(now),
      next_attempt_((term.value() << Token::kFenceBits) + 1) {}

void Part::set_catalogue(std::shared_ptr<const wire::Catalogue> c) {
  catalogue_ = std::move(c);
  for (auto& [name, m] : machines_) set_type(m);
}

void Part::set_type(Machine& m) {
  if (!catalogue_) return;
  auto it = catalogue_->find(m.type);
  if (it == catalogue_->end()) return;
  m.total = it->second.total;
  m.images.set_capacity(it->second.cache_gb);
  m.type_known = true;
}

Machine* Part::find_machine(const MachineName& name) {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

Part::PartJob* Part::find_job(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Part::Slot* Part::find_slot(const TaskId& id) {
  auto* job = find_job(id.job);
  if (!job) return nullptr;
  auto it = job->slots.find(id.index);
  return it == job->slots.end() ? nullptr : &it->second;
}

std::pair<TaskOn&, bool> Part::put(Machine& m, const TaskKey& key) {
  auto [it, fresh] = m.tasks.try_emplace(key);
  if (fresh) {
    where_[key.first].push_back(&m);
    m.strays = true;
  }
  return {it->second, fresh};
}

std::map<TaskKey, TaskOn>::iterator Part::drop(Machine& m, std::map<TaskKey, TaskOn>::iterator t) {
  auto w = where_.find(t->first.first);
  w->second.erase(std::find(w->second.begin(), w->second.end(), &m));
  if (w->second.empty()) where_.erase(w);
  return m.tasks.erase(t);
}

void Part::touch(Machine& m) {
  if (m.touched) return;
  m.touched = true;
  touched_.push_back(&m);
}

void Part::erase_job(const JobId& id) {
  waiting_.erase(id);
  gangs_.erase(id);
  jobs_.erase(id);
  mark_strays(id);
}

void Part::mark_strays(const JobId& id) {
  each_listed(id, [](Machine& m, const TaskKey&, TaskOn&) { m.strays = true; });
}

// What the task ended with is recorded, or of no use to anybody.
bool Part::durable(const TaskId& id) const {
  auto it = jobs_.find(id.job);
  if (it == jobs_.end()) return false;
  return it->second.end || it->second.recorded.done.contains(id.index);
}

// ---------------------------------------------------------------- jobs

void Part::on_job(const JobId& id, const store::Job* job, std::optional<store::End> end, Instant now) {
  if (!job) return erase_job(id);
  if (!job->record.spec) {
    if (auto* known = find_job(id); known && end) {
      known->end = end;
      mark_strays(id);
    }
    return;
  }
  bool ours = std::any_of(job->grants.value.chunks.begin(), job->grants.value.chunks.end(),
                          [&](const auto& c) { return c.part == id_; });
  if (!ours && !jobs_.contains(id)) return;
  auto& pj = jobs_[id];
  set_record(pj, *job);
  if (pj.record.spec->kind == JobKind::kGang) gangs_.insert(id);
  pj.end = end;
  auto recorded = job->progress.find(id_);
  pj.recorded = recorded == job->progress.end() ? store::Progress{} : recorded->second.value;
  pj.works = pj.works || std::any_of(job->progress.begin(), job->progress.end(),
                                     [](const auto& p) { return !p.second.value.done.empty(); });
  if (pj.works) evidence_.on_job_works(id);
  pj.recalled = job->grants.value.recall;
  pj.generations.clear();
  std::set<std::uint32_t> wanted;
  for (const auto& c : job->grants.value.chunks) {
    if (c.part != id_) continue;
    pj.generations.insert(c.generation);
    if (c.term > term_) continue;  // meant for a later owner
    Ranges tasks = c.tasks;
    tasks.remove(store::given_back(pj.recorded, c.generation));
    tasks.remove(pj.recorded.done);
    for (auto [first, last] : tasks.spans())
      for (auto n = first; n < last; ++n) {
        wanted.insert(n);
        auto [it, fresh] = pj.slots.try_emplace(n);
        auto& slot = it->second;
        if (!fresh && slot.generation == c.generation) continue;
        slot = {};
        slot.generation = c.generation;
        slot.earlier = c.term < term_;
        slot.preempt = c.preempt;
        slot.zone = c.zone;
        slot.attempt = c.gang_attempt;
        slot.since = now;
        slot.status = slot.earlier && !rebuilt_ ? Slot::Status::kHeld : Slot::Status::kWaiting;
        wait(id);
      }
  }
  std::erase_if(pj.slots, [&](const auto& s) { return !wanted.contains(s.first); });
  each_listed(id, [&](Machine& m, const TaskKey& key, TaskOn& t) {
    touch(m);  // what it ended with may be recorded now, or the job be over
    m.strays = true;
    if (!t.spec) {
      t.spec = pj.record.spec;
      m.changed();
    }
    if (live(t)) {
      adopt(m, key, t, now);
      if (end == store::End::kCancelled) stop(m, t, 0);
      if (pj.recalled) stop(m, t, pj.record.spec->save_s);
    } else if (t.cause == wire::EndCause::kDone) {
      auto* slot = find_slot(key.first);
      if (slot && slot->status != Slot::Status::kReturned && slot->status != Slot::Status::kDone) {
        slot->status = Slot::Status::kDone;
        pj.mark();
      }
    }
  });
  pj.dirty = true;
  if (pj.slots.empty() && pj.generations.empty()) erase_job(id);
}

// In this part the job has the priority of the jobs that need it, as the leader granted it.
void Part::set_record(PartJob& pj, const store::Job& job) const {
  auto priority = job.record.spec->priority;
  for (const auto& c : job.grants.value.chunks)
    if (c.part == id_ && c.priority) priority = std::max(priority, *c.priority);
  pj.record.submitted = job.record.submitted;
  if (pj.record.spec && pj.record.spec->priority == priority) return;
  pj.record.spec = job.record.spec;
  if (priority == job.record.spec->priority) return;
  auto raised = *job.record.spec;
  raised.priority = priority;
  pj.record.spec = std::make_shared<const wire::JobSpec>(std::move(raised));
}

store::Progress Part::progress_of(const PartJob& job) const {
  store::Progress p;
  p.done = job.recorded.done;
  for (const auto& r : job.recorded.returned)
    if (job.generations.contains(r.generation)) p.returned.push_back(r);
  for (const auto& [n, slot] : job.slots) {
    if (slot.status == Slot::Status::kDone) p.done.add(n);
    if (slot.status != Slot::Status::kReturned) continue;
    auto it = std::find_if(p.returned.begin(), p.returned.end(),
                           [&slot = slot](const auto& r) { return r.generation == slot.generation; });
    if (it == p.returned.end()) it = p.returned.insert(p.returned.end(), {slot.generation, {}});
    it->tasks.add(n);
  }
  return p;
}

std::map<JobId, store::Progress> Part::unwritten() {
  std::map<JobId, store::Progress> out;
  for (auto& [id, job] : jobs_) {
    if (!job.dirty) continue;
    auto p = progress_of(job);
    bool news = std::any_of(job.slots.begin(), job.slots.end(), [](const auto& s) {
      return s.second.status == Slot::Status::kDone || s.second.status == Slot::Status::kReturned;
    });
    job.dirty = news && p != job.recorded;  // until it's seen as written
    if (job.dirty) out[id] = std::move(p);
  }
  return out;
}

std::vector<wire::Outcome> Part::outcomes(bool all) {
  std::vector<wire::Outcome> out;
  for (auto& [id, job] : jobs_) {
    if (!job.untold && !(all && job.dirty)) continue;
    job.untold = false;
    auto p = progress_of(job);
    auto verdict = std::exchange(job.verdict, wire::Verdict::kNone);
    if (p != job.recorded || verdict != wire::Verdict::kNone)
      out.push_back({id, std::move(p.done), std::move(p.returned), verdict});
  }
  return out;
}

bool Part::finished_with(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ||
         std::all_of(it->second.slots.begin(), it->second.slots.end(), [](const auto& s) {
           return s.second.status == Slot::Status::kDone || s.second.status == Slot::Status::kReturned;
         });
}

// ---------------------------------------------------------------- time

void Part::tick(Instant now, Instant word, Instant read) {
  check_rebuilt(now);
  if (now - looked_ >= kLook) {
    looked_ = now;
    check_leases(now, read);
    check_notices(now);
    check_gangs(now);
    probe_late(now);
    for (auto& [name, m] : machines_)
      if (m.retry_at && now >= *m.retry_at) touch(m);
  }
  if (now - strays_checked_ >= kStrayCheck) stop_strays(now, read);
  // Starting a task needs recent word of cancellations, well inside the time that they have.
  if (now - word < params_.cancel_limit / 4) place_all(now);
  give_back(now);
}

// ---------------------------------------------------------------- questions

wire::ShapeRoom Part::estimate(const wire::Shape& s, Instant now) const {
  effort_ += machines_.size();
  auto rooms = part::estimate(machines_, s, params_.rules, now);
  if (s.each.cpus <= 0) return rooms;
  // Tasks that wait here already will take their room first.
  double waiting = 0;
  for (const auto& id : waiting_) {
    const auto& job = jobs_.at(id);
    if (job.end || job.record.spec->priority < s.priority) continue;
    for (const auto& [n, slot] : job.slots)
      if (slot.status == Slot::Status::kWaiting) waiting += job.record.spec->each.cpus;
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

wire::Summary Part::summary(Instant now) const {
  wire::Summary s{id_, term_, {}, {}, {}};
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

std::uint32_t Part::running(const JobId& id) const {
  std::uint32_t n = 0;
  each_listed(id, [&](Machine&, const TaskKey&, const TaskOn& t) { n += t.state == TaskState::kRunning; });
  return n;
}

}  // namespace beaconsill::part
