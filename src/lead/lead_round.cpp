// Rounds: the parts are asked for estimates, and waiting tasks are split by the answers.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "lead/counts.h"
#include "lead/lead.h"

namespace beaconsill::lead {
namespace {

constexpr std::size_t kJobsPerRound = 24;
constexpr std::size_t kShapesPerRound = 16;
constexpr Duration kMinGap = std::chrono::milliseconds(20);
// In multiples of the longest wait: until when others give way to a gang that finds no room.
constexpr double kGiveWay = 3;

}  // namespace

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
      for (const auto& [tasks, chunk] : e.kept) g.grants.chunks.push_back(chunk);
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
      std::uint32_t less = spec.each.cpus > 0 ? ceil_count(taken[part] / spec.each.cpus) : 0;
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
    for (const auto& [tasks, chunk] : e.kept) g.grants.chunks.push_back(chunk);
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

}  // namespace beaconsill::lead
