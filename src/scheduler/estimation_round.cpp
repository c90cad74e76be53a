// Rounds: the shards are asked for estimates, and waiting tasks are split by the answers.
#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "scheduler/counts.h"
#include "scheduler/scheduler.h"

namespace beaconsill::scheduler {
namespace {

constexpr std::size_t kJobsPerRound = 24;
constexpr std::size_t kRequestsPerRound = 16;
// Of these, the places that go to jobs in the order of the queue if there are more. The others are kept for
// those that were not asked about for longest: what is first in the queue may wait for room that others don't
// need.
constexpr std::size_t kJobsInOrder = 18;
constexpr std::size_t kRequestsInOrder = 12;
// What has got nothing for so long gives way no more.
constexpr Duration kMaxYieldTime = std::chrono::seconds(60);
constexpr Duration kMinGap = std::chrono::milliseconds(20);
// In multiples of the longest wait: until when others give way to a gang that finds no room.
constexpr double kYieldLimit = 3;

}  // namespace

std::optional<protocol::EstimateRequest> Scheduler::begin_round(Instant now, WallMs wall,
                                                                const std::set<ShardId>& reachable) {
  if (round_) return std::nullopt;
  // Between rounds for work that didn't fit a report period passes, unless something new came.
  if (now - last_round_ < (urgent_ ? kMinGap : params_.heartbeat_period / 2)) return std::nullopt;
  Round r;
  // What came just now and shouldn't wait goes by itself: a write for many arrays would hold up services. But
  // services that find no room would hold up the arrays without end, as others come.
  bool services_only = urgent_ && now - last_full_round_ < params_.heartbeat_period && services_wait(now);
  if (!services_only) last_full_round_ = now;
  choose(order(now, wall, services_only), r, now, wall);
  urgent_ = false;
  if (r.jobs.empty()) return std::nullopt;
  r.id = next_round_++;
  r.began = now;
  r.asked = reachable;
  last_round_ = now;
  protocol::EstimateRequest estimate_request{r.id, r.resource_requests};
  round_ = std::move(r);
  return estimate_request;
}

// Which of those that wait, in the order of the queue, the round is about.
void Scheduler::choose(const std::vector<QueuedJob>& waiting, Round& r, Instant now, WallMs wall) {
  std::vector<std::optional<std::size_t>> request_of(waiting.size());
  std::size_t chosen = 0;
  auto take = [&](std::size_t i, std::size_t max_requests) {
    auto resource_request = shard::request_of(*jobs_.at(waiting[i].id).record.spec, 0);
    resource_request.priority = waiting[i].priority;
    auto it = std::find(r.resource_requests.begin(), r.resource_requests.end(), resource_request);
    if (it == r.resource_requests.end()) {
      if (r.resource_requests.size() >= max_requests) return;
      it = r.resource_requests.insert(it, resource_request);
    }
    request_of[i] = static_cast<std::size_t>(it - r.resource_requests.begin());
    ++chosen;
  };
  for (std::size_t i = 0; i < waiting.size() && chosen < kJobsInOrder; ++i) take(i, kRequestsInOrder);
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < waiting.size(); ++i)
    if (!request_of[i]) others.push_back(i);
  std::stable_sort(others.begin(), others.end(), [&](std::size_t a, std::size_t b) {
    return jobs_.at(waiting[a].id).asked < jobs_.at(waiting[b].id).asked;
  });
  for (auto i : others)
    if (chosen < kJobsPerRound) take(i, kRequestsPerRound);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (!request_of[i]) continue;
    auto& e = jobs_.at(waiting[i].id);
    e.asked = now;
    r.request_of.push_back(*request_of[i]);
    r.jobs.push_back(waiting[i].id);
    if (auto w = starvation(waiting[i].id, e, wall); w >= 1 && w < kYieldLimit)
      r.starvation.insert(waiting[i].id);
  }
}

std::vector<ShardCapacity> Scheduler::capacity_for_gang(std::uint32_t n, std::vector<ShardCapacity> rooms) {
  std::map<ShardId, std::uint64_t> by_shard;
  std::uint64_t sum = 0;
  for (const auto& r : rooms) {
    by_shard[r.shard] += r.room;
    sum += r.room;
  }
  if (sum < n) return {};
  auto roomiest = std::max_element(by_shard.begin(), by_shard.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; });
  if (roomiest->second >= n)
    std::erase_if(rooms, [&](const ShardCapacity& r) { return r.shard != roomiest->first; });
  return rooms;
}

bool Scheduler::has_services() const {
  return round_ && std::any_of(round_->jobs.begin(), round_->jobs.end(), [&](const auto& id) {
           auto it = jobs_.find(id);
           return it != jobs_.end() && it->second.record.spec->kind == JobKind::kService;
         });
}

// It's atomic, and rests on the version of each of its keys and on none of its jobs being over.
bool Scheduler::may_still_commit(const IndeterminateTxn& u) const {
  return std::all_of(u.begin(), u.end(), [&](const auto& x) {
    auto it = jobs_.find(x.first);
    return it != jobs_.end() && !it->second.end && it->second.grants_version == x.second;
  });
}

std::set<JobId> Scheduler::superseding_writes() const {
  std::set<JobId> out;
  for (const auto& u : indeterminate_) {
    bool fenced = std::any_of(u.begin(), u.end(), [&](const auto& x) { return out.contains(x.first); });
    if (!fenced) out.insert(u.begin()->first);
  }
  return out;
}

Scheduler::Grant Scheduler::rewritten(const JobId& id, const Entry& e) const {
  Grant g{id, {}, e.grants_version, depends_on_shards(e)};
  g.grants.last = e.grants.last;
  for (const auto& [tasks, chunk] : e.kept) g.grants.chunks.push_back(chunk);
  return g;
}

std::optional<std::vector<Scheduler::Grant>> Scheduler::decide(Instant now,
                                                               const std::map<ShardId, Term>& terms,
                                                               std::size_t most) {
  if (!round_ || round_->writing) return std::nullopt;
  auto& r = *round_;
  bool all = std::all_of(r.asked.begin(), r.asked.end(), [&](ShardId p) { return r.answers.contains(p); });
  if (!all && now - r.began < params_.reply_wait) return std::nullopt;
  for (auto p : r.asked)
    if (!r.answers.contains(p))
      spdlog::debug("round {}: part {} didn't answer, judged by its summary", r.id, p.value());

  std::map<Team, Resources> usage = usage_;
  std::map<ShardId, double> taken;  // CPUs given in this round or not yet seen by the shard
  std::map<std::pair<ShardId, Zone>, double> taken_in_zone;
  std::vector<Grant> grants;
  for (const auto& [shard, sent] : assumed_)
    for (const auto& s : sent) taken[shard] += s.cpus;

  std::erase_if(indeterminate_, [&](const IndeterminateTxn& u) { return !may_still_commit(u); });
  auto superseding = superseding_writes();
  // With so many that they fill a transaction nothing is granted beside them.
  bool only_superseding = superseding.size() >= params_.max_writes;
  auto capacity = std::max(std::min(most, params_.max_writes), superseding.size() + 1);
  auto open = [&] { return !only_superseding && grants.size() + superseding.size() < capacity; };

  bool yield_to_gang = false;
  for (std::size_t i = 0; i < r.jobs.size() && open(); ++i) {
    auto job = jobs_.find(r.jobs[i]);
    if (job == jobs_.end() || job->second.end || job->second.pending.empty()) continue;
    auto& e = job->second;
    const auto& spec = *e.record.spec;
    std::uint32_t want = grantable(job->first, e, usage, now);
    if (want == 0) continue;

    bool gang = spec.kind == JobKind::kGang;
    bool may_yield = now - std::max(e.waiting_since, e.granted) < kMaxYieldTime;
    if (yield_to_gang && spec.kind == JobKind::kArray && may_yield) continue;
    if (gang && want < e.pending.count()) continue;
    if (gang && !e.live.empty()) {
      if (e.grants.revoke || now - e.waiting_since < 2 * params_.heartbeat_period) continue;
      auto g = rewritten(job->first, e);
      g.grants.revoke = true;
      superseding.erase(job->first);
      grants.push_back(std::move(g));
      continue;
    }

    // The zones that the job's other tasks leave open to it.
    bool zoned = spec.one_zone || spec.spread;
    std::map<Zone, std::uint32_t> in_zone;
    if (zoned)
      for (const auto& [tasks, chunk] : e.kept)
        if (chunk.zone) in_zone[*chunk.zone] += tasks.count();

    std::vector<ShardCapacity> warm, free, preemptible, warm_preemptible;
    for (const auto& [shard, term] : terms) {
      protocol::CapacityByZone rooms;
      if (auto a = r.answers.find(shard); a != r.answers.end()) {
        rooms = a->second[r.request_of[i]];
      } else if (auto s = summaries_.find(shard); s != summaries_.end()) {
        rooms = shard::estimate(s->second, r.resource_requests[r.request_of[i]], params_.rules);
      }
      std::uint32_t less = spec.each.cpus > 0 ? ceil_count(taken[shard] / spec.each.cpus) : 0;
      auto add = [&, shard = shard](std::vector<ShardCapacity>& list, std::optional<Zone> zone,
                                    std::uint32_t n) {
        if (n > 0) list.push_back({shard, std::move(zone), n});
      };
      std::uint32_t shard_warm = 0, shard_free = 0, shard_preemptible = 0, shard_warm_preemptible = 0;
      for (const auto& z : rooms) {
        if (zoned) {
          auto lessz = std::min(z.free, less);
          less -= lessz;
          add(free, z.zone, z.free - lessz);
          add(preemptible, z.zone, z.preemptible);
        }
        shard_warm += z.warm;
        shard_free += z.free;
        shard_preemptible += z.preemptible;
        shard_warm_preemptible += z.warm_preemptible;
      }
      if (!zoned) {
        add(warm, std::nullopt, shard_warm > less ? shard_warm - less : 0);
        add(free, std::nullopt, shard_free > less ? shard_free - less : 0);
        add(preemptible, std::nullopt, shard_preemptible);
        add(warm_preemptible, std::nullopt, shard_warm_preemptible);
      }
    }
    auto sum = [](const std::vector<ShardCapacity>& rooms) {
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
      auto elsewhere = [&](const ShardCapacity& x) { return !zone || *x.zone != *zone; };
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
      free = capacity_for_gang(want, std::move(free));
      warm.clear();
      preemptible.clear();
      if (free.empty()) {
        // Arrays take whatever becomes free, and a large gang would never find its room: they give way for a
        // time.
        yield_to_gang = yield_to_gang || r.starvation.contains(job->first);
        continue;
      }
    }
    // Room where the image already is goes first: a fetch takes longer than anything else on the way to a
    // start, for a service also longer than stopping work of lower priority where the image is.
    auto count = [](const std::vector<ShardAllocation>& list) {
      std::uint32_t n = 0;
      for (const auto& x : list) n += x.tasks;
      return n;
    };
    bool by_force_where_warm =
        spec.kind == JobKind::kService && sum(warm) < want && sum(warm) + sum(warm_preemptible) >= want;
    auto allocations = apportion(want, warm);
    if (auto placed = count(allocations); placed < want && !by_force_where_warm) {
      std::vector<ShardCapacity> cold = free;
      for (auto& x : cold)
        for (const auto& w : warm)
          if (w.shard == x.shard && w.zone == x.zone) x.room -= std::min(x.room, w.room);
      for (auto& x : apportion(want - placed, cold)) allocations.push_back(std::move(x));
    }
    std::vector<ShardAllocation> by_force;
    if (auto placed = count(allocations); placed < want)
      by_force = apportion(want - placed, by_force_where_warm ? warm_preemptible : preemptible);
    if (allocations.empty() && by_force.empty()) continue;

    auto g = rewritten(job->first, e);
    usage[spec.team] -= spec.each * static_cast<double>(e.notified_released);
    Ranges pending = e.pending;
    Attempt attempt(gang ? e.grants.last.value() + 1 : 0);
    std::optional<Priority> inherited;
    if (e.need.priority > spec.priority) inherited = e.need.priority;
    auto give = [&](const std::vector<ShardAllocation>& list, bool force) {
      for (const auto& s : list) {
        g.grants.last = Generation(g.grants.last.value() + 1);
        g.grants.chunks.push_back({g.grants.last, s.shard, terms.at(s.shard), pending.take(s.tasks), s.zone,
                                   force, attempt, inherited});
        taken[s.shard] += spec.each.cpus * s.tasks;
        usage[spec.team] += spec.each * static_cast<double>(s.tasks);
      }
    };
    give(allocations, false);
    give(by_force, true);
    superseding.erase(job->first);
    grants.push_back(std::move(g));
  }
  if (grants.empty() && !only_superseding) {
    round_.reset();
    return grants;
  }
  for (const auto& id : superseding) {
    if (grants.size() >= params_.max_writes) break;
    const auto& e = jobs_.at(id);
    grants.push_back(rewritten(id, e));
    grants.back().grants.revoke = e.grants.revoke;
  }
  r.writing = true;
  return grants;
}

void Scheduler::on_granted(const std::vector<Grant>& grants, std::optional<Revision> revision, Instant now) {
  // Others may have come while it was written, and services go by themselves.
  bool more = round_ && (grants.size() >= params_.max_writes || has_services());
  round_.reset();
  if (more) urgent_ = true;
  if (!revision) {
    IndeterminateTxn u;
    for (const auto& g : grants) u[g.job] = g.expected;
    if (!u.empty()) indeterminate_.push_back(std::move(u));
    return;
  }
  for (const auto& g : grants) {
    auto it = jobs_.find(g.job);
    if (it == jobs_.end()) continue;
    it->second.granted = now;
    for (const auto& c : g.grants.chunks)
      if (c.generation > it->second.grants.last)
        assumed_[c.shard].push_back({*revision, it->second.record.spec->each.cpus * c.tasks.count()});
  }
}

}  // namespace beaconsill::scheduler
