// The ledger of jobs: what is pending, granted, done and returned.
#include "lead/lead.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::lead {
namespace {
// Between the last completion of a job and the first start of the next in a pipeline.
constexpr int kReportsBetweenSteps = 3;
// Of the pieces with which a job's grants didn't fit into a value: with less than so many it's tried again.
constexpr double kShorter = 0.9;

// What a chunk is written with: what it has to hold, `needed`, or with the tasks that its part has recorded
// as done, whichever is the shorter text; nobody starts those. An array whose tasks end in no order would
// outgrow its value otherwise.
Ranges shorter_chunk(const Ranges& needed, const Ranges& not_returned, const store::Job& job, PartId part) {
  auto progress = job.progress.find(part);
  if (progress == job.progress.end() || needed.spans().size() <= not_returned.spans().size()) return needed;
  Ranges whole = progress->second.value.done;
  Ranges others = whole;
  others.remove(not_returned);
  whole.remove(others);
  whole.add(needed);
  return whole.spans().size() < needed.spans().size() ? whole : needed;
}

}  // namespace

Lead::Lead(LeadParams params, std::vector<config::TeamSettings> teams,
           std::vector<config::Objective> objectives)
    : params_(params), teams_(std::move(teams)), objectives_(std::move(objectives)) {}

void Lead::ledger(const Entry& e, int sign) {
  const auto& team = e.record.spec->team;
  usage_[team] += e.record.spec->each * (sign * static_cast<double>(e.charged));
  if (!e.end) return;
  auto& left = left_by_message_[team];
  for (auto part : e.told_by)
    if ((left[part] += sign) == 0) left.erase(part);
}

// Found by reading the code: the owner of a part told that a cancelled job's tasks were returned, and their
// place in the team's limit went to another job. Its successor, which had neither read the cancellation nor
// knew of the message, could still start them. Under the present term's role no successor has begun; one that
// begins later reads the cancellation first.
std::set<PartId> Lead::rests_on(const Entry& e) const {
  std::set<PartId> parts = e.told_by;
  if (auto left = left_by_message_.find(e.record.spec->team); left != left_by_message_.end())
    for (const auto& [part, jobs] : left->second) parts.insert(part);
  return parts;
}

std::set<PartId> Lead::returned_by_message(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? std::set<PartId>{} : it->second.told_by;
}

void Lead::on_job(const JobId& id, const store::Job* job, std::optional<store::End> end, Instant now,
                  std::optional<WallMs> ready_since) {
  auto it = jobs_.find(id);
  if (it != jobs_.end()) ledger(it->second, -1);
  if (end || !job) {
    needs_.on_over(id);
    failing_.erase(id);
  }
  unindex(id);
  if (!job || !job->record.spec) {
    if (it != jobs_.end()) jobs_.erase(it);
    told_.erase(id);
    return;
  }
  bool awaits = !job->record.spec->awaits.empty();
  if (awaits && !end && !ready_since) {
    if (it != jobs_.end()) jobs_.erase(it);
    return wait_for_others(id, job->record);
  }
  needs_.on_released(id);
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
  const auto told = told_.find(id);
  // That a task is done stays true whoever owns the part.
  if (told != told_.end())
    for (const auto& [part, t] : told->second) e.done.add(t.progress.done);
  if (!e.done.empty()) failing_.erase(id);
  e.live.clear();
  e.kept.clear();
  e.out = e.told_returned = e.charged = 0;
  e.told_by.clear();
  Ranges out;
  for (const auto& c : e.grants.chunks) {
    Ranges r = c.tasks;
    if (auto p = job->progress.find(c.part); p != job->progress.end())
      r.remove(store::given_back(p->second.value, c.generation));
    const Ranges not_returned = r;
    r.remove(recorded);
    Ranges returned = r;
    if (told != told_.end())
      if (auto t = told->second.find(c.part); t != told->second.end())
        r.remove(store::given_back(t->second.progress, c.generation));
    returned.remove(r);
    if (!returned.empty()) e.told_by.insert(c.part);
    // A successor may return what its predecessor told to be done.
    returned.remove(e.done);
    e.told_returned += returned.count();
    if (r.empty()) continue;
    auto kept = c;
    kept.tasks = shorter_chunk(r, not_returned, *job, c.part);
    e.kept.emplace_back(r, std::move(kept));
    r.remove(e.done);
    if (r.empty()) continue;
    e.out += r.count();
    out.add(r);
    e.live.emplace_back(std::move(r), c);
  }
  // What was only told to be returned stays in the ledger: the part's next owner, who doesn't know of it, may
  // start it. Not so of a job that is over, see rests_on. Nor what is done, by record or word: should it be
  // started again, it ends as soon as it has its image.
  e.charged = e.out + (end ? 0 : e.told_returned);
  e.pending = Ranges();
  if (!end) {
    e.pending = Ranges::span(0, e.record.spec->tasks);
    e.pending.remove(e.done);
    e.pending.remove(out);
  }
  if (!awaits) {
    e.counts_from = e.record.submitted;
  } else if (fresh && ready_since) {
    e.counts_from = *ready_since;
  }
  e.need = need_of(id, e);
  if (static_cast<double>(pieces(e)) < static_cast<double>(e.too_long) * kShorter) e.too_long = 0;
  if (fresh || (had_pending == 0 && !e.pending.empty())) e.waiting_since = now;
  // A new job, or a replica that lost its machine, is asked about at once.
  if (!e.pending.empty() &&
      (!e.granted_once || (e.record.spec->kind == JobKind::kService && e.pending.count() > had_pending)))
    urgent_ = true;
  ledger(e, +1);
  index(id, e);
}

void Lead::index(const JobId& id, const Entry& e) {
  if (e.end) {
    if (e.live.empty()) drained_.insert(id);
    return;
  }
  open_.insert(id);
  if (!e.pending.empty()) waiting_.insert(id);
  if (e.record.spec->kind == JobKind::kService) return;
  arrays_.insert(id);
  if (e.done.count() == e.record.spec->tasks) finished_.insert(id);
}

void Lead::unindex(const JobId& id) {
  for (auto* jobs : {&waiting_, &arrays_, &open_, &finished_, &drained_}) jobs->erase(id);
}

std::size_t Lead::pieces(const Entry& e) {
  std::size_t n = 0;
  for (const auto& [tasks, chunk] : e.kept) n += 1 + chunk.tasks.spans().size();
  return n;
}

void Lead::on_too_long(const JobId& id) {
  if (auto it = jobs_.find(id); it != jobs_.end())
    it->second.too_long = std::max<std::size_t>(1, pieces(it->second));
}

void Lead::wait_for_others(const JobId& id, const store::JobRecord& record) {
  const auto& spec = *record.spec;
  // To be complete in time it has to start a run time earlier, and what it awaits is seen to be done and is
  // followed by its grant a few reports later.
  auto takes = from_seconds(spec.estimate_s) + kReportsBetweenSteps * params_.report_period;
  needs_.on_waiting(id, spec.awaits, {spec.priority, due(record, std::nullopt)}, takes);
  refresh_needs();
}

void Lead::refresh_needs() {
  for (const auto& id : needs_.take_changed())
    if (auto it = jobs_.find(id); it != jobs_.end()) it->second.need = need_of(id, it->second);
}

Need Lead::need_of(const JobId& id, const Entry& e) const {
  return stricter({e.record.spec->priority, due(e.record, e.counts_from)}, needs_.of(id));
}

void Lead::on_outcomes(const wire::Outcomes& o, Instant now) {
  auto known = terms_.find(o.part);
  bool present = known != terms_.end() && known->second == o.term;
  for (const auto& j : o.jobs) {
    on_verdict(j.job, j.verdict, now);
    auto& t = told_[j.job][o.part];
    t.progress.done.add(j.done);
    if (!present) continue;
    if (t.term != o.term) t.progress.returned.clear();
    t.term = o.term;
    // Copies may come late and in any order: what was returned under a generation stays so.
    for (const auto& r : j.returned) {
      auto it = std::find_if(t.progress.returned.begin(), t.progress.returned.end(),
                             [&](const auto& x) { return x.generation == r.generation; });
      if (it == t.progress.returned.end()) {
        t.progress.returned.push_back(r);
      } else {
        it->tasks.add(r.tasks);
      }
    }
  }
}

void Lead::on_verdict(const JobId& id, wire::Verdict verdict, Instant now) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.end || !it->second.done.empty()) return;
  failing_.on_verdict(id, verdict, it->second.granted, now);
}

std::vector<JobId> Lead::on_terms(const std::map<PartId, Term>& terms) {
  std::vector<JobId> touched;
  if (terms == terms_) return touched;
  terms_ = terms;
  for (auto& [id, parts] : told_)
    for (auto& [part, t] : parts) {
      auto now = terms_.find(part);
      if (t.progress.returned.empty() || (now != terms_.end() && now->second == t.term)) continue;
      t.progress.returned.clear();
      touched.push_back(id);
    }
  return touched;
}

void Lead::on_summary(const wire::Summary& s, Instant) {
  auto& have = summaries_[s.part];
  if (s.term >= have.term) have = s;
}

void Lead::on_answer(const wire::Answer& a, Instant) {
  if (!round_ || a.round != round_->id || a.rooms.size() != round_->shapes.size()) return;
  if (!round_->asked.contains(a.part)) return;
  round_->answers[a.part] = a.rooms;
  std::erase_if(sent_[a.part], [&](const Sent& s) { return s.revision <= a.seen; });
}

std::optional<Duration> Lead::late(const JobId& id, WallMs wall) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const auto& due = it->second.need.due_ms;
  if (due.empty() || wall.value() <= due[0]) return std::nullopt;
  return std::chrono::milliseconds(wall.value() - due[0]);
}

std::vector<Demand> Lead::demand(Instant now) const {
  std::vector<Demand> out;
  auto usage = usage_;
  for (const auto& id : waiting_) {
    const auto& e = jobs_.at(id);
    auto n = grantable(id, e, usage, now);
    if (n == 0) continue;
    auto fresh = n - std::min(n, e.told_returned);
    usage[e.record.spec->team] += e.record.spec->each * static_cast<double>(fresh);
    out.push_back({part::shape_of(*e.record.spec, n), now - e.waiting_since});
  }
  return out;
}

}  // namespace beaconsill::lead
