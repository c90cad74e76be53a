#include "scheduler/autoscaler.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace beaconsill::scheduler {
namespace {
constexpr Duration kRefusalMemory = std::chrono::seconds(12);
constexpr Duration kRentAgain = std::chrono::seconds(1);
constexpr Duration kDeleteAgain = std::chrono::seconds(10);
// Work that waits for less than this may yet fit where it was sent.
constexpr Duration kPatience = std::chrono::milliseconds(1500);
// In usual boot times: beyond so many a machine isn't counted on.
constexpr double kSlowBoot = 2.0;
// The same: beyond so many it's deleted, if the machines that came up lately took no longer than usual. Each
// one that is given up makes the next of its type be waited for longer, else none would come up while all are
// slow.
constexpr double kLeastPatience = 3.0;
constexpr double kMostPatience = 12.0;
constexpr double kMorePatience = 1.5;
constexpr double kLessPatience = 0.8;
// Of the longest seen lately, so much is waited for.
constexpr double kLongerThanSeen = 2.0;
constexpr double kUnknownBootSeconds = 60;
constexpr double kLeastCpus = 0.01;  // that a task is reckoned with
// A list may be older than it should be by so many times the usual lag.
constexpr int kListLags = 2;
}  // namespace

Autoscaler::Autoscaler(AutoscalerParams params, std::string prefix)
    : params_(params), prefix_(std::move(prefix)) {}

void Autoscaler::on_takeover(Instant now) {
  list_complete_ = false;
  list_complete_at_ = now + params_.list_lag * kListLags;
}

double Autoscaler::typical_boot_s(const MachineType& type) const {
  if (!catalogue_) return kUnknownBootSeconds;
  auto t = catalogue_->find(type);
  return t == catalogue_->end() ? kUnknownBootSeconds : t->second.boot_s;
}

bool Autoscaler::is_boot_late(const PendingInstance& c, Instant now) const {
  return to_seconds(now - c.rented) > typical_boot_s(c.kind.type) * kSlowBoot;
}

double& Autoscaler::patience(const MachineType& type) {
  return patience_.try_emplace(type, kLeastPatience).first->second;
}

bool Autoscaler::boot_timed_out(const protocol::ListedMachine& m) {
  return m.state == protocol::MachineState::kBooting && m.age_s > typical_boot_s(m.type) * patience(m.type);
}

void Autoscaler::on_instance_running(const protocol::ListedMachine& m) {
  double seen = m.age_s / typical_boot_s(m.type) * kLongerThanSeen;
  auto& times = patience(m.type);
  times = std::clamp(std::max(seen, times * kLessPatience), kLeastPatience, kMostPatience);
}

void Autoscaler::on_boot_timeout(const protocol::ListedMachine& m, Instant now) {
  auto& times = patience(m.type);
  times = std::min(times * kMorePatience, kMostPatience);
  // Rather another type or zone first.
  refused_[{m.type, m.zone, m.spot}] = now;
}

void Autoscaler::on_list(std::vector<protocol::ListedMachine> machines, Instant now) {
  if (now >= list_complete_at_) list_complete_ = true;
  listed_.clear();
  for (auto& m : machines) {
    if (m.state == protocol::MachineState::kBooting) {
      auto rented = now - from_seconds(m.age_s);
      pending_instances_[m.name] = {{m.type, m.zone, m.spot}, rented};
    } else if (pending_instances_.erase(m.name) > 0 && m.state == protocol::MachineState::kRunning) {
      on_instance_running(m);
    }
    auto name = m.name;
    listed_[std::move(name)] = std::move(m);
  }
  // Rented long ago and still not listed: it came and went.
  std::erase_if(pending_instances_, [&](const auto& c) {
    return !listed_.contains(c.first) &&
           now - c.second.rented > params_.list_lag * 3 + std::chrono::seconds(5);
  });
  std::erase_if(deleted_, [&](const auto& d) { return now - d.second > kDeleteAgain; });
}

Autoscaler::PendingCapacity Autoscaler::pending_capacity(const protocol::ResourceRequest& s,
                                                         Instant now) const {
  PendingCapacity room;
  for (const auto& [name, c] : pending_instances_) {
    auto t = catalogue_->find(c.kind.type);
    if (t == catalogue_->end() || !shard::allowed(s, c.kind.type, c.kind.zone, c.kind.spot)) continue;
    auto n = std::min(shard::fits(t->second.total, s.each), params_.task_cap);
    (is_boot_late(c, now) ? room.late : room.on_time) += n;
  }
  return room;
}

// What is late is ordered anew, but once only: while nothing comes up, twice of what is needed is on order at
// most.
double Autoscaler::missing_capacity(const protocol::ResourceRequest& s, double ahead, Instant now) const {
  double each = std::max(s.each.cpus, kLeastCpus);
  auto coming = pending_capacity(s, now);
  double needed = s.wanted + ahead / each;
  double counted = coming.on_time + std::max(0.0, coming.late - needed);
  return s.wanted - std::max(0.0, counted - ahead / each);
}

std::optional<protocol::RentRequest> Autoscaler::rent(const std::vector<Demand>& demand, Instant now) {
  if (!catalogue_ || request_sent_ || now < again_ || !list_complete_) return std::nullopt;
  if (under_way_) {
    request_sent_ = true;
    return under_way_;
  }
  // Each shape's lack of room; shapes share what is coming, so it is counted off once.
  double pending_used = 0;
  for (const auto& d : demand) {
    if (d.waited < kPatience || d.resource_request.wanted == 0) continue;
    double each = std::max(d.resource_request.each.cpus, kLeastCpus);
    double lack = missing_capacity(d.resource_request, pending_used, now);
    pending_used += d.resource_request.wanted * each;
    if (lack <= 0) continue;
    struct Candidate {
      double cost;
      std::size_t ours;
      Kind kind;
      std::uint32_t fits;
    };
    std::optional<Candidate> best;
    for (const auto& [name, t] : *catalogue_) {
      auto fits = std::min(shard::fits(t.total, d.resource_request.each), params_.task_cap);
      if (fits == 0) continue;
      for (const auto& z : t.zones) {
        for (bool spot : {false, true}) {
          Kind kind{name, z, spot};
          if (!shard::allowed(d.resource_request, name, z, spot)) continue;
          if (auto r = refused_.find(kind); r != refused_.end() && now - r->second < kRefusalMemory) continue;
          auto ours = static_cast<std::size_t>(
              std::count_if(listed_.begin(), listed_.end(), [&, &type = name](const auto& m) {
                return m.second.zone == z && m.second.type == type && m.second.spot == spot;
              }));
          Candidate c{(spot ? t.spot_price : t.price) / fits, ours, kind, fits};
          if (!best || std::tie(c.cost, c.ours) < std::tie(best->cost, best->ours)) best = c;
        }
      }
    }
    if (!best) continue;
    // What else waits and could run there is rented for at once: one request for each job would take as many
    // seconds as jobs wait. (What waits before this in the list has its room.)
    for (const auto* o = &d + 1; o != demand.data() + demand.size(); ++o)
      if (o->waited >= kPatience &&
          shard::allowed(o->resource_request, best->kind.type, best->kind.zone, best->kind.spot))
        lack += o->resource_request.wanted * o->resource_request.each.cpus / each;
    auto count = static_cast<std::uint32_t>(
        std::clamp(std::ceil(lack / best->fits), 1.0, static_cast<double>(protocol::kMaxRent)));
    under_way_ = protocol::RentRequest{prefix_ + std::to_string(next_++), best->kind.type, best->kind.zone,
                                       best->kind.spot, count};
    request_sent_ = true;
    return under_way_;
  }
  return std::nullopt;
}

void Autoscaler::on_rented(const protocol::RentRequest& r, const std::vector<MachineName>& names,
                           Instant now) {
  request_sent_ = false;
  under_way_.reset();
  Kind kind{r.type, r.zone, r.spot};
  for (const auto& n : names) pending_instances_[n] = {kind, now};
  if (names.size() < r.count) refused_[kind] = now;
  spdlog::info("rented {} of {} {} in {}{}", names.size(), r.count, r.type.value(), r.zone.value(),
               r.spot ? " (spot)" : "");
}

void Autoscaler::on_refused(const protocol::RentRequest& r, Instant now) {
  request_sent_ = false;
  under_way_.reset();
  refused_[{r.type, r.zone, r.spot}] = now;
}

void Autoscaler::on_unanswered(Instant now) {
  request_sent_ = false;
  again_ = now + kRentAgain;
}

std::vector<MachineName> Autoscaler::failed_instances(Instant now) {
  std::vector<MachineName> out;
  if (!catalogue_) return out;
  for (const auto& [name, m] : listed_) {
    if (deleted_.contains(name) || out.size() >= protocol::kMaxDelete) continue;
    bool never = boot_timed_out(m);
    if (m.state != protocol::MachineState::kFailed && !never) continue;
    if (never) on_boot_timeout(m, now);
    spdlog::info("{}: {}, to be deleted", name.value(), never ? "never came up" : "failed");
    deleted_[name] = now;
    pending_instances_.erase(name);
    out.push_back(name);
  }
  return out;
}

std::vector<MachineName> Autoscaler::idle_instances(const std::map<ShardId, protocol::Summary>& summaries,
                                                    bool demand, bool jobs) const {
  std::vector<MachineName> out;
  if (demand) return out;
  double enough = to_seconds(jobs ? params_.idle_return : params_.quiet_return);
  for (const auto& [shard, s] : summaries)
    for (const auto& m : s.machines)
      if (m.usable && m.idle_s > enough) out.push_back(m.name);
  return out;
}

}  // namespace beaconsill::scheduler
