#include "shard/partitioning.h"

#include <algorithm>
#include <set>

namespace beaconsill::shard {

Partitioning::Partitioning(const config::Settings& settings) {
  // The order of the peers in the settings differs between controllers, so shards are numbered in the order
  // of the controllers' names.
  std::map<ControllerName, Zone> controllers{{settings.controller, settings.zone}};
  for (const auto& peer : settings.peers) controllers[peer.controller] = peer.zone;
  for (const auto& [name, zone] : controllers) {
    by_zone_[zone].push_back(ShardId(static_cast<std::uint32_t>(controllers_.size())));
    controllers_.push_back(name);
  }
  assign_other_zones(settings.zones);
}

void Partitioning::assign_other_zones(const std::vector<Zone>& zones) {
  // Load of each shard, as a number of zones. The shards of a zone's controllers share its machines.
  std::vector<double> load(shard_count());
  for (const auto& [zone, zone_shards] : by_zone_)
    for (auto shard : zone_shards) load[shard.value()] = 1.0 / static_cast<double>(zone_shards.size());
  for (const auto& zone : std::set<Zone>(zones.begin(), zones.end())) {
    if (by_zone_.contains(zone)) continue;
    auto least = std::min_element(load.begin(), load.end());
    *least += 1;
    by_zone_[zone].push_back(ShardId(static_cast<std::uint32_t>(least - load.begin())));
  }
}

ShardId Partitioning::shard_of(const Zone& zone, const MachineName& machine) const {
  auto it = by_zone_.find(zone);
  // Machines of a zone that the settings don't list must belong to a shard as well.
  if (it == by_zone_.end())
    return ShardId(static_cast<std::uint32_t>(stable_hash(zone.value()) % shard_count()));
  return it->second[stable_hash(machine.value()) % it->second.size()];
}

ShardId Partitioning::preferred_shard(const ControllerName& controller) const {
  auto it = std::find(controllers_.begin(), controllers_.end(), controller);
  return ShardId(static_cast<std::uint32_t>(it - controllers_.begin()));
}

}  // namespace beaconsill::shard
