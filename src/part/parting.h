// Which part a machine belongs to: a pure function of its zone and name, the same at every node.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::part {

class Parting {
 public:
  explicit Parting(const config::Settings& s);
  std::uint32_t parts() const { return static_cast<std::uint32_t>(nodes_.size()); }
  PartId of(const Zone& zone, const MachineName& machine) const;
  // The node whose home the part is.
  const NodeName& home(PartId part) const { return nodes_[part.value()]; }
  PartId part_of_node(const NodeName& node) const;
  const std::vector<NodeName>& nodes() const { return nodes_; }

 private:
  std::vector<NodeName> nodes_;  // by name
  std::map<Zone, std::vector<PartId>> by_zone_;
};

}  // namespace beaconsill::part
