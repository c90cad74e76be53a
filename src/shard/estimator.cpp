#include "shard/estimator.h"

#include <algorithm>
#include <cmath>

namespace beaconsill::shard {
namespace {
// Tolerance, in tasks, for rounding errors of decimal amounts: three tasks of 0.1 CPUs must fit into 0.3
// CPUs.
constexpr double kRoundingTolerance = 1e-6;
// Maximum number of images that one machine fetches at the same time. A single fetch is the fastest. But with
// a limit of one, the shards would offer the same capacity to several jobs, and the fetch for the first of
// them would exclude the others.
constexpr std::size_t kMaxFetches = 2;

protocol::CapacityByZone without_empty(const std::map<Zone, protocol::ZoneCapacity>& zones) {
  protocol::CapacityByZone out;
  for (const auto& [name, capacity] : zones)
    if (capacity.free || capacity.preemptible) out.push_back(capacity);
  return out;
}

Resources without_reserve(Resources idle, const Resources& total, const protocol::ResourceRequest& request,
                          const PackingRules& rules) {
  if (request.priority <= Priority::kNormal) idle.cpus -= total.cpus * rules.reserve;
  return idle;
}
}  // namespace

protocol::ResourceRequest request_of(const protocol::JobSpec& spec, std::uint32_t wanted) {
  return {spec.each, spec.types, spec.zone, spec.spot, spec.image, spec.priority, wanted};
}

bool is_allowed(const protocol::ResourceRequest& request, const MachineType& type, const Zone& zone,
                bool spot) {
  if (spot && !request.spot) return false;
  if (request.zone && *request.zone != zone) return false;
  return !request.types ||
         std::find(request.types->begin(), request.types->end(), type) != request.types->end();
}

std::uint32_t tasks_that_fit(const Resources& idle, const Resources& each) {
  double count = protocol::kMaxTasks;
  auto limit = [&count](double available, double wanted) {
    if (wanted > 0) count = std::min(count, std::floor(available / wanted + kRoundingTolerance));
  };
  limit(idle.cpus, each.cpus);
  limit(idle.gpus, each.gpus);
  limit(idle.memory_gb, each.memory_gb);
  return count <= 0 ? 0 : static_cast<std::uint32_t>(count);
}

std::uint32_t available_tasks(const Machine& machine, const protocol::ResourceRequest& request,
                              const PackingRules& rules, LowerPriorityWork lower) {
  bool preempt = lower == LowerPriorityWork::kPreempted;
  Resources idle = machine.total - (preempt ? machine.used_at_or_above(request.priority) : machine.used());
  auto tasks = preempt ? machine.task_count_at_or_above(request.priority) : machine.live_task_count();
  auto by_resources = tasks_that_fit(without_reserve(idle, machine.total, request, rules), request.each);
  auto by_cap = tasks >= rules.task_cap ? 0 : rules.task_cap - static_cast<std::uint32_t>(tasks);
  return std::min(by_resources, by_cap);
}

protocol::CapacityByZone estimate(const std::map<MachineName, Machine>& machines,
                                  const protocol::ResourceRequest& request, const PackingRules& rules,
                                  Instant now) {
  std::map<Zone, protocol::ZoneCapacity> zones;
  for (const auto& [name, machine] : machines) {
    if (!machine.usable(now) || !is_allowed(request, machine.type, machine.zone, machine.spot)) continue;
    auto free = available_tasks(machine, request, rules, LowerPriorityWork::kLeftRunning);
    auto with_preemption = available_tasks(machine, request, rules, LowerPriorityWork::kPreempted);
    auto preemptible = std::max(with_preemption, free) - free;
    if (free == 0 && preemptible == 0) continue;
    auto image = image_state(machine, request.image);
    if (image == ImageState::kFetchLimitReached) continue;
    auto& zone = zones[machine.zone];
    zone.zone = machine.zone;
    zone.free += free;
    zone.preemptible += preemptible;
    if (image == ImageState::kCached) {
      zone.image_cached += free;
      zone.image_cached_preemptible += preemptible;
    }
  }
  return without_empty(zones);
}

protocol::CapacityByZone estimate(const protocol::Summary& summary, const protocol::ResourceRequest& request,
                                  const PackingRules& rules) {
  std::map<Zone, protocol::ZoneCapacity> zones;
  for (const auto& machine : summary.machines) {
    if (!machine.usable || !is_allowed(request, machine.type, machine.zone, machine.spot)) continue;
    auto& zone = zones[machine.zone];
    zone.zone = machine.zone;
    zone.free += std::min(tasks_that_fit(machine.free, request.each), rules.task_cap);
  }
  return without_empty(zones);
}

ImageState image_state(const Machine& machine, const ImageName& image) {
  if (machine.images.has(image)) return ImageState::kCached;
  if (machine.is_fetching(image)) return ImageState::kFetching;
  auto fetches = machine.fetch_count();
  if (fetches == 0) return ImageState::kNotFetching;
  return fetches < kMaxFetches ? ImageState::kFetchingOther : ImageState::kFetchLimitReached;
}

bool has_capacity(const Machine& machine, const PackingRules& rules) {
  auto idle = machine.total - machine.used();
  return idle.cpus > 0 && idle.memory_gb > 0 && machine.live_task_count() < rules.task_cap;
}

std::vector<Machine*> choose_machines(const std::vector<Machine*>& machines,
                                      const PlacementConstraints& constraints, const PackingRules& rules,
                                      Instant now) {
  const auto& [request, zone, avoided, image_policy] = constraints;
  struct Ranked {
    ImageState image;
    double idle_cpus;
    Machine* machine;
  };
  std::vector<Ranked> ranked;
  for (auto* machine : machines) {
    if (!machine->usable(now) || !is_allowed(request, machine->type, machine->zone, machine->spot) ||
        (zone && *zone != machine->zone))
      continue;
    auto image = image_state(*machine, request.image);
    if (!accepts_image_state(image, image_policy)) continue;
    if (avoided.contains(machine->name)) continue;
    if (available_tasks(*machine, request, rules, LowerPriorityWork::kLeftRunning) == 0) continue;
    ranked.push_back({image, (machine->total - machine->used()).cpus, machine});
  }
  // Equally ranked machines stay ordered by name.
  std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
    return left.image != right.image ? left.image < right.image : left.idle_cpus < right.idle_cpus;
  });
  std::vector<Machine*> out;
  out.reserve(ranked.size());
  for (const auto& entry : ranked) out.push_back(entry.machine);
  return out;
}

}  // namespace beaconsill::shard
