// Timing and packing settings that the components of one shard share.
#pragma once

#include "base/types.h"
#include "shard/estimator.h"

namespace beaconsill::shard {

struct ShardParams {
  Duration heartbeat_period{};
  Duration lease{};
  Duration cancel_limit{};  // a cancelled task has ended within this time, even if its machine is unreachable
  Duration grace{};         // time without contact after which a machine is deleted
  PackingRules rules;
};

}  // namespace beaconsill::shard
