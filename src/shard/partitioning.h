// Assigns machines to shards by a pure function of a machine's zone and name, so that all controllers agree.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "config/settings.h"

namespace beaconsill::shard {

// There is one shard for each controller. Machines of a zone with controllers are divided among the shards of
// these controllers. Each other zone belongs as a whole to one shard.
class Partitioning {
 public:
  explicit Partitioning(const config::Settings& settings);
  std::uint32_t shard_count() const { return static_cast<std::uint32_t>(controllers_.size()); }
  ShardId shard_of(const Zone& zone, const MachineName& machine) const;
  // Returns the controller that should lead the shard whenever that controller is running.
  const ControllerName& preferred_controller(ShardId shard) const { return controllers_[shard.value()]; }
  // Returns the shard whose preferred controller this is. The settings must name the controller.
  ShardId preferred_shard(const ControllerName& controller) const;
  // Returns all controllers, sorted by name.
  const std::vector<ControllerName>& controllers() const { return controllers_; }

 private:
  // Assigns each zone without a controller to the shard with the least load.
  void assign_other_zones(const std::vector<Zone>& zones);

  std::vector<ControllerName> controllers_;
  std::map<Zone, std::vector<ShardId>> by_zone_;
};

}  // namespace beaconsill::shard
