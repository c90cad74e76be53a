// The registry of a shard: the machines that may run its tasks, in keys that a successor reads to know which
// machines it has to wait for. Any number of machines fits, whatever the limits of a value and of a
// transaction are.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

// Machines by bucket, see kMachineBuckets.
using MachinesByBucket = std::map<std::uint32_t, std::vector<MachineRecord>>;

struct RegistryLimits {
  std::size_t txn_ops = 0;      // changes of a transaction
  std::size_t value_bytes = 0;  // of a key's value
};

// All machines in the shard's registry, whichever format version wrote them.
std::vector<MachineRecord> registered_machines(const StateView& view, ShardId shard);

// The next transaction by which the registry of `shard` comes to hold what is `wanted` of the buckets given;
// none: nothing is to be written, or nothing more fits. What it can't take follows with the next one.
//
// Keys that an earlier format version doesn't read are written only if `controllers` all know them; and a
// controller of such a version that is started again later is kept from the shard: it would not wait for the
// machines in these keys, and start their tasks a second time. So the shard's role is made unreadable for it
// in a transaction before.
std::optional<protocol::Txn> registry_txn(const StateView& view, ShardId shard,
                                          const MachinesByBucket& wanted,
                                          const std::vector<ControllerName>& controllers,
                                          const RegistryLimits& limits);

}  // namespace beaconsill::state_store
