// Which part a machine belongs to: a pure function of its zone and name, the same at every controller.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::shard {

class Partitioning {
 public:
  explicit Partitioning(const config::Settings& s);
  std::uint32_t shards() const { return static_cast<std::uint32_t>(controllers_.size()); }
  ShardId of(const Zone& zone, const MachineName& machine) const;
  // The controller whose home the shard is.
  const ControllerName& preferred_controller(ShardId shard) const { return controllers_[shard.value()]; }
  ShardId preferred_shard(const ControllerName& controller) const;
  const std::vector<ControllerName>& controllers() const { return controllers_; }

 private:
  std::vector<ControllerName> controllers_;  // by name
  std::map<Zone, std::vector<ShardId>> by_zone_;
};

}  // namespace beaconsill::shard
