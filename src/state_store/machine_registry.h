// Reads and writes the registry of a shard: the machines that may run its tasks. The next leader of the shard
// reads the registry to learn which machines it must wait for. The registry is split over keys and
// transactions so that any number of machines stays within the size limits of a value and of a transaction.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

// Machines by bucket number, see kMachineBuckets.
using MachinesByBucket = std::map<std::uint32_t, std::vector<MachineRecord>>;

struct RegistryLimits {
  std::size_t txn_ops = 0;      // maximum number of puts and deletes per transaction
  std::size_t value_bytes = 0;  // maximum size of a key's value
};

// Returns all machines in the shard's registry, regardless of the format version that wrote them.
std::vector<MachineRecord> registered_machines(const StateView& view, ShardId shard);

// Returns the next transaction that brings the given buckets of the shard's registry closer to `wanted`, or
// std::nullopt if there is nothing to write or no further machine fits. Writes that exceed the limits of one
// transaction are left to later calls.
//
// Keys that an earlier format version can't read are written only if all `controllers` support them. A
// controller of an earlier version that is restarted later must not acquire the shard: it would not wait for
// the machines in these keys and would start their tasks a second time. An earlier transaction therefore
// raises the min_reader_version of the shard's role, which makes the role unreadable for such a controller.
std::optional<protocol::Txn> registry_txn(const StateView& view, ShardId shard,
                                          const MachinesByBucket& wanted,
                                          const std::vector<ControllerName>& controllers,
                                          const RegistryLimits& limits);

}  // namespace beaconsill::state_store
