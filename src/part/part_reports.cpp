// Reports: what the workers say of themselves, and who else has owned them.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "part/part.h"

namespace beaconsill::part {
namespace {

using wire::EndCause;
using wire::TaskState;

// A task that has run for so long shows that its job doesn't fail wherever it's started.
constexpr Duration kRunsWell = std::chrono::seconds(10);
constexpr Duration kPointAgain = std::chrono::seconds(20);

}  // namespace

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
      m.met = m.heard = m.last_report = now;
      m.idle_since = now;
      m.token = Token::first_of(term_);
      set_patience(m);
      m.address = r.address;
      m.sick = r.sick;
      m.retry_at = now;
      touch(m);
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
    m.met = m.last_report = m.idle_since = now;
    m.token = Token::first_of(term_);
    set_patience(m);
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
  // One that is being deleted may have gone on after all: until the deletion is answered, what was cancelled
  // there is told to stop this way, since it gets no other commands.
  if (m.channel != Machine::Channel::kFencing && !m.deleting) return a;
  for (const auto& [key, t] : m.tasks)
    if (live(t) && t.stop_grace && a.commands.size() < kMaxCommands)
      a.commands.push_back({wire::Command::Op::kStop, key.first, key.second, *t.stop_grace});
  return a;
}

// A worker with running tasks that comes by way of another controller may be cut off from this one. Sent here
// in vain it waits for an answer, then goes to the next controller, and its lease may be over by then: on a
// recorded day whole parts lost their tasks at the second cut of a controller, since each machine had been
// sent back in the first one and so wasn't answered at once in the second. So it's sent here only if it has
// answered commands of this node lately, and otherwise answered and probed.
bool Part::point_here(const wire::Report& r, Instant now) {
  auto it = machines_.find(r.machine);
  bool busy =
      std::any_of(r.tasks.begin(), r.tasks.end(), [](const auto& t) { return t.state != TaskState::kEnded; });
  if (it == machines_.end() || !busy) return true;
  auto& m = it->second;
  if (!m.relayed_since) m.relayed_since = now;
  if (now - m.commands_answered > kAnswerPatience) {
    if (m.can_be_probed()) probe(m, now);
    return false;
  }
  if (m.redirected != Instant{} && now - m.redirected < kPointAgain) return false;
  m.redirected = now;
  return true;
}

void Part::on_heard_directly(const MachineName& name) {
  auto* m = find_machine(name);
  if (!m) return;
  m->relayed_since.reset();
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
  // After a pause as long as a worker waits for an answer it has most likely waited in vain. Not so if a
  // pause like that lies within what reports vary by.
  auto patience = std::max(kAnswerPatience, late_after());
  bool waited = m.answered >= m.heard && now - m.heard >= patience;
  m.session = r.session;
  m.sequence = r.sequence;
  m.heard = now;
  if (!hears) m.last_report = now;
  m.forget_unanswered();
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

  touch(m);
  ++reports_;
  effort_ += r.tasks.size() + m.tasks.size();
  for (const auto& x : r.tasks) {
    TaskKey key{x.task, x.attempt};
    auto [t, fresh] = put(m, key);
    if (fresh) {
      t.since = now;
      if (auto* job = find_job(x.task.job)) t.spec = job->record.spec;
    }
    t.listed = reports_;
    update(m, key, t, x, now);
  }
  // A start that isn't settled may still be carried out: its absence from a report proves nothing.
  drop_if(
      m,
      [&](const TaskKey&, const TaskOn& t) {
        return t.start == TaskOn::Start::kSettled && t.listed != reports_;
      },
      now);
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
  if (t.running_since && !t.runs_well && live(t) && now - *t.running_since >= kRunsWell) {
    t.runs_well = true;
    worked(m, key.first.job, t.since, now);
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
  bool open = slot->status == Slot::Status::kHeld || slot->status == Slot::Status::kWaiting;
  bool elsewhere = slot->status == Slot::Status::kPlaced &&
                   (slot->machine != m.name || slot->attempt != key.second) && !t.stop_grace;
  if (!open && !elsewhere) return;
  if (elsewhere && !m.reported) return;
  if (open || outdated(*slot, key.first, m, t)) {
    slot->status = Slot::Status::kPlaced;
    slot->started = true;
    slot->machine = m.name;
    slot->attempt = key.second;
    return;
  }
  spdlog::error("{}: task {} is here as well as on {}", m.name.value(), wire::task_name(key.first),
                slot->machine.value());
  stop(m, t, 0);
}

// Whether the place that the books give a task rests on an old report. A new owner can't tell an old report
// from a new one until the machine reports under its term: a copy that came late, by a machine that is gone
// say, would have the sound task stopped for a second one.
bool Part::outdated(const Slot& slot, const TaskId& task, const Machine& m, const TaskOn& t) {
  auto* other = find_machine(slot.machine);
  if (!other) return true;
  if (other != &m) return !other->reported;
  auto listing = m.tasks.find({task, slot.attempt});
  if (listing == m.tasks.end()) return true;
  return listing->second.start == TaskOn::Start::kSettled && listing->second.listed < t.listed;
}

void Part::on_ended(Machine& m, const TaskKey& key, TaskOn& t, Instant now) {
  if (t.cause == EndCause::kDone) {
    worked(m, key.first.job, t.since, now);
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
  // A gang's task has the same attempt wherever it was started under it: another machine may list it.
  if (auto* m = find_machine(slot->machine)) {
    auto t = m->tasks.find(key);
    if (t != m->tasks.end() && live(t->second)) return;
  }
  slot->status = slot->earlier && !rebuilt_ ? Slot::Status::kHeld : Slot::Status::kWaiting;
  slot->since = now;
  wait(key.first.job);
}

void Part::lose_all(Machine& m, Instant now) {
  drop_if(
      m, [](const TaskKey&, const TaskOn&) { return true; }, now);
  m.channel = Machine::Channel::kIdle;
  m.retry_at.reset();
  m.idle_since = now;
}

void Part::failed(Machine& m, const JobId& id, Instant now) {
  auto* job = find_job(id);
  evidence_.on_failed(m.name, id, job && job->works, now);
  m.avoided_until = evidence_.suspect_until(m.name);
  set_aside_if_faulty(m);
  if (!job || !evidence_.job_fails(id, now)) return;
  job->verdict = wire::Verdict::kFails;
  job->untold = true;
}

void Part::worked(Machine& m, const JobId& id, Instant placed, Instant now) {
  auto* job = find_job(id);
  if (job) job->works = true;
  if (!evidence_.concerns(m.name, id)) return;
  if (job && evidence_.job_fails(id, now)) {
    job->verdict = wire::Verdict::kWorks;
    job->untold = true;
  }
  evidence_.on_worked(m.name, id, placed);
  m.avoided_until = evidence_.suspect_until(m.name);
  for (const auto& name : evidence_.failed_on(id, now))
    if (auto* other = find_machine(name)) set_aside_if_faulty(*other);
}

void Part::set_aside_if_faulty(Machine& m) {
  if (m.sick || !evidence_.machine_faulty(m.name)) return;
  m.sick = registry_dirty_ = true;
  spdlog::info("{}: tasks of several jobs that work elsewhere failed here, set aside", m.name.value());
}

// Nothing more is started there until the worker shows that it hears, by a token raised for that: by its
// reports alone it would pass for sound, and start after start would be sent in vain.
void Part::doubt(Machine& m, Instant now) {
  if (m.channel == Machine::Channel::kBusy) return;  // the batch under way will tell
  if (m.channel != Machine::Channel::kFencing) {
    m.channel = Machine::Channel::kFencing;
    m.token = m.token.raised();
    m.retry_at = now;
    touch(m);
  }
  if (!m.doubted) m.doubted = now;
}

void Part::settle(Machine& m, Instant) {
  touch(m);
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
        wait(id);
        ++missing;
      }
  spdlog::info("part {}: rebuilt under term {} after {:.1f} s, {} machines, {} granted tasks on none of them",
               id_.value(), term_.value(), to_seconds(now - began_), machines_.size(), missing);
}

}  // namespace beaconsill::part
