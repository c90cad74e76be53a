#include "part/parting.h"

#include <algorithm>
#include <set>

namespace beaconsill::part {

Parting::Parting(const config::Settings& s) {
  // The order of `known` differs from node to node; names sort the same everywhere.
  std::map<NodeName, Zone> nodes{{s.node, s.zone}};
  for (const auto& p : s.peers) nodes[p.node] = p.zone;
  for (const auto& [name, zone] : nodes) {
    by_zone_[zone].push_back(PartId(static_cast<std::uint32_t>(nodes_.size())));
    nodes_.push_back(name);
  }
  std::set<Zone> rest(s.zones.begin(), s.zones.end());
  // A zone without a controller goes to the one that has least: controllers of a zone share its machines.
  std::vector<double> load(parts());
  for (const auto& [zone, owners] : by_zone_)
    for (auto p : owners) load[p.value()] = 1.0 / static_cast<double>(owners.size());
  for (const auto& z : rest) {
    if (by_zone_.contains(z)) continue;
    auto least = std::min_element(load.begin(), load.end());
    *least += 1;
    by_zone_[z].push_back(PartId(static_cast<std::uint32_t>(least - load.begin())));
  }
}

PartId Parting::of(const Zone& zone, const MachineName& machine) const {
  auto it = by_zone_.find(zone);
  // A zone that the settings don't name still needs an owner.
  if (it == by_zone_.end()) return PartId(static_cast<std::uint32_t>(stable_hash(zone.value()) % parts()));
  return it->second[stable_hash(machine.value()) % it->second.size()];
}

PartId Parting::part_of_node(const NodeName& node) const {
  auto it = std::find(nodes_.begin(), nodes_.end(), node);
  return PartId(static_cast<std::uint32_t>(it - nodes_.begin()));
}

}  // namespace beaconsill::part
