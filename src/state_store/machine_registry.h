// The registry of a shard: the machines that may run its tasks, in keys that a successor reads to know whom
// to wait for. Any number of machines fits, whatever the limits of a value and of a transaction are.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
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

// All machines in the shard's registry, whichever version wrote them.
std::vector<MachineRecord> registered_machines(const StateView& view, ShardId shard);

// The next transaction by which the registry of `part` comes to hold what is `wanted` of the buckets given;
// none: nothing is to be written, or nothing more fits. What it can't take follows with the next one.
//
// Keys that an earlier version doesn't read are written only if `controllers` all know them; and a controller
// of such a version that is started again later is kept from the shard: it would not wait for the machines in
// these keys, and start their tasks a second time. So the shard's role is made unreadable for it in a
// transaction before.
std::optional<protocol::Txn> registry_txn(const StateView& view, ShardId shard,
                                          const MachinesByBucket& wanted,
                                          const std::vector<ControllerName>& controllers,
                                          const RegistryLimits& limits);

// The keys of one bucket of a registry, by piece (see kMachineBuckets).
using BucketPieces = std::map<std::uint32_t, std::vector<MachineRecord>>;
// The pieces of a bucket that have to be written so that it holds the machines `wanted`, in the order in
// which they must be written if not all go at once. A recorded machine stays in its piece, so a change costs
// the pieces that it's in, however many there are. If a piece has outgrown `max_bytes` (it was written under
// a higher limit), the machines that move out of it are in an earlier piece of the result: they must not fall
// out of the registry while they may run tasks. Machines that find no place are left out, and get no tasks
// until they do.
std::vector<std::pair<std::uint32_t, std::vector<MachineRecord>>> plan_bucket(
    const BucketPieces& recorded, const std::vector<MachineRecord>& wanted, std::size_t max_bytes,
    std::uint32_t max_pieces);

}  // namespace beaconsill::state_store
