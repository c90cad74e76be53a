#include "lead/split.h"

#include <algorithm>
#include <numeric>

namespace beaconsill::lead {

std::vector<Share> split(std::uint32_t n, const std::vector<Room>& rooms) {
  std::uint64_t total = 0;
  for (const auto& r : rooms) total += r.room;
  n = static_cast<std::uint32_t>(std::min<std::uint64_t>(n, total));
  if (n == 0) return {};
  struct Part {
    std::size_t at;
    std::uint64_t tasks, remainder;
  };
  std::vector<Part> parts;
  std::uint64_t given = 0;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    std::uint64_t exact = static_cast<std::uint64_t>(n) * rooms[i].room;
    parts.push_back({i, exact / total, exact % total});
    given += exact / total;
  }
  // Ties go to the larger room, then to the earlier part, so that the outcome is the same everywhere.
  std::vector<std::size_t> order(parts.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (parts[a].remainder != parts[b].remainder) return parts[a].remainder > parts[b].remainder;
    return rooms[a].room > rooms[b].room;
  });
  for (std::size_t i = 0; given < n; ++i) {
    auto& p = parts[order[i]];
    if (p.remainder == 0) continue;
    ++p.tasks;
    ++given;
  }
  std::vector<Share> out;
  for (const auto& p : parts)
    if (p.tasks > 0) out.push_back({rooms[p.at].part, rooms[p.at].zone, static_cast<std::uint32_t>(p.tasks)});
  return out;
}

std::uint32_t zone_limit(const wire::JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace beaconsill::lead
