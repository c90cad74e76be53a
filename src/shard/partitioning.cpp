#include "shard/partitioning.h"

#include <algorithm>
#include <set>

namespace beaconsill::shard {

Partitioning::Partitioning(const config::Settings& s) {
  // The order of `known` differs from controller to controller; names sort the same everywhere.
  std::map<ControllerName, Zone> controllers{{s.controller, s.zone}};
  for (const auto& p : s.peers) controllers[p.controller] = p.zone;
  for (const auto& [name, zone] : controllers) {
    by_zone_[zone].push_back(ShardId(static_cast<std::uint32_t>(controllers_.size())));
    controllers_.push_back(name);
  }
  std::set<Zone> rest(s.zones.begin(), s.zones.end());
  // A zone without a controller goes to the one that has least: controllers of a zone share its machines.
  std::vector<double> load(shards());
  for (const auto& [zone, owners] : by_zone_)
    for (auto p : owners) load[p.value()] = 1.0 / static_cast<double>(owners.size());
  for (const auto& z : rest) {
    if (by_zone_.contains(z)) continue;
    auto least = std::min_element(load.begin(), load.end());
    *least += 1;
    by_zone_[z].push_back(ShardId(static_cast<std::uint32_t>(least - load.begin())));
  }
}

ShardId Partitioning::of(const Zone& zone, const MachineName& machine) const {
  auto it = by_zone_.find(zone);
  // A zone that the settings don't name still needs an owner.
  if (it == by_zone_.end()) return ShardId(static_cast<std::uint32_t>(stable_hash(zone.value()) % shards()));
  return it->second[stable_hash(machine.value()) % it->second.size()];
}

ShardId Partitioning::preferred_shard(const ControllerName& controller) const {
  auto it = std::find(controllers_.begin(), controllers_.end(), controller);
  return ShardId(static_cast<std::uint32_t>(it - controllers_.begin()));
}

}  // namespace beaconsill::shard
