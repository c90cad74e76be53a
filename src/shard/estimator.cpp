#include "shard/estimator.h"

#include <algorithm>
#include <cmath>

namespace beaconsill::shard {
namespace {
constexpr double kSlack = 1e-6;  // amounts are decimal numbers: 3 * 0.1 must fit into 0.3
// At the same time on one machine. One alone is the quickest, but then the shards promise room that the first
// of several jobs takes from the others.
constexpr std::size_t kMaxFetches = 2;

protocol::CapacityByZone as_list(const std::map<Zone, protocol::ZoneCapacity>& zones) {
  protocol::CapacityByZone out;
  for (const auto& [z, r] : zones)
    if (r.free || r.preemptible) out.push_back(r);
  return out;
}

Resources open_to(const Resources& free, const Resources& total, const protocol::ResourceRequest& s,
                  const PackingRules& rules) {
  Resources r = free;
  if (s.priority <= Priority::kNormal) r.cpus -= total.cpus * rules.reserve;
  return r;
}
}  // namespace

protocol::ResourceRequest request_of(const protocol::JobSpec& spec, std::uint32_t wanted) {
  return {spec.each, spec.types, spec.zone, spec.spot, spec.image, spec.priority, wanted};
}

bool allowed(const protocol::ResourceRequest& s, const MachineType& type, const Zone& zone, bool spot) {
  if (spot && !s.spot) return false;
  if (s.zone && *s.zone != zone) return false;
  return !s.types || std::find(s.types->begin(), s.types->end(), type) != s.types->end();
}

std::uint32_t fits(const Resources& idle, const Resources& each) {
  double n = protocol::kMaxTasks;
  auto limit = [&n](double have, double want) {
    if (want > 0) n = std::min(n, std::floor(have / want + kSlack));
  };
  limit(idle.cpus, each.cpus);
  limit(idle.gpus, each.gpus);
  limit(idle.memory_gb, each.memory_gb);
  return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}

std::uint32_t available_tasks(const Machine& m, const protocol::ResourceRequest& s, const PackingRules& rules,
                              bool preempt) {
  Resources idle = m.total - (preempt ? m.used_from(s.priority) : m.used());
  auto tasks = preempt ? m.tasks_from(s.priority) : m.live_tasks();
  std::uint32_t r1 = fits(open_to(idle, m.total, s, rules), s.each);
  std::uint32_t r2 = tasks >= rules.task_cap ? 0 : rules.task_cap - static_cast<std::uint32_t>(tasks);
  return std::min(r1, r2);
}

protocol::CapacityByZone estimate(const std::map<MachineName, Machine>& machines,
                                  const protocol::ResourceRequest& s, const PackingRules& rules,
                                  Instant now) {
  std::map<Zone, protocol::ZoneCapacity> zones;
  for (const auto& [name, m] : machines) {
    if (!m.usable(now) || !allowed(s, m.type, m.zone, m.spot)) continue;
    auto n = available_tasks(m, s, rules, false);
    auto more = std::max(available_tasks(m, s, rules, true), n) - n;
    if (n == 0 && more == 0) continue;
    auto image = image_state(m, s.image);
    if (image == ImageState::kBehind) continue;
    auto& z = zones[m.zone];
    z.zone = m.zone;
    z.free += n;
    z.preemptible += more;
    if (image == ImageState::kHere) {
      z.warm += n;
      z.warm_preemptible += more;
    }
  }
  return as_list(zones);
}

protocol::CapacityByZone estimate(const protocol::Summary& summary, const protocol::ResourceRequest& s,
                                  const PackingRules& rules) {
  std::map<Zone, protocol::ZoneCapacity> zones;
  for (const auto& m : summary.machines) {
    if (!m.usable || !allowed(s, m.type, m.zone, m.spot)) continue;
    auto& z = zones[m.zone];
    z.zone = m.zone;
    z.free += std::min(fits(m.free, s.each), rules.task_cap);
  }
  return as_list(zones);
}

ImageState image_state(const Machine& m, const ImageName& image) {
  if (m.images.has(image)) return ImageState::kHere;
  if (m.fetches(image)) return ImageState::kComing;
  auto n = m.fetches();
  return n == 0 ? ImageState::kAbsent : n < kMaxFetches ? ImageState::kBeside : ImageState::kBehind;
}

bool has_capacity(const Machine& m, const PackingRules& rules) {
  auto idle = m.total - m.used();
  return idle.cpus > 0 && idle.memory_gb > 0 && m.live_tasks() < rules.task_cap;
}

std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines,
                                      const protocol::ResourceRequest& s, const std::optional<Zone>& zone,
                                      const PackingRules& rules, const std::set<MachineName>& avoid,
                                      bool warm, Instant now) {
  struct Ranked {
    ImageState image;
    double idle;
    Machine* machine;
  };
  std::vector<Ranked> found;
  for (auto* m : machines) {
    if (!m->usable(now) || !allowed(s, m->type, m->zone, m->spot) || (zone && *zone != m->zone)) continue;
    auto image = image_state(*m, s.image);
    if (!accepts_image_state(image, warm)) continue;
    if (avoid.contains(m->name)) continue;
    if (available_tasks(*m, s, rules, false) == 0) continue;
    found.push_back({image, (m->total - m->used()).cpus, m});
  }
  // Equals stay in the order of their names.
  std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return a.image != b.image ? a.image < b.image : a.idle < b.idle;
  });
  std::vector<Machine*> out;
  out.reserve(found.size());
  for (const auto& f : found) out.push_back(f.machine);
  return out;
}

}  // namespace beaconsill::shard
