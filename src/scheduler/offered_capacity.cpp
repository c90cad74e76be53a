#include "scheduler/offered_capacity.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace beaconsill::scheduler {
namespace {

void add_nonzero(std::vector<ShardCapacity>& capacities, ShardId shard, std::optional<Zone> zone,
                 std::uint32_t tasks) {
  if (tasks > 0) capacities.push_back({shard, std::move(zone), tasks});
}

std::uint32_t subtract_saturating(std::uint32_t tasks, std::uint32_t subtrahend) {
  return tasks > subtrahend ? tasks - subtrahend : 0;
}

std::uint64_t total_tasks(const std::vector<ShardCapacity>& capacities) {
  std::uint64_t sum = 0;
  for (const auto& capacity : capacities) sum += capacity.tasks;
  return sum;
}

std::uint32_t total_tasks(const std::vector<ShardAllocation>& allocations) {
  std::uint32_t sum = 0;
  for (const auto& allocation : allocations) sum += allocation.tasks;
  return sum;
}

// Returns the zone with the most capacity; among equals, the alphabetically first. Returns std::nullopt if
// there is no capacity.
std::optional<Zone> largest_zone(const std::vector<ShardCapacity>& capacities) {
  std::map<Zone, std::uint64_t> by_zone;
  for (const auto& capacity : capacities) by_zone[*capacity.zone] += capacity.tasks;
  std::optional<Zone> largest;
  std::uint64_t largest_tasks = 0;
  for (const auto& [zone, tasks] : by_zone) {
    if (tasks <= largest_tasks) continue;
    largest_tasks = tasks;
    largest = zone;
  }
  return largest;
}

}  // namespace

void OfferedCapacity::add_shard(ShardId shard, const protocol::CapacityByZone& zones,
                                std::uint32_t reserved_tasks) {
  if (by_zone_) {
    add_zones(shard, zones, reserved_tasks);
  } else {
    add_total(shard, zones, reserved_tasks);
  }
}

void OfferedCapacity::add_zones(ShardId shard, const protocol::CapacityByZone& zones,
                                std::uint32_t reserved_tasks) {
  // It isn't known in which zones the reserved tasks will be placed. They are subtracted from the first zones
  // with free capacity.
  for (const auto& zone : zones) {
    auto reserved_in_zone = std::min(zone.free, reserved_tasks);
    reserved_tasks -= reserved_in_zone;
    add_nonzero(free_, shard, zone.zone, zone.free - reserved_in_zone);
    add_nonzero(preemptible_, shard, zone.zone, zone.preemptible);
  }
}

void OfferedCapacity::add_total(ShardId shard, const protocol::CapacityByZone& zones,
                                std::uint32_t reserved_tasks) {
  protocol::ZoneCapacity sum;
  for (const auto& zone : zones) {
    sum.image_cached += zone.image_cached;
    sum.free += zone.free;
    sum.preemptible += zone.preemptible;
    sum.image_cached_preemptible += zone.image_cached_preemptible;
  }
  add_nonzero(image_cached_, shard, std::nullopt, subtract_saturating(sum.image_cached, reserved_tasks));
  add_nonzero(free_, shard, std::nullopt, subtract_saturating(sum.free, reserved_tasks));
  add_nonzero(preemptible_, shard, std::nullopt, sum.preemptible);
  add_nonzero(image_cached_preemptible_, shard, std::nullopt, sum.image_cached_preemptible);
}

void OfferedCapacity::restrict_to_one_zone(const TasksByZone& placed) {
  auto zone = placed.first_zone();
  if (!zone) zone = largest_zone(free_);
  auto in_other_zone = [&](const ShardCapacity& capacity) { return !zone || *capacity.zone != *zone; };
  std::erase_if(free_, in_other_zone);
  std::erase_if(preemptible_, in_other_zone);
}

void OfferedCapacity::spread_over_zones(std::uint32_t limit, const TasksByZone& placed) {
  auto tasks_in_zone = placed;
  for (auto* list : {&free_, &preemptible_}) {
    for (auto& capacity : *list) {
      capacity.tasks = std::min(capacity.tasks, subtract_saturating(limit, tasks_in_zone.in(*capacity.zone)));
      tasks_in_zone.add(*capacity.zone, capacity.tasks);
    }
  }
}

void OfferedCapacity::restrict_to_gang(std::uint32_t tasks) {
  image_cached_.clear();
  preemptible_.clear();
  if (total_tasks(free_) < tasks) return free_.clear();
  std::map<ShardId, std::uint64_t> by_shard;
  for (const auto& capacity : free_) by_shard[capacity.shard] += capacity.tasks;
  auto largest = std::max_element(by_shard.begin(), by_shard.end(), [](const auto& left, const auto& right) {
    return left.second < right.second;
  });
  if (largest->second >= tasks)
    std::erase_if(free_, [&](const ShardCapacity& capacity) { return capacity.shard != largest->first; });
}

std::vector<ShardCapacity> OfferedCapacity::free_without_image() const {
  std::vector<ShardCapacity> without_image = free_;
  for (auto& capacity : without_image)
    for (const auto& cached : image_cached_)
      if (cached.shard == capacity.shard && cached.zone == capacity.zone)
        capacity.tasks = subtract_saturating(capacity.tasks, cached.tasks);
  return without_image;
}

// Fetching an image takes longer than any other step of starting a task, and longer than preempting tasks
// where the image is cached. Only a service preempts tasks to avoid the fetch, and only if all of its tasks
// can then use a cached image.
Placement OfferedCapacity::place(std::uint32_t tasks, JobKind kind) const {
  bool preempt_where_image_cached =
      kind == JobKind::kService && total_tasks(image_cached_) < tasks &&
      total_tasks(image_cached_) + total_tasks(image_cached_preemptible_) >= tasks;
  Placement placement{apportion(tasks, image_cached_), {}};
  if (auto placed = total_tasks(placement.free); placed < tasks && !preempt_where_image_cached)
    for (auto& allocation : apportion(tasks - placed, free_without_image()))
      placement.free.push_back(std::move(allocation));
  if (auto placed = total_tasks(placement.free); placed < tasks)
    placement.preempting =
        apportion(tasks - placed, preempt_where_image_cached ? image_cached_preemptible_ : preemptible_);
  return placement;
}

}  // namespace beaconsill::scheduler
