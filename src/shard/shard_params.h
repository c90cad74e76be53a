// Settings of one shard that its components share.
#pragma once

#include "base/types.h"
#include "shard/estimator.h"

namespace beaconsill::shard {

struct ShardParams {
  Duration heartbeat_period{};
  Duration lease{};
  Duration cancel_limit{};  // by when a cancelled task has ended, also while nobody can reach its machine
  Duration grace{};         // time without contact after which a machine is deleted
  PackingRules rules;
};

}  // namespace beaconsill::shard
