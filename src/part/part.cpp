#include "part/part.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::part {
namespace {

using wire::EndCause;
using wire::TaskState;

// Clocks drift apart by 0.05%; a lease is over for sure after this much more, and a margin for steps of
// timers.
constexpr double kDrift = 1.002;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(500);
constexpr Duration kProbeAgain = std::chrono::seconds(1);
// A worker waits 4 s for an answer to its report: after a longer pause it has most likely waited in vain.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(3900);
// For so many leases a whole zone that is silent is taken to be cut off rather than gone.
constexpr int kCutOffLeases = 2;
constexpr Duration kDeleteAgain = std::chrono::seconds(2);
// Left to a machine after a takeover: it's called on at once, but it may be there and not be in reach yet.
constexpr Duration kTakeoverPatience = std::chrono::seconds(2);
constexpr Duration kErrorMemory = std::chrono::seconds(60);
constexpr Duration kStrayPatience = std::chrono::seconds(2);
constexpr Duration kStrayCheck = std::chrono::milliseconds(500);
constexpr double kMaxBackoff = 30;
constexpr std::size_t kSickJobs = 2;     // so many jobs fail on a machine: it is the machine
constexpr std::size_t kBadMachines = 3;  // a job fails on so many machines: it is the job
constexpr Duration kPointAgain = std::chrono::seconds(20);
constexpr std::size_t kMaxCommands = 128;  // in one batch

bool live(const TaskOn& t) {
  return t.state != TaskState::kEnded;
}

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

// What the task ended with is recorded, or of no use to anybody.
bool Part::durable(const TaskId& id) const {
  auto it = jobs_.find(id.job);
  if (it == jobs_.end()) return false;
  return it->second.end || it->second.recorded.done.contains(id.index);
}

// ---------------------------------------------------------------- machines and reports

void Part::on_registry(const std::vector<store::MachineRecord>& records, Instant now) {
  registry_.clear();
  std::set<MachineName> written;
  for (const auto& r : records) {
    registry_[store::machine_bucket(r.name)].push_back(r);
    written.insert(r.name);
    if (gone_.contains(r.name)) continue;
    auto [it, fresh] = machines_.try_emplace(r.name);
    auto& m = it->second;
    if (fresh) {
      m.name = r.name;
      m.type = r.type;
      m.zone = r.zone;
      m.spot = r.spot;
      m.heard = now;
      m.idle_since = now;
      m.token = Token::first_of(term_);
      m.quiet = params_.report_period * 3;
      m.address = r.address;
      m.sick = r.sick;
      m.retry_at = now;
      set_type(m);
    }
  }
  for (auto& [name, m] : machines_) m.registered = written.contains(name);
  registry_known_ = registry_dirty_ = true;
  check_rebuilt(now);
}

std::map<std::uint32_t, std::vector<store::MachineRecord>> Part::unregistered() {
  std::map<std::uint32_t, std::vector<store::MachineRecord>> wanted, out;
  if (!registry_known_ || !registry_dirty_) return out;
  // One that has only been heard of by a report under an earlier term isn't added: it may be a late copy by a
  // machine that is gone, and would be waited for at the next takeover. Nothing is started there anyway.
  for (const auto& [name, m] : machines_)
    if (m.registered || m.reported)
      wanted[store::machine_bucket(name)].push_back({m.name, m.type, m.zone, m.spot, m.address, m.sick});
  for (std::uint32_t b = 0; b < store::kMachineBuckets; ++b) {
    auto it = registry_.find(b);
    auto have = it == registry_.end() ? std::vector<store::MachineRecord>{} : it->second;
    std::sort(have.begin(), have.end(), [](const auto& x, const auto& y) { return x.name < y.name; });
    if (have != wanted[b]) out[b] = wanted[b];
  }
  registry_dirty_ = !out.empty();  // until it's seen as written
  return out;
}

Machine& Part::machine(const wire::Report& r, Instant now) {
  auto [it, fresh] = machines_.try_emplace(r.machine);
  auto& m = it->second;
  if (fresh) {
    m.name = r.machine;
    m.idle_since = now;
    m.token = Token::first_of(term_);
    m.quiet = params_.report_period * 3;
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

Part::ReportAnswer Part::answer(const MachineName& name, Instant now) {
  auto& m = machines_.at(name);
  m.answered = now;
  ReportAnswer a{m.token, {}};
  if (m.channel != Machine::Channel::kFencing) return a;
  for (const auto& [key, t] : m.tasks)
    if (live(t) && t.stop_grace && a.commands.size() < kMaxCommands)
      a.commands.push_back({wire::Command::Op::kStop, key.first, key.second, *t.stop_grace});
  return a;
}

// A worker with running tasks that comes by way of another controller may be cut off from this one: pointed
// here first, it could lose its lease before it's back. It's answered at once and pointed here later, to try.
bool Part::point_here(const wire::Report& r, Instant now) {
  auto it = machines_.find(r.machine);
  bool busy =
      std::any_of(r.tasks.begin(), r.tasks.end(), [](const auto& t) { return t.state != TaskState::kEnded; });
  if (it == machines_.end() || !busy) return true;
  auto& m = it->second;
  if (m.redirected == Instant{}) {
    // Never here under this term: a takeover, most likely, and this node is in reach.
    if (m.heard_directly == Instant{}) {
      m.redirected = now;
      return true;
    }
    m.redirected = now;
    return false;
  }
  if (now - m.redirected < kPointAgain) return false;
  m.redirected = now;
  return true;
}

void Part::supersede(Term t) {
  if (t > term_) superseded_ = true;
}

bool Part::take_report(const wire::Report& r, bool hears, Instant now) {
  if (gone_.contains(r.machine)) return false;
  if (r.token.term() > term_) {
    if (!superseded_)
      spdlog::info("part {}: {} has seen term {}, ours is {}", id_.value(), r.machine.value(),
                   r.token.term().value(), term_.value());
    superseded_ = true;
    return false;
  }
  auto& m = machine(r, now);
  if (!r.newer_than(m.session, m.sequence)) {
    spdlog::debug("{}: stale report {}/{} dropped", m.name.value(), r.session.value(), r.sequence.value());
    return false;
  }
  bool lost = r.session != m.session;
  if (lost) {
    if (!m.tasks.empty())
      spdlog::info("{}: its lease ran out, {} tasks are lost", m.name.value(), m.tasks.size());
    lose_all(m, now);
  }
  bool waited = m.answered >= m.heard && now - m.heard >= kAnswerPatience;
  m.session = r.session;
  m.sequence = r.sequence;
  m.heard = now;
  m.token = std::max(m.token, r.token);
  // It reports, but its lease ran out, or it made a pause as one does that waits for an answer.
  if (m.reported && !hears && (lost || waited)) doubt(m, now);
  if (!m.reported && r.token >= Token::first_of(term_)) {
    m.reported = registry_dirty_ = true;
    m.retry_at.reset();
  }
  if (r.notice_s) {
    auto at = now + from_seconds(*r.notice_s);
    if (!m.taken_at) spdlog::info("{}: to be taken back in {:.1f} s", m.name.value(), *r.notice_s);
    m.taken_at = at;
  } else {
    m.taken_at.reset();
  }
  // The worker obeys nothing older than the fence any more: what had no answer is there, or never will be.
  if (m.channel == Machine::Channel::kFencing && r.token >= m.token) settle(m, now);

  std::set<TaskKey> listed;
  for (const auto& t : r.tasks) {
    TaskKey key{t.task, t.attempt};
    listed.insert(key);
    auto [it, fresh] = m.tasks.try_emplace(key);
    if (fresh) {
      it->second.since = now;
      if (auto* job = find_job(t.task.job)) it->second.spec = job->record.spec;
    }
    update(m, key, it->second, t, now);
  }
  for (auto it = m.tasks.begin(); it != m.tasks.end();) {
    // A start that isn't settled may still be carried out: its absence from a report proves nothing.
    if (it->second.start != TaskOn::Start::kSettled || listed.contains(it->first)) {
      ++it;
      continue;
    }
    auto key = it->first;
    it = m.tasks.erase(it);
    requeue(key, now);
  }
  m.changed();
  if (m.live_tasks() > 0) m.idle_since = now;
  check_rebuilt(now);
  return true;
}

void Part::update(Machine& m, const TaskKey& key, TaskOn& t, const wire::TaskReport& r, Instant now) {
  bool was_live = live(t) || t.since == now;
  t.start = TaskOn::Start::kSettled;
  t.state = r.state;
  t.cause = r.cause;
  t.saved = r.saved;
  if (r.state == TaskState::kRunning && !t.running_since) {
    t.running_since = now;
    spdlog::debug("{}: {} runs, {:.2f} s after it was placed", m.name.value(), wire::task_name(key.first),
                  to_seconds(now - t.since));
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
void Part::adopt(Machine& m, const TaskKey& key, TaskOn& t, Instant) {
  auto* slot = find_slot(key.first);
  if (!slot) return;
  if (slot->status == Slot::Status::kHeld || slot->status == Slot::Status::kWaiting) {
    slot->status = Slot::Status::kPlaced;
    slot->started = true;
    slot->machine = m.name;
    slot->attempt = key.second;
  } else if (slot->status == Slot::Status::kPlaced &&
             (slot->machine != m.name || slot->attempt != key.second) && !t.stop_grace) {
    spdlog::error("{}: task {} is here as well as on {}", m.name.value(), wire::task_name(key.first),
                  slot->machine.value());
    stop(t, 0);
  }
}

void Part::on_ended(Machine& m, const TaskKey& key, TaskOn& t, Instant now) {
  if (t.cause == EndCause::kDone) {
    if (auto* slot = find_slot(key.first)) {
      if (slot->status != Slot::Status::kReturned) slot->status = Slot::Status::kDone;
      jobs_[key.first.job].mark();
    }
    return;
  }
  t.may_forget = true;
  if (t.cause == EndCause::kError || t.cause == EndCause::kUnknown) failed(m, key.first.job, now);
  requeue(key, now);
}

void Part::requeue(const TaskKey& key, Instant now) {
  auto* slot = find_slot(key.first);
  if (!slot || slot->status != Slot::Status::kPlaced || slot->attempt != key.second) return;
  slot->status = slot->earlier && !rebuilt_ ? Slot::Status::kHeld : Slot::Status::kWaiting;
  slot->since = now;
  jobs_.at(key.first.job).waits = true;
}

void Part::lose_all(Machine& m, Instant now) {
  auto tasks = std::move(m.tasks);
  m.tasks.clear();
  m.changed();
  m.channel = Machine::Channel::kIdle;
  m.retry_at.reset();
  m.idle_since = now;
  for (const auto& [key, t] : tasks) requeue(key, now);
}

// Evidence decides whom to blame: a machine on which many jobs fail is sick, a job that fails on many
// machines is bad.
void Part::failed(Machine& m, const JobId& id, Instant now) {
  std::erase_if(m.errors, [&](const auto& e) { return now - e.second > kErrorMemory; });
  m.errors[id] = now;
  auto* job = find_job(id);
  if (!job) return;
  job->failed_on[m.name] = now;
  if (job->failed_on.size() >= 2) {
    ++job->failures;
    job->not_before =
        now + from_seconds(std::min(kMaxBackoff, std::pow(2.0, std::min(job->failures, 6) - 1)));
  }
  auto blamed = static_cast<std::size_t>(std::count_if(m.errors.begin(), m.errors.end(), [&](const auto& e) {
    auto* j = find_job(e.first);
    return !j || j->failed_on.size() < kBadMachines;
  }));
  if (!m.sick && blamed >= kSickJobs) {
    m.sick = registry_dirty_ = true;
    spdlog::info("{}: tasks of {} jobs failed here, set aside", m.name.value(), blamed);
  }
}

// Nothing more is started there until the worker shows that it hears, by a token raised for that: by its
// reports alone it would pass for sound, and start after start would be sent in vain.
void Part::doubt(Machine& m, Instant now) {
  if (m.channel == Machine::Channel::kBusy) return;  // the batch under way will tell
  if (m.channel != Machine::Channel::kFencing) {
    m.channel = Machine::Channel::kFencing;
    m.token = m.token.raised();
    m.retry_at = now;
  }
  if (!m.doubted) m.doubted = now;
}

void Part::settle(Machine& m, Instant) {
  m.channel = Machine::Channel::kIdle;
  m.retry_at.reset();
  m.doubted.reset();
  for (auto& [key, t] : m.tasks) {
    if (t.start == TaskOn::Start::kSent) t.start = TaskOn::Start::kSettled;
    t.stop_sent = t.forget_sent = false;
  }
}

void Part::check_rebuilt(Instant now) {
  if (rebuilt_ || !registry_known_) return;
  for (const auto& [name, m] : machines_)
    if (m.registered && !m.reported) return;
  rebuilt_ = true;
  std::size_t missing = 0;
  for (auto& [id, job] : jobs_)
    for (auto& [n, slot] : job.slots)
      if (slot.status == Slot::Status::kHeld) {
        slot.status = Slot::Status::kWaiting;
        slot.since = now;
        job.waits = true;
        ++missing;
      }
  spdlog::info("part {}: rebuilt under term {} after {:.1f} s, {} machines, {} granted tasks on none of them",
               id_.value(), term_.value(), to_seconds(now - began_), machines_.size(), missing);
}

// ---------------------------------------------------------------- jobs

void Part::on_job(const JobId& id, const store::Job* job, std::optional<store::End> end, Instant now) {
  if (!job || !job->record.spec) {
    if (auto* known = find_job(id); known && end) known->end = end;
    if (!job) jobs_.erase(id);
    return;
  }
  bool ours = std::any_of(job->grants.value.chunks.begin(), job->grants.value.chunks.end(),
                          [&](const auto& c) { return c.part == id_; });
  if (!ours && !jobs_.contains(id)) return;
  auto& pj = jobs_[id];
  pj.record = job->record;
  pj.end = end;
  auto recorded = job->progress.find(id_);
  pj.recorded = recorded == job->progress.end() ? store::Progress{} : recorded->second.value;
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
        pj.waits = true;
      }
  }
  std::erase_if(pj.slots, [&](const auto& s) { return !wanted.contains(s.first); });
  for (auto& [name, m] : machines_) {
    auto first = m.tasks.lower_bound({TaskId{id, 0}, Attempt()});
    for (auto it = first; it != m.tasks.end() && it->first.first.job == id; ++it) {
      auto& t = it->second;
      if (!t.spec) {
        t.spec = pj.record.spec;
        m.changed();
      }
      if (live(t)) {
        adopt(m, it->first, t, now);
        if (end == store::End::kCancelled) stop(t, 0);
        if (pj.recalled) stop(t, pj.record.spec->save_s);
      } else if (t.cause == EndCause::kDone) {
        auto* slot = find_slot(it->first.first);
        if (slot && slot->status != Slot::Status::kReturned && slot->status != Slot::Status::kDone) {
          slot->status = Slot::Status::kDone;
          pj.mark();
        }
      }
    }
  }
  pj.dirty = true;
  if (pj.slots.empty() && pj.generations.empty()) jobs_.erase(id);
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
                           [&](const auto& r) { return r.generation == slot.generation; });
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
    if (p != job.recorded) out.push_back({id, std::move(p.done), std::move(p.returned)});
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
  check_leases(now, read);
  check_notices(now);
  check_gangs(now);
  if (now - strays_checked_ >= kStrayCheck) stop_strays(now, read);
  // Starting a task needs recent word of cancellations, well inside the time that they have.
  if (now - word < params_.cancel_limit / 4) place_all(now);
  give_back(now);
}

// Rule 4 of docs/design.md: the lease has run out since the last time that anybody entitled can have
// answered. The worker has seen our term, so no earlier owner is obeyed; `read` shows that no successor
// existed. Peers' word doesn't: one that has ended since may have been it.
void Part::check_leases(Instant now, Instant read) {
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
      stop(t, t.spec->checkpoint_s > 0 ? t.spec->save_s : 0);
      if (t.spec->kind == JobKind::kGang) stop_mates(key.first.job, t.spec->save_s);
    }
  }
}

// A gang saves only if all of its tasks are told to stop within a short time.
void Part::stop_mates(const JobId& id, double grace) {
  for (auto& [name, m] : machines_)
    for (auto it = m.tasks.lower_bound({TaskId{id, 0}, Attempt()});
         it != m.tasks.end() && it->first.first.job == id; ++it)
      if (live(it->second)) stop(it->second, grace);
}

// Tasks on a machine that are not granted to this part, or whose job is over.
void Part::stop_strays(Instant now, Instant read) {
  strays_checked_ = now;
  for (auto& [name, m] : machines_) {
    for (auto& [key, t] : m.tasks) {
      auto job = jobs_.find(key.first.job);
      bool known = job != jobs_.end();
      if (known && job->second.end) {
        if (live(t)) {
          stop(t, 0);
        } else {
          t.may_forget = true;
        }
        continue;
      }
      if (known && job->second.slots.contains(key.first.index)) continue;
      // Its grant may be on its way to us: judged only by what was read after the task was seen.
      if (read < t.since + kStrayPatience) continue;
      if (live(t)) {
        if (!t.stop_grace)
          spdlog::info("{}: task {} isn't granted here, stopped", name.value(), wire::task_name(key.first));
        stop(t, 0);
      } else {
        t.may_forget = true;
      }
    }
  }
}

void Part::place_all(Instant now) {
  std::vector<std::pair<JobId, PartJob*>> waiting;
  for (auto& [id, job] : jobs_) {
    if (!job.waits || job.end || now < job.not_before) continue;
    job.waits = std::any_of(job.slots.begin(), job.slots.end(),
                            [](const auto& s) { return s.second.status == Slot::Status::kWaiting; });
    if (job.waits) waiting.emplace_back(id, &job);
  }
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
  Full full;
  for (auto first = waiting.begin(); first != waiting.end();) {
    auto priority = first->second->record.spec->priority;
    auto last = std::find_if(first, waiting.end(),
                             [&](const auto& w) { return w.second->record.spec->priority != priority; });
    for (bool warm : {true, false})
      for (auto w = first; w != last; ++w) place_job(w->first, *w->second, warm, full, now);
    first = last;
  }
}

// A gang's share is placed as a whole or not at all, and once under each attempt.
void Part::place_gang(const JobId& id, PartJob& job, Instant now) {
  bool ready = !job.recalled && std::all_of(job.slots.begin(), job.slots.end(), [](const auto& s) {
    return s.second.status == Slot::Status::kWaiting && !s.second.started;
  });
  if (!ready) return;
  auto shape = shape_of(*job.record.spec, 1);
  std::vector<std::pair<std::uint32_t, Machine*>> placed;
  for (auto& [n, slot] : job.slots) {
    auto* m = choose_machine(machines_, shape, slot.zone, params_.rules, id, false, now);
    if (!m) break;
    start(*m, {id, n}, job, slot, now);
    placed.emplace_back(n, m);
  }
  if (placed.size() == job.slots.size()) return;
  for (auto [n, m] : placed) {
    auto& slot = job.slots.at(n);
    m->tasks.erase({TaskId{id, n}, slot.attempt});
    m->changed();
    slot.status = Slot::Status::kWaiting;
    slot.started = false;
  }
}

// A gang that lost a task here starts anew under its next attempt only: what is left of this one is stopped,
// the others notice by themselves.
void Part::check_gangs(Instant) {
  for (auto& [id, job] : jobs_) {
    if (!job.record.spec || job.record.spec->kind != JobKind::kGang) continue;
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
        stop(t->second, 0);
    }
  }
}

void Part::place_job(const JobId& id, PartJob& job, bool warm, Full& full, Instant now) {
  if (job.record.spec->kind == JobKind::kGang) {
    if (!warm) place_gang(id, job, now);
    return;
  }
  auto waiting = std::count_if(job.slots.begin(), job.slots.end(),
                               [](const auto& s) { return s.second.status == Slot::Status::kWaiting; });
  auto shape = shape_of(*job.record.spec, static_cast<std::uint32_t>(waiting));
  // One that needs no less, and may use no other machines, won't fit either.
  auto no_room = [&](const std::optional<Zone>& z) {
    return std::any_of(full.begin(), full.end(), [&](const auto& f) {
      const auto& s = f.first;
      return f.second == z && s.image == shape.image && s.types == shape.types && s.zone == shape.zone &&
             s.spot == shape.spot && s.priority == shape.priority && s.each.cpus <= shape.each.cpus &&
             s.each.gpus <= shape.each.gpus && s.each.memory_gb <= shape.each.memory_gb;
    });
  };
  Machine* m = nullptr;
  std::uint32_t room = 0;
  std::optional<Zone> zone;
  for (auto& [n, slot] : job.slots) {
    if (slot.status != Slot::Status::kWaiting) continue;
    if (!warm && !slot.preempt && !slot.target && no_room(slot.zone)) continue;
    if (!m || room == 0 || zone != slot.zone) {
      zone = slot.zone;
      m = choose_machine(machines_, shape, zone, params_.rules, id, warm, now);
      room = m ? room_on(*m, shape, params_.rules, false) : 0;
    }
    if (warm && !m) {
      if (!slot.zone) return;
      continue;
    }
    TaskId task{id, n};
    // A guard against every mistake above: what any machine still lists is not started.
    bool present = std::any_of(machines_.begin(), machines_.end(), [&](const auto& x) {
      auto it = x.second.tasks.lower_bound({task, Attempt()});
      for (; it != x.second.tasks.end() && it->first.first == task; ++it)
        if (live(it->second)) return true;
      return false;
    });
    if (present) continue;
    // Where room is being made for it, and the image is, it starts sooner than anywhere else.
    if (slot.target && now - slot.since < params_.report_period) {
      auto it = machines_.find(*slot.target);
      if (it != machines_.end() && it->second.usable(now)) {
        if (room_on(it->second, shape, params_.rules, false) == 0) continue;
        start(it->second, task, job, slot, now);
        room = 0;
        continue;
      }
    }
    if (slot.preempt) {
      bool cold = room == 0 || !m->images.has(shape.image);
      if (cold && preempt_for(job, slot, true, now)) continue;
      if (room == 0 && preempt_for(job, slot, false, now)) continue;
    }
    if (room == 0) {
      // A job that failed on machines avoids them: that they have no room for it says nothing of others.
      if (job.failed_on.empty())
        full.emplace_back(shape, slot.zone);
      else
        break;
      continue;
    }
    start(*m, task, job, slot, now);
    --room;
    --shape.wanted;
  }
}

void Part::start(Machine& m, const TaskId& id, const PartJob& job, Slot& slot, Instant now) {
  slot.status = Slot::Status::kPlaced;
  slot.started = true;
  slot.machine = m.name;
  if (job.record.spec->kind != JobKind::kGang) slot.attempt = Attempt(next_attempt_++);
  auto& t = m.tasks[{id, slot.attempt}];
  t = {};
  t.start = TaskOn::Start::kQueued;
  t.spec = job.record.spec;
  t.since = now;
  m.changed();
  m.idle_since = now;
}

// Makes room for one task of higher priority by stopping the work that loses least.
bool Part::preempt_for(const PartJob& job, Slot& slot, bool warm, Instant now) {
  auto shape = shape_of(*job.record.spec, 1);
  // Room that is being made for other tasks is theirs.
  std::map<MachineName, Resources> promised;
  for (const auto& [id, other] : jobs_) {
    if (!other.waits || other.end) continue;
    for (const auto& [n, s] : other.slots)
      if (&s != &slot && s.status == Slot::Status::kWaiting && s.target &&
          now - s.since < params_.report_period)
        promised[*s.target] += other.record.spec->each;
  }
  Machine* best = nullptr;
  std::vector<TaskOn*> best_victims;
  double best_cost = 0;
  for (auto& [name, m] : machines_) {
    if (!m.usable(now) || !allowed(shape, m.type, m.zone, m.spot) || (slot.zone && *slot.zone != m.zone))
      continue;
    auto image = image_on(m, shape.image);
    if (warm ? image != Image::kHere : image == Image::kBehind) continue;
    std::vector<TaskOn*> lower;
    Resources idle = m.total - m.used();
    if (auto p = promised.find(name); p != promised.end()) idle -= p->second;
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
  for (auto* t : best_victims) stop(*t, t->spec->checkpoint_s > 0 ? t->spec->save_s : 0);
  slot.preempt = false;
  slot.target = best->name;
  slot.since = now;
  return true;
}

void Part::give_back(Instant now) {
  for (auto& [id, job] : jobs_) {
    if (!job.waits) continue;
    for (auto& [n, slot] : job.slots) {
      if (slot.status != Slot::Status::kWaiting) continue;
      if (!job.end && !job.recalled && now - slot.since < params_.report_period) continue;
      slot.status = Slot::Status::kReturned;
      job.mark();
    }
  }
}

// ---------------------------------------------------------------- commands

std::vector<Part::Batch> Part::take_batches(Instant now) {
  std::vector<Batch> out;
  if (superseded_) return out;
  for (auto& [name, m] : machines_) {
    if (m.address.empty() || m.deleting) continue;
    // Called on: to learn whether it hears, or, after a takeover, to be obeyed and told of its tasks at once.
    // Otherwise a worker that an owner cut off from all but its workers still answers would not come here.
    if (m.retry_at && now >= *m.retry_at) {
      m.retry_at.reset();
      out.push_back({name, m.address, std::max(m.session, Session(1)), m.token, {}});
      continue;
    }
    if (m.channel != Machine::Channel::kIdle || !m.reported) continue;
    Batch b{name, m.address, m.session, {}, {}};
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
    std::erase_if(m.tasks, [&](const auto& e) {
      if (e.second.start != TaskOn::Start::kQueued) return false;
      auto* job = find_job(e.first.first.job);
      if (job && !job->end) return false;
      requeue(e.first, now);
      m.changed();
      return true;
    });
    if (b.commands.empty()) continue;
    // A token of its own for every batch: a copy of it that arrives late is refused.
    m.token = m.token.raised();
    b.token = m.token;
    m.channel = Machine::Channel::kBusy;
    out.push_back(std::move(b));
  }
  return out;
}

void Part::on_commands(const Batch& b, CommandResult result, const std::optional<wire::Report>& report,
                       Instant now) {
  auto it = machines_.find(b.machine);
  if (it == machines_.end()) return;
  auto& m = it->second;
  if (b.commands.empty()) {
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
          m.tasks.erase(t);
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

bool Part::out_of_touch(const Machine& m, Duration patience, Instant now) const {
  return now - m.heard > patience || (m.doubted && now - *m.doubted > patience);
}

bool Part::settled(Instant now) const {
  return rebuilt_ && std::none_of(machines_.begin(), machines_.end(),
                                  [&](const auto& m) { return out_of_touch(m.second, m.second.quiet, now); });
}

// More machines of a zone out of touch than single failures explain: rather this node is cut off from it.
std::set<Zone> Part::cut_off_zones(Instant now) const {
  std::map<Zone, std::pair<std::size_t, std::size_t>> count;  // out of touch, all
  for (const auto& [name, m] : machines_) {
    auto& [out, all] = count[m.zone];
    ++all;
    if (out_of_touch(m, m.quiet, now)) ++out;
  }
  std::set<Zone> zones;
  for (const auto& [zone, n] : count)
    if (n.first >= 3 && n.first * 2 > n.second) zones.insert(zone);
  return zones;
}

std::vector<MachineName> Part::take_deletions(Instant now) {
  std::vector<MachineName> out;
  if (superseded_) return out;
  auto cut_off = cut_off_zones(now);
  for (auto& [name, m] : machines_) {
    if (m.deleting || (m.delete_retry && now < *m.delete_retry)) continue;
    auto patience = m.reported ? params_.grace : params_.grace + kTakeoverPatience;
    if (cut_off.contains(m.zone)) {
      // What ran on those that have obeyed this owner ends with their leases, and they may come back. The
      // others hold up the rebuilding, though not without end.
      if (m.reported) continue;
      patience = std::max(patience, params_.lease * kCutOffLeases);
    }
    bool quiet = out_of_touch(m, patience, now);
    bool empty = m.tasks.empty() && m.channel == Machine::Channel::kIdle;
    if (!quiet && !((m.sick || m.closed) && empty)) continue;
    const char* why = now - m.heard > patience ? "silent"
                      : quiet                  ? "does not hear"
                      : m.sick                 ? "sick"
                                               : "not needed";
    spdlog::info("{}: to be deleted ({})", name.value(), why);
    m.deleting = true;
    out.push_back(name);
  }
  return out;
}

void Part::on_deleted(const MachineName& name, Instant now) {
  gone_.insert(name);
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  lose_all(it->second, now);
  machines_.erase(it);
  registry_dirty_ = true;
  check_rebuilt(now);
}

void Part::on_delete_failed(const MachineName& name, Instant now) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  it->second.deleting = false;
  it->second.delete_retry = now + kDeleteAgain;
}

void Part::release(const MachineName& name) {
  auto it = machines_.find(name);
  if (it != machines_.end() && it->second.tasks.empty()) it->second.closed = true;
}

// ---------------------------------------------------------------- questions

wire::ShapeRoom Part::estimate(const wire::Shape& s, Instant now) const {
  auto rooms = part::estimate(machines_, s, params_.rules, now);
  if (s.each.cpus <= 0) return rooms;
  // Tasks that wait here already will take their room first.
  double waiting = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.waits || job.end || job.record.spec->priority < s.priority) continue;
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
  for (const auto& [name, m] : machines_) {
    auto it = m.tasks.lower_bound({TaskId{id, 0}, Attempt()});
    for (; it != m.tasks.end() && it->first.first.job == id; ++it)
      if (it->second.state == TaskState::kRunning) ++n;
  }
  return n;
}

}  // namespace beaconsill::part
