#include "lead/lead.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::lead {
namespace {

constexpr std::size_t kJobsPerRound = 24;
constexpr std::size_t kShapesPerRound = 16;
// Tasks of one job that may be out at once: bounds the values in the state service.
constexpr std::uint32_t kWindow = 2000;
constexpr Duration kMinGap = std::chrono::milliseconds(20);
constexpr double kSlack = 1e-6;
// In multiples of the longest wait: from when on a job that got nothing goes before work of higher priority,
// and until when others give way to a gang that finds no room.
constexpr double kBeforeAll = 1.3;
constexpr double kGiveWay = 3;
// What can keep none of its times comes after all that can.
constexpr std::int64_t kTooLate = std::int64_t{1} << 50;
// What is left of a task that is out, on average.
constexpr double kUnderWay = 0.5;

std::uint32_t up(double x) {
  return x <= 0 ? 0 : static_cast<std::uint32_t>(std::ceil(x - kSlack));
}

}  // namespace

Lead::Lead(LeadParams params, std::vector<config::TeamSettings> teams,
           std::vector<config::Objective> objectives)
    : params_(params), teams_(std::move(teams)), objectives_(std::move(objectives)) {}

// The times that the objectives and the job itself set, from its submission.
std::vector<std::int64_t> Lead::due(const wire::JobSpec& spec, WallMs submitted) const {
  std::set<double> times;
  for (const auto& o : objectives_) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == "deadline" && spec.deadline_s) times.insert(*spec.deadline_s * o.times);
    if (o.kind == "finished" && o.within_s > 0) times.insert(o.within_s);
    // All its tasks are to start by then; the last of them is complete a run time later.
    if (o.kind == "wait" && o.within_s > 0) times.insert(o.within_s + spec.estimate_s);
  }
  if (times.empty() && spec.deadline_s) times.insert(*spec.deadline_s);
  std::vector<std::int64_t> out;
  for (double t : times) out.push_back(submitted.value() + static_cast<std::int64_t>(t * 1000));
  return out;
}

void Lead::ledger(const Entry& e, int sign) {
  usage_[e.record.spec->team] += e.record.spec->each * (sign * static_cast<double>(e.charged));
}

void Lead::on_job(const JobId& id, const store::Job* job, std::optional<store::End> end, Instant now) {
  auto it = jobs_.find(id);
  if (it != jobs_.end()) ledger(it->second, -1);
  if (!job || !job->record.spec) {
    if (it != jobs_.end()) jobs_.erase(it);
    told_.erase(id);
    return;
  }
  bool fresh = it == jobs_.end();
  auto& e = jobs_[id];
  auto had_pending = e.pending.count();
  e.record = job->record;
  e.end = end;
  e.grants = job->grants.value;
  e.grants_version = job->grants.version;
  e.granted_once = job->grants.exists();
  const Ranges recorded = job->done();
  e.done = recorded;
  const auto told = told_.find(id);
  // That a task is done stays true whoever owns the part.
  if (told != told_.end())
    for (const auto& [part, t] : told->second) e.done.add(t.progress.done);
  e.live.clear();
  e.kept.clear();
  e.out = e.told_returned = e.charged = 0;
  e.told_by.clear();
  Ranges out;
  for (const auto& c : e.grants.chunks) {
    Ranges r = c.tasks;
    if (auto p = job->progress.find(c.part); p != job->progress.end())
      r.remove(store::given_back(p->second.value, c.generation));
    r.remove(recorded);
    auto granted = r.count();
    if (told != told_.end())
      if (auto t = told->second.find(c.part); t != told->second.end())
        r.remove(store::given_back(t->second.progress, c.generation));
    if (r.count() < granted) {
      e.told_returned += granted - r.count();
      e.told_by.insert(c.part);
    }
    if (r.empty()) continue;
    e.kept.emplace_back(r, c);
    r.remove(e.done);
    if (r.empty()) continue;
    e.out += r.count();
    out.add(r);
    e.live.emplace_back(std::move(r), c);
  }
  // What was only told to be returned stays in the ledger: the part's next owner, who doesn't know of it, may
  // start it. Not so of a job that is over. Nor what is done, by record or word: should it be started again,
  // it ends as soon as it has its image.
  e.charged = e.out + (end ? 0 : e.told_returned);
  e.pending = Ranges();
  if (!end) {
    e.pending = Ranges::span(0, e.record.spec->tasks);
    e.pending.remove(e.done);
    e.pending.remove(out);
  }
  e.due_ms = due(*e.record.spec, e.record.submitted);
  if (fresh || (had_pending == 0 && !e.pending.empty())) e.waiting_since = now;
  // A new job, or a replica that lost its machine, is asked about at once.
  if (!e.pending.empty() &&
      (!e.granted_once || (e.record.spec->kind == JobKind::kService && e.pending.count() > had_pending)))
    urgent_ = true;
  ledger(e, +1);
}

void Lead::on_outcomes(const wire::Outcomes& o) {
  auto known = terms_.find(o.part);
  bool present = known != terms_.end() && known->second == o.term;
  for (const auto& j : o.jobs) {
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

double Lead::overdue(const Entry& e, WallMs wall) const {
  if (e.out > 0 || !e.done.empty() || params_.longest_wait <= Duration(0)) return 0;
  return static_cast<double>(wall.value() - e.record.submitted.value()) / 1000 /
         to_seconds(params_.longest_wait);
}

std::vector<QueuedJob> Lead::order(WallMs wall) const {
  std::vector<TimedJob> timed;
  double cpus = 0, begun = 0;
  for (const auto& [id, e] : jobs_) {
    const auto& spec = *e.record.spec;
    if (e.end || spec.kind == JobKind::kService) continue;
    cpus += spec.each.cpus * e.out;
    if (e.pending.empty()) {
      begun += spec.each.cpus * spec.estimate_s * kUnderWay * e.out;
      continue;
    }
    TimedJob t{
        id, spec.each.cpus * spec.estimate_s * (e.pending.count() + kUnderWay * e.out), spec.estimate_s, {}};
    for (auto due : e.due_ms) t.due.push_back(static_cast<double>(due - wall.value()) / 1000);
    timed.push_back(std::move(t));
  }
  // When work waits, what is out is what the machines can hold.
  auto planned = plan_starts(timed, cpus, begun);
  if (spdlog::should_log(spdlog::level::debug)) {
    double work = begun;
    for (const auto& t : timed) work += t.work;
    spdlog::debug("plan: {} jobs, {:.0f} CPU s for {:.0f} CPUs, {} of them can keep none of their times",
                  timed.size(), work, cpus, timed.size() - planned.size());
  }
  std::vector<QueuedJob> waiting;
  for (const auto& [id, e] : jobs_) {
    if (e.pending.empty() || e.end) continue;
    auto n = std::min(e.pending.count(), allowed_by_quota(e, usage_));
    bool gang = e.record.spec->kind == JobKind::kGang;
    // A gang is granted as a whole, and anew only once nothing of its last attempt is left anywhere.
    if (n == 0 || (gang && n < e.pending.count())) continue;
    QueuedJob q;
    q.id = id;
    q.team = e.record.spec->team;
    q.priority = e.record.spec->priority;
    q.due_ms = q.submitted_ms = e.record.submitted.value();
    q.wanted = e.record.spec->each * static_cast<double>(n);
    auto waits = overdue(e, wall);
    q.overdue = waits < 1 ? 0 : waits < kBeforeAll ? 1 : 2;
    if (!e.due_ms.empty() && e.record.spec->kind != JobKind::kService) {
      auto start = planned.find(id);
      q.due_ms = start == planned.end() ? e.due_ms.back() + kTooLate
                                        : wall.value() + static_cast<std::int64_t>(start->second * 1000);
    }
    waiting.push_back(std::move(q));
  }
  return serve_order(std::move(waiting), teams_, usage_);
}

std::optional<wire::Ask> Lead::begin_round(Instant now, WallMs wall, const std::set<PartId>& reachable) {
  if (round_) return std::nullopt;
  // Between rounds for work that didn't fit a report period passes, unless something new came.
  if (now - last_round_ < (urgent_ ? kMinGap : params_.report_period / 2)) return std::nullopt;
  Round r;
  auto waiting = order(wall);
  // What came just now and shouldn't wait goes by itself: a write for many arrays would hold up services.
  auto service = [&](const QueuedJob& q) { return jobs_.at(q.id).record.spec->kind == JobKind::kService; };
  if (urgent_ && std::any_of(waiting.begin(), waiting.end(), service))
    std::erase_if(waiting, [&](const QueuedJob& q) { return !service(q); });
  for (const auto& q : waiting) {
    const auto& id = q.id;
    auto shape = part::shape_of(*jobs_.at(id).record.spec, 0);
    auto it = std::find(r.shapes.begin(), r.shapes.end(), shape);
    if (it == r.shapes.end()) {
      if (r.shapes.size() >= kShapesPerRound) continue;
      it = r.shapes.insert(it, shape);
    }
    r.shape_of.push_back(static_cast<std::size_t>(it - r.shapes.begin()));
    r.jobs.push_back(id);
    if (auto w = overdue(jobs_.at(id), wall); w >= 1 && w < kGiveWay) r.overdue.insert(id);
    if (r.jobs.size() >= kJobsPerRound) break;
  }
  urgent_ = false;
  if (r.jobs.empty()) return std::nullopt;
  r.id = next_round_++;
  r.began = now;
  r.asked = reachable;
  last_round_ = now;
  wire::Ask ask{r.id, r.shapes};
  round_ = std::move(r);
  return ask;
}

std::uint32_t Lead::allowed_by_quota(const Entry& e, const std::map<Team, Resources>& usage) const {
  const auto& spec = *e.record.spec;
  // What was told to be returned is in the ledger until the write that grants it anew.
  double n = kWindow > e.charged ? kWindow - e.charged : 0;
  for (const auto& t : teams_) {
    if (t.name != spec.team) continue;
    auto it = usage.find(t.name);
    Resources used = it == usage.end() ? Resources{} : it->second;
    if (t.cpus_max > 0 && spec.each.cpus > 0)
      n = std::min(n, std::floor((t.cpus_max - used.cpus) / spec.each.cpus + kSlack));
    if (t.gpus_max > 0 && spec.each.gpus > 0)
      n = std::min(n, std::floor((t.gpus_max - used.gpus) / spec.each.gpus + kSlack));
  }
  n = std::max(n, 0.0) + e.told_returned;
  return static_cast<std::uint32_t>(n);
}

std::vector<Room> Lead::rooms_for_gang(std::uint32_t n, std::vector<Room> rooms) {
  std::map<PartId, std::uint64_t> by_part;
  std::uint64_t sum = 0;
  for (const auto& r : rooms) {
    by_part[r.part] += r.room;
    sum += r.room;
  }
  if (sum < n) return {};
  auto roomiest = std::max_element(by_part.begin(), by_part.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; });
  if (roomiest->second >= n) std::erase_if(rooms, [&](const Room& r) { return r.part != roomiest->first; });
  return rooms;
}

bool Lead::for_services() const {
  return round_ && std::any_of(round_->jobs.begin(), round_->jobs.end(), [&](const auto& id) {
           auto it = jobs_.find(id);
           return it != jobs_.end() && it->second.record.spec->kind == JobKind::kService;
         });
}

std::optional<std::vector<Lead::Grant>> Lead::decide(Instant now, const std::map<PartId, Term>& terms,
                                                     std::size_t most) {
  if (!round_ || round_->writing) return std::nullopt;
  auto& r = *round_;
  bool all = std::all_of(r.asked.begin(), r.asked.end(), [&](PartId p) { return r.answers.contains(p); });
  if (!all && now - r.began < params_.reply_wait) return std::nullopt;
  for (auto p : r.asked)
    if (!r.answers.contains(p))
      spdlog::debug("round {}: part {} didn't answer, judged by its summary", r.id, p.value());

  std::map<Team, Resources> usage = usage_;
  std::map<PartId, double> taken;  // CPUs given in this round or not yet seen by the part
  std::map<std::pair<PartId, Zone>, double> taken_in_zone;
  std::vector<Grant> grants;
  for (const auto& [part, sent] : sent_)
    for (const auto& s : sent) taken[part] += s.cpus;

  bool give_way = false;
  for (std::size_t i = 0; i < r.jobs.size() && grants.size() < std::min(most, params_.max_writes); ++i) {
    auto job = jobs_.find(r.jobs[i]);
    if (job == jobs_.end() || job->second.end || job->second.pending.empty()) continue;
    auto& e = job->second;
    const auto& spec = *e.record.spec;
    std::uint32_t want = std::min(e.pending.count(), allowed_by_quota(e, usage));
    if (want == 0) continue;

    bool gang = spec.kind == JobKind::kGang;
    if (give_way && spec.kind == JobKind::kArray) continue;
    if (gang && want < e.pending.count()) continue;
    if (gang && !e.live.empty()) {
      if (e.grants.recall || now - e.waiting_since < 2 * params_.report_period) continue;
      Grant g{job->first, {}, e.grants_version, e.told_by};
      g.grants.last = e.grants.last;
      g.grants.recall = true;
      for (const auto& [tasks, chunk] : e.kept) {
        g.grants.chunks.push_back(chunk);
        g.grants.chunks.back().tasks = tasks;
      }
      grants.push_back(std::move(g));
      continue;
    }

    // The zones that the job's other tasks leave open to it.
    bool zoned = spec.one_zone || spec.spread;
    std::map<Zone, std::uint32_t> in_zone;
    if (zoned)
      for (const auto& [tasks, chunk] : e.kept)
        if (chunk.zone) in_zone[*chunk.zone] += tasks.count();

    std::vector<Room> warm, free, preemptible, warm_preemptible;
    for (const auto& [part, term] : terms) {
      wire::ShapeRoom rooms;
      if (auto a = r.answers.find(part); a != r.answers.end()) {
        rooms = a->second[r.shape_of[i]];
      } else if (auto s = summaries_.find(part); s != summaries_.end()) {
        rooms = part::estimate(s->second, r.shapes[r.shape_of[i]], params_.rules);
      }
      std::uint32_t less = spec.each.cpus > 0 ? up(taken[part] / spec.each.cpus) : 0;
      auto add = [&](std::vector<Room>& list, std::optional<Zone> zone, std::uint32_t n) {
        if (n > 0) list.push_back({part, std::move(zone), n});
      };
      std::uint32_t part_warm = 0, part_free = 0, part_pre = 0, part_warm_pre = 0;
      for (const auto& z : rooms) {
        if (zoned) {
          auto lessz = std::min(z.free, less);
          less -= lessz;
          add(free, z.zone, z.free - lessz);
          add(preemptible, z.zone, z.preemptible);
        }
        part_warm += z.warm;
        part_free += z.free;
        part_pre += z.preemptible;
        part_warm_pre += z.warm_preemptible;
      }
      if (!zoned) {
        add(warm, std::nullopt, part_warm > less ? part_warm - less : 0);
        add(free, std::nullopt, part_free > less ? part_free - less : 0);
        add(preemptible, std::nullopt, part_pre);
        add(warm_preemptible, std::nullopt, part_warm_pre);
      }
    }
    auto sum = [](const std::vector<Room>& rooms) {
      std::uint64_t s = 0;
      for (const auto& x : rooms) s += x.room;
      return s;
    };
    if (spec.one_zone) {
      // All in one zone: that of its tasks that are out, or else the roomiest.
      std::map<Zone, std::uint64_t> by_zone;
      for (const auto& x : free) by_zone[*x.zone] += x.room;
      std::optional<Zone> zone;
      if (!in_zone.empty()) {
        zone = in_zone.begin()->first;
      } else {
        std::uint64_t best = 0;
        for (const auto& [z, n] : by_zone)
          if (n > best) best = n, zone = z;
      }
      auto elsewhere = [&](const Room& x) { return !zone || *x.zone != *zone; };
      std::erase_if(free, elsewhere);
      std::erase_if(preemptible, elsewhere);
    }
    if (spec.spread) {
      auto limit = zone_limit(spec);
      auto left = in_zone;
      for (auto* list : {&free, &preemptible})
        for (auto& x : *list) {
          auto& n = left[*x.zone];
          x.room = n >= limit ? 0 : std::min(x.room, limit - n);
          n += x.room;
        }
    }
    if (gang) {
      free = rooms_for_gang(want, std::move(free));
      warm.clear();
      preemptible.clear();
      if (free.empty()) {
        // Arrays take whatever becomes free, and a large gang would never find its room: they give way for a
        // time.
        give_way = give_way || r.overdue.contains(job->first);
        continue;
      }
    }
    // Room where the image already is goes first: a fetch takes longer than anything else on the way to a
    // start, for a service also longer than stopping work of lower priority where the image is.
    auto count = [](const std::vector<Share>& list) {
      std::uint32_t n = 0;
      for (const auto& x : list) n += x.tasks;
      return n;
    };
    bool by_force_where_warm =
        spec.kind == JobKind::kService && sum(warm) < want && sum(warm) + sum(warm_preemptible) >= want;
    auto shares = split(want, warm);
    if (auto placed = count(shares); placed < want && !by_force_where_warm) {
      std::vector<Room> cold = free;
      for (auto& x : cold)
        for (const auto& w : warm)
          if (w.part == x.part && w.zone == x.zone) x.room -= std::min(x.room, w.room);
      for (auto& x : split(want - placed, cold)) shares.push_back(std::move(x));
    }
    std::vector<Share> by_force;
    if (auto placed = count(shares); placed < want)
      by_force = split(want - placed, by_force_where_warm ? warm_preemptible : preemptible);
    if (shares.empty() && by_force.empty()) continue;

    Grant g{job->first, {}, e.grants_version, e.told_by};
    g.grants.last = e.grants.last;
    usage[spec.team] -= spec.each * static_cast<double>(e.told_returned);
    for (const auto& [tasks, chunk] : e.kept) {
      g.grants.chunks.push_back(chunk);
      g.grants.chunks.back().tasks = tasks;
    }
    Ranges pending = e.pending;
    Attempt attempt(gang ? e.grants.last.value() + 1 : 0);
    auto give = [&](const std::vector<Share>& list, bool force) {
      for (const auto& s : list) {
        g.grants.last = Generation(g.grants.last.value() + 1);
        g.grants.chunks.push_back(
            {g.grants.last, s.part, terms.at(s.part), pending.take(s.tasks), s.zone, force, attempt});
        taken[s.part] += spec.each.cpus * s.tasks;
        usage[spec.team] += spec.each * static_cast<double>(s.tasks);
      }
    };
    give(shares, false);
    give(by_force, true);
    grants.push_back(std::move(g));
  }
  if (grants.empty()) {
    round_.reset();
    return grants;
  }
  r.writing = true;
  return grants;
}

void Lead::on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant) {
  // Others may have come while it was written, and services go by themselves.
  bool more = round_ && (grants.size() >= params_.max_writes || for_services());
  round_.reset();
  if (more) urgent_ = true;
  if (!revision) return;
  for (const auto& g : grants) {
    auto it = jobs_.find(g.job);
    if (it == jobs_.end()) continue;
    for (const auto& c : g.grants.chunks)
      if (c.generation > it->second.grants.last)
        sent_[c.part].push_back({*revision, it->second.record.spec->each.cpus * c.tasks.count()});
  }
}

std::vector<JobId> Lead::finished() const {
  std::vector<JobId> out;
  for (const auto& [id, e] : jobs_)
    if (!e.end && e.record.spec->kind != JobKind::kService && e.done.count() == e.record.spec->tasks)
      out.push_back(id);
  return out;
}

std::optional<Duration> Lead::late(const JobId& id, WallMs wall) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.due_ms.empty() || wall.value() <= it->second.due_ms[0])
    return std::nullopt;
  return std::chrono::milliseconds(wall.value() - it->second.due_ms[0]);
}

bool Lead::busy() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& j) { return !j.second.end; });
}

std::vector<JobId> Lead::drained() const {
  std::vector<JobId> out;
  for (const auto& [id, e] : jobs_)
    if (e.end && e.live.empty()) out.push_back(id);
  return out;
}

std::vector<Demand> Lead::demand(Instant now) const {
  std::vector<Demand> out;
  auto usage = usage_;
  for (const auto& [id, e] : jobs_) {
    if (e.pending.empty() || e.end) continue;
    auto n = std::min(e.pending.count(), allowed_by_quota(e, usage));
    if (n == 0) continue;
    auto fresh = n - std::min(n, e.told_returned);
    usage[e.record.spec->team] += e.record.spec->each * static_cast<double>(fresh);
    out.push_back({part::shape_of(*e.record.spec, n), now - e.waiting_since});
  }
  return out;
}

}  // namespace beaconsill::lead
