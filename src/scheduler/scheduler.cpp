// The ledger of jobs: what is pending, granted, done and returned.
#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {
// Between the last completion of a job and the first start of the next in a pipeline.
constexpr int kReportsBetweenSteps = 3;
// Of the pieces with which a job's grants didn't fit into a value: with less than so many it's tried again.
constexpr double kShorter = 0.9;

// What a chunk is written with: what it has to hold, `needed`, or with the tasks that its shard has recorded
// as done, whichever is the shorter text; nobody starts those. An array whose tasks end in no order would
// outgrow its value otherwise.
Ranges shorter_chunk(const Ranges& needed, const Ranges& not_released, const state_store::Job& job,
                     ShardId shard) {
  auto progress = job.progress.find(shard);
  if (progress == job.progress.end() || needed.spans().size() <= not_released.spans().size()) return needed;
  Ranges whole = progress->second.value.done;
  Ranges others = whole;
  others.remove(not_released);
  whole.remove(others);
  whole.add(needed);
  return whole.spans().size() < needed.spans().size() ? whole : needed;
}

}  // namespace

Scheduler::Scheduler(SchedulerParams params, std::vector<config::TeamSettings> teams,
                     std::vector<config::Objective> objectives)
    : params_(params), teams_(std::move(teams)), objectives_(std::move(objectives)) {}

void Scheduler::ledger(const Entry& e, int sign) {
  const auto& team = e.record.spec->team;
  usage_[team] += e.record.spec->each * (sign * static_cast<double>(e.charged));
  if (!e.end) return;
  auto& left = uncharged_by_message_[team];
  for (auto shard : e.notified_by)
    if ((left[shard] += sign) == 0) left.erase(shard);
}

// Found by reading the code: the owner of a shard told that a cancelled job's tasks were returned, and their
// place in the team's limit went to another job. Its successor, which had neither read the cancellation nor
// knew of the message, could still start them. Under the present term's role no successor has begun; one that
// begins later reads the cancellation first.
std::set<ShardId> Scheduler::depends_on_shards(const Entry& e) const {
  std::set<ShardId> shards = e.notified_by;
  if (auto left = uncharged_by_message_.find(e.record.spec->team); left != uncharged_by_message_.end())
    for (const auto& [shard, jobs] : left->second) shards.insert(shard);
  return shards;
}

std::set<ShardId> Scheduler::released_by_message(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? std::set<ShardId>{} : it->second.notified_by;
}

void Scheduler::on_job(const JobId& id, const state_store::Job* job,
                       std::optional<state_store::TerminalState> end, Instant now,
                       std::optional<WallMs> ready_since) {
  auto it = jobs_.find(id);
  if (it != jobs_.end()) ledger(it->second, -1);
  if (end || !job) {
    inherited_.on_over(id);
    crash_loops_.erase(id);
  }
  unindex(id);
  if (!job || !job->record.spec) {
    if (it != jobs_.end()) jobs_.erase(it);
    notified_.erase(id);
    return;
  }
  bool depends_on = !job->record.spec->depends_on.empty();
  if (depends_on && !end && !ready_since) {
    if (it != jobs_.end()) jobs_.erase(it);
    return await_dependencies(id, job->record);
  }
  inherited_.on_released(id);
  bool fresh = it == jobs_.end();
  auto& e = jobs_[id];
  auto had_pending = e.pending.count();
  e.record = job->record;
  e.end = end;
  e.grants = job->grants.value;
  e.grants_version = job->grants.version;
  // Grants may exist without any: see fences().
  e.granted_once = e.grants.last.value() > 0;
  const Ranges recorded = job->done();
  e.done = recorded;
  const auto told = notified_.find(id);
  // That a task is done stays true whoever owns the shard.
  if (told != notified_.end())
    for (const auto& [shard, t] : told->second) e.done.add(t.progress.done);
  if (!e.done.empty()) crash_loops_.erase(id);
  e.live.clear();
  e.kept.clear();
  e.out = e.notified_released = e.charged = 0;
  e.notified_by.clear();
  Ranges out;
  for (const auto& c : e.grants.chunks) {
    Ranges r = c.tasks;
    if (auto p = job->progress.find(c.shard); p != job->progress.end())
      r.remove(state_store::released_tasks(p->second.value, c.generation));
    const Ranges not_released = r;
    r.remove(recorded);
    Ranges released = r;
    if (told != notified_.end())
      if (auto t = told->second.find(c.shard); t != told->second.end())
        r.remove(state_store::released_tasks(t->second.progress, c.generation));
    released.remove(r);
    if (!released.empty()) e.notified_by.insert(c.shard);
    // A successor may return what its predecessor told to be done.
    released.remove(e.done);
    e.notified_released += released.count();
    if (r.empty()) continue;
    auto kept = c;
    kept.tasks = shorter_chunk(r, not_released, *job, c.shard);
    e.kept.emplace_back(r, std::move(kept));
    r.remove(e.done);
    if (r.empty()) continue;
    e.out += r.count();
    out.add(r);
    e.live.emplace_back(std::move(r), c);
  }
  // What was only told to be returned stays in the ledger: the shard's next owner, who doesn't know of it,
  // may start it. Not so of a job that is over, see depends_on_shards. Nor what is done, by record or word:
  // should it be started again, it ends as soon as it has its image.
  e.charged = e.out + (end ? 0 : e.notified_released);
  e.pending = Ranges();
  if (!end) {
    e.pending = Ranges::span(0, e.record.spec->tasks);
    e.pending.remove(e.done);
    e.pending.remove(out);
  }
  if (!depends_on) {
    e.counts_from = e.record.submitted;
  } else if (fresh && ready_since) {
    e.counts_from = *ready_since;
  }
  e.need = requirement_of(id, e);
  if (static_cast<double>(pieces(e)) < static_cast<double>(e.oversized_pieces) * kShorter)
    e.oversized_pieces = 0;
  if (fresh || (had_pending == 0 && !e.pending.empty())) e.waiting_since = now;
  // A new job, or a replica that lost its machine, is asked about at once.
  if (!e.pending.empty() &&
      (!e.granted_once || (e.record.spec->kind == JobKind::kService && e.pending.count() > had_pending)))
    urgent_ = true;
  ledger(e, +1);
  index(id, e);
}

void Scheduler::index(const JobId& id, const Entry& e) {
  if (e.end) {
    if (e.live.empty()) collectable_.insert(id);
    return;
  }
  open_.insert(id);
  if (!e.pending.empty()) waiting_.insert(id);
  if (e.record.spec->kind == JobKind::kService) return;
  arrays_.insert(id);
  if (e.done.count() == e.record.spec->tasks) completed_.insert(id);
}

void Scheduler::unindex(const JobId& id) {
  for (auto* jobs : {&waiting_, &arrays_, &open_, &completed_, &collectable_}) jobs->erase(id);
}

std::size_t Scheduler::pieces(const Entry& e) {
  std::size_t n = 0;
  for (const auto& [tasks, chunk] : e.kept) n += 1 + chunk.tasks.spans().size();
  return n;
}

void Scheduler::on_oversized(const JobId& id) {
  if (auto it = jobs_.find(id); it != jobs_.end())
    it->second.oversized_pieces = std::max<std::size_t>(1, pieces(it->second));
}

void Scheduler::await_dependencies(const JobId& id, const state_store::JobRecord& record) {
  const auto& spec = *record.spec;
  // To be complete in time it has to start a run time earlier, and what it awaits is seen to be done and is
  // followed by its grant a few reports later.
  auto takes = from_seconds(spec.estimate_s) + kReportsBetweenSteps * params_.heartbeat_period;
  inherited_.on_waiting(id, spec.depends_on, {spec.priority, due(record, std::nullopt)}, takes);
  refresh_requirements();
}

void Scheduler::refresh_requirements() {
  for (const auto& id : inherited_.take_changed())
    if (auto it = jobs_.find(id); it != jobs_.end()) it->second.need = requirement_of(id, it->second);
}

Requirement Scheduler::requirement_of(const JobId& id, const Entry& e) const {
  return stricter_of({e.record.spec->priority, due(e.record, e.counts_from)}, inherited_.of(id));
}

void Scheduler::on_progress_report(const protocol::ProgressReport& o, Instant now) {
  auto known = terms_.find(o.shard);
  bool present = known != terms_.end() && known->second == o.term;
  for (const auto& j : o.jobs) {
    on_job_health(j.job, j.verdict, now);
    auto& t = notified_[j.job][o.shard];
    t.progress.done.add(j.done);
    if (!present) continue;
    if (t.term != o.term) t.progress.released.clear();
    t.term = o.term;
    // Copies may come late and in any order: what was returned under a generation stays so.
    for (const auto& r : j.released) {
      auto it = std::find_if(t.progress.released.begin(), t.progress.released.end(),
                             [&](const auto& x) { return x.generation == r.generation; });
      if (it == t.progress.released.end()) {
        t.progress.released.push_back(r);
      } else {
        it->tasks.add(r.tasks);
      }
    }
  }
}

void Scheduler::on_job_health(const JobId& id, protocol::JobHealth verdict, Instant now) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.end || !it->second.done.empty()) return;
  crash_loops_.on_job_health(id, verdict, it->second.granted, now);
}

std::vector<JobId> Scheduler::on_terms(const std::map<ShardId, Term>& terms) {
  std::vector<JobId> touched;
  if (terms == terms_) return touched;
  terms_ = terms;
  for (auto& [id, shards] : notified_)
    for (auto& [shard, t] : shards) {
      auto now = terms_.find(shard);
      if (t.progress.released.empty() || (now != terms_.end() && now->second == t.term)) continue;
      t.progress.released.clear();
      touched.push_back(id);
    }
  return touched;
}

void Scheduler::on_summary(const protocol::Summary& s, Instant) {
  auto& have = summaries_[s.shard];
  if (s.term >= have.term) have = s;
}

void Scheduler::on_estimate_response(const protocol::EstimateResponse& a, Instant) {
  if (!round_ || a.round != round_->id || a.rooms.size() != round_->resource_requests.size()) return;
  if (!round_->asked.contains(a.shard)) return;
  round_->answers[a.shard] = a.rooms;
  std::erase_if(assumed_[a.shard], [&](const AssumedGrant& s) { return s.revision <= a.seen; });
}

std::optional<Duration> Scheduler::lateness(const JobId& id, WallMs wall) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const auto& due = it->second.need.due_ms;
  if (due.empty() || wall.value() <= due[0]) return std::nullopt;
  return std::chrono::milliseconds(wall.value() - due[0]);
}

std::vector<Demand> Scheduler::demand(Instant now) const {
  std::vector<Demand> out;
  auto usage = usage_;
  for (const auto& id : waiting_) {
    const auto& e = jobs_.at(id);
    auto n = grantable(id, e, usage, now);
    if (n == 0) continue;
    auto fresh = n - std::min(n, e.notified_released);
    usage[e.record.spec->team] += e.record.spec->each * static_cast<double>(fresh);
    out.push_back({shard::request_of(*e.record.spec, n), now - e.waiting_since});
  }
  return out;
}

}  // namespace beaconsill::scheduler
