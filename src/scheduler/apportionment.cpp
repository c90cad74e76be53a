#include "scheduler/apportionment.h"

#include <algorithm>
#include <numeric>

namespace beaconsill::scheduler {

std::vector<ShardAllocation> apportion(std::uint32_t n, const std::vector<ShardCapacity>& rooms) {
  std::uint64_t total = 0;
  for (const auto& r : rooms) total += r.room;
  n = static_cast<std::uint32_t>(std::min<std::uint64_t>(n, total));
  if (n == 0) return {};
  struct ShardManager {
    std::size_t at;
    std::uint64_t tasks, remainder;
  };
  std::vector<ShardManager> shards;
  std::uint64_t given = 0;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    std::uint64_t exact = static_cast<std::uint64_t>(n) * rooms[i].room;
    shards.push_back({i, exact / total, exact % total});
    given += exact / total;
  }
  // Ties go to the larger room, then to the earlier part, so that the outcome is the same everywhere.
  std::vector<std::size_t> order(shards.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (shards[a].remainder != shards[b].remainder) return shards[a].remainder > shards[b].remainder;
    return rooms[a].room > rooms[b].room;
  });
  for (std::size_t i = 0; given < n; ++i) {
    auto& p = shards[order[i]];
    if (p.remainder == 0) continue;
    ++p.tasks;
    ++given;
  }
  std::vector<ShardAllocation> out;
  for (const auto& p : shards)
    if (p.tasks > 0)
      out.push_back({rooms[p.at].shard, rooms[p.at].zone, static_cast<std::uint32_t>(p.tasks)});
  return out;
}

std::uint32_t zone_limit(const protocol::JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace beaconsill::scheduler
