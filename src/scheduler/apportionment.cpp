#include "scheduler/apportionment.h"

#include <algorithm>
#include <numeric>

namespace beaconsill::scheduler {
namespace {

struct Quotient {
  std::uint64_t tasks;
  std::uint64_t remainder;
};

// Returns the indexes of `quotients` by descending remainder. Ties are resolved in favour of the larger
// capacity, then of the earlier shard, so that the result is deterministic.
std::vector<std::size_t> by_remainder(const std::vector<Quotient>& quotients,
                                      const std::vector<ShardCapacity>& capacities) {
  std::vector<std::size_t> order(quotients.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    if (quotients[left].remainder != quotients[right].remainder)
      return quotients[left].remainder > quotients[right].remainder;
    return capacities[left].tasks > capacities[right].tasks;
  });
  return order;
}

}  // namespace

std::vector<ShardAllocation> apportion(std::uint32_t tasks, const std::vector<ShardCapacity>& capacities) {
  std::uint64_t total = 0;
  for (const auto& capacity : capacities) total += capacity.tasks;
  tasks = static_cast<std::uint32_t>(std::min<std::uint64_t>(tasks, total));
  if (tasks == 0) return {};
  std::vector<Quotient> quotients;
  std::uint64_t allocated = 0;
  for (const auto& capacity : capacities) {
    std::uint64_t product = static_cast<std::uint64_t>(tasks) * capacity.tasks;
    quotients.push_back({product / total, product % total});
    allocated += product / total;
  }
  const auto order = by_remainder(quotients, capacities);
  for (std::size_t i = 0; allocated < tasks; ++i) {
    auto& quotient = quotients[order[i]];
    if (quotient.remainder == 0) continue;
    ++quotient.tasks;
    ++allocated;
  }
  std::vector<ShardAllocation> allocations;
  for (std::size_t i = 0; i < quotients.size(); ++i)
    if (quotients[i].tasks > 0)
      allocations.push_back(
          {capacities[i].shard, capacities[i].zone, static_cast<std::uint32_t>(quotients[i].tasks)});
  return allocations;
}

std::uint32_t max_tasks_per_zone(const protocol::JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace beaconsill::scheduler
