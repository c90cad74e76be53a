// Which shard a machine belongs to: a pure function of its zone and name, the same at every controller.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::shard {

// One shard for each controller. Machines of a zone with controllers are divided among these; each other zone
// belongs to one shard as a whole.
class Partitioning {
 public:
  explicit Partitioning(const config::Settings& settings);
  // Number of shards.
  std::uint32_t shard_count() const { return static_cast<std::uint32_t>(controllers_.size()); }
  // The shard of a machine.
  ShardId shard_of(const Zone& zone, const MachineName& machine) const;
  // The controller that should lead the shard while it runs.
  const ControllerName& preferred_controller(ShardId shard) const { return controllers_[shard.value()]; }
  // The reverse. The controller has to be one of the settings.
  ShardId preferred_shard(const ControllerName& controller) const;
  // All controllers, by name.
  const std::vector<ControllerName>& controllers() const { return controllers_; }

 private:
  // Each zone without a controller goes to the shard with the least load.
  void assign_other_zones(const std::vector<Zone>& zones);

  std::vector<ControllerName> controllers_;
  std::map<Zone, std::vector<ShardId>> by_zone_;
};

}  // namespace beaconsill::shard
