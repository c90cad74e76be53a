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
// Of these, the places that go to jobs in the order of the queue if there are more. The others are kept for
// those that were not asked about for longest: what is first in the queue may wait for room that others don't
// need.
constexpr std::size_t kJobsInOrder = 18;
constexpr std::size_t kShapesInOrder = 12;
// What has got nothing for so long gives way no more.
constexpr Duration kLongestGivingWay = std::chrono::seconds(60);
constexpr Duration kMinGap = std::chrono::milliseconds(20);
// In multiples of the longest wait: until when others give way to a gang that finds no room.
constexpr double kGiveWay = 3;

}  // namespace

std::optional<wire::Ask> Lead::begin_round(Instant now, WallMs wall, const std::set<PartId>& reachable) {
  if (round_) return std::nullopt;
  // Between rounds for work that didn't fit a report period passes, unless something new came.
  if (now - last_round_ < (urgent_ ? kMinGap : params_.report_period / 2)) return std::nullopt;
  Round r;
  // What came just now and shouldn't wait goes by itself: a write for many arrays would hold up services. But
  // services that find no room would hold up the arrays without end, as others come.
  bool services_only = urgent_ && now - last_full_round_ < params_.report_period && services_wait(now);
  if (!services_only) last_full_round_ = now;
  choose(order(now, wall, services_only), r, now, wall);
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

// Which of those that wait, in the order of the queue, the round is about.
void Lead::choose(const std::vector<QueuedJob>& waiting, Round& r, Instant now, WallMs wall) {
  std::vector<std::optional<std::size_t>> shape_of(waiting.size());
  std::size_t chosen = 0;
  auto take = [&](std::size_t i, std::size_t most_shapes) {
    auto shape = part::shape_of(*jobs_.at(waiting[i].id).record.spec, 0);
    shape.priority = waiting[i].priority;
    auto it = std::find(r.shapes.begin(), r.shapes.end(), shape);
    if (it == r.shapes.end()) {
      if (r.shapes.size() >= most_shapes) return;
      it = r.shapes.insert(it, shape);
    }
    shape_of[i] = static_cast<std::size_t>(it - r.shapes.begin());
    ++chosen;
  };
  for (std::size_t i = 0; i < waiting.size() && chosen < kJobsInOrder; ++i) take(i, kShapesInOrder);
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < waiting.size(); ++i)
    if (!shape_of[i]) others.push_back(i);
  std::stable_sort(others.begin(), others.end(), [&](std::size_t a, std::size_t b) {
    return jobs_.at(waiting[a].id).asked < jobs_.at(waiting[b].id).asked;
  });
  for (auto i : others)
    if (chosen < kJobsPerRound) take(i, kShapesPerRound);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (!shape_of[i]) continue;
    auto& e = jobs_.at(waiting[i].id);
    e.asked = now;
    r.shape_of.push_back(*shape_of[i]);
    r.jobs.push_back(waiting[i].id);
    if (auto w = overdue(waiting[i].id, e, wall); w >= 1 && w < kGiveWay) r.overdue.insert(waiting[i].id);
  }
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

// It's atomic, and rests on the version of each of its keys and on none of its jobs being over.
bool Lead::may_come(const Unsettled& u) const {
  return std::all_of(u.begin(), u.end(), [&](const auto& x) {
    auto it = jobs_.find(x.first);
    return it != jobs_.end() && !it->second.end && it->second.grants_version == x.second;
  });
}

std::set<JobId> Lead::fences() const {
  std::set<JobId> out;
  for (const auto& u : unsettled_) {
    bool fenced = std::any_of(u.begin(), u.end(), [&](const auto& x) { return out.contains(x.first); });
    if (!fenced) out.insert(u.begin()->first);
  }
  return out;
}

Lead::Grant Lead::rewritten(const JobId& id, const Entry& e) const {
  Grant g{id, {}, e.grants_version, rests_on(e)};
  g.grants.last = e.grants.last;
  for (const auto& [tasks, chunk] : e.kept) g.grants.chunks.push_back(chunk);
  return g;
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

  std::erase_if(unsettled_, [&](const Unsettled& u) { return !may_come(u); });
  auto fence = fences();
  // With so many that they fill a transaction nothing is granted beside them.
  bool only_fences = fence.size() >= params_.max_writes;
  auto capacity = std::max(std::min(most, params_.max_writes), fence.size() + 1);
  auto open = [&] { return !only_fences && grants.size() + fence.size() < capacity; };

  bool give_way = false;
  for (std::size_t i = 0; i < r.jobs.size() && open(); ++i) {
    auto job = jobs_.find(r.jobs[i]);
    if (job == jobs_.end() || job->second.end || job->second.pending.empty()) continue;
    auto& e = job->second;
    const auto& spec = *e.record.spec;
    std::uint32_t want = grantable(job->first, e, usage, now);
    if (want == 0) continue;

    bool gang = spec.kind == JobKind::kGang;
    bool gives_way = now - std::max(e.waiting_since, e.granted) < kLongestGivingWay;
    if (give_way && spec.kind == JobKind::kArray && gives_way) continue;
    if (gang && want < e.pending.count()) continue;
    if (gang && !e.live.empty()) {
      if (e.grants.recall || now - e.waiting_since < 2 * params_.report_period) continue;
      auto g = rewritten(job->first, e);
      g.grants.recall = true;
      fence.erase(job->first);
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
      auto add = [&, part = part](std::vector<Room>& list, std::optional<Zone> zone, std::uint32_t n) {
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

    auto g = rewritten(job->first, e);
    usage[spec.team] -= spec.each * static_cast<double>(e.told_returned);
    Ranges pending = e.pending;
    Attempt attempt(gang ? e.grants.last.value() + 1 : 0);
    std::optional<Priority> inherited;
    if (e.need.priority > spec.priority) inherited = e.need.priority;
    auto give = [&](const std::vector<Share>& list, bool force) {
      for (const auto& s : list) {
        g.grants.last = Generation(g.grants.last.value() + 1);
        g.grants.chunks.push_back({g.grants.last, s.part, terms.at(s.part), pending.take(s.tasks), s.zone,
                                   force, attempt, inherited});
        taken[s.part] += spec.each.cpus * s.tasks;
        usage[spec.team] += spec.each * static_cast<double>(s.tasks);
      }
    };
    give(shares, false);
    give(by_force, true);
    fence.erase(job->first);
    grants.push_back(std::move(g));
  }
  if (grants.empty() && !only_fences) {
    round_.reset();
    return grants;
  }
  for (const auto& id : fence) {
    if (grants.size() >= params_.max_writes) break;
    const auto& e = jobs_.at(id);
    grants.push_back(rewritten(id, e));
    grants.back().grants.recall = e.grants.recall;
  }
  r.writing = true;
  return grants;
}

void Lead::on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now) {
  // Others may have come while it was written, and services go by themselves.
  bool more = round_ && (grants.size() >= params_.max_writes || for_services());
  round_.reset();
  if (more) urgent_ = true;
  if (!revision) {
    Unsettled u;
    for (const auto& g : grants) u[g.job] = g.expected;
    if (!u.empty()) unsettled_.push_back(std::move(u));
    return;
  }
  for (const auto& g : grants) {
    auto it = jobs_.find(g.job);
    if (it == jobs_.end()) continue;
    it->second.granted = now;
    for (const auto& c : g.grants.chunks)
      if (c.generation > it->second.grants.last)
        sent_[c.part].push_back({*revision, it->second.record.spec->each.cpus * c.tasks.count()});
  }
}

}  // namespace beaconsill::lead
