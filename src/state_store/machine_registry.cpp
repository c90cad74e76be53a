#include "state_store/machine_registry.h"

#include <algorithm>

#include "state_store/bucket_plan.h"
#include "state_store/txn_draft.h"

namespace beaconsill::state_store {
namespace {

BucketSegments recorded_segments(const StateView& view, ShardId shard, std::uint32_t bucket) {
  BucketSegments segments;
  for (const auto& [key, machines] : view.registry(shard))
    if (key % kMachineBuckets == bucket) segments[key / kMachineBuckets] = machines.value;
  return segments;
}

// Returns the highest format version that all controllers support.
std::uint32_t supported_version(const StateView& view, const std::vector<ControllerName>& controllers) {
  auto version = kFormatVersion;
  while (version > 0 && !view.all_support(version, controllers)) --version;
  return version;
}

// Returns the lowest format version that can read all keys of the registry that currently contain machines.
std::uint32_t min_reader_version(const StateView::Registry& registry) {
  std::uint32_t version = 0;
  for (const auto& [key, machines] : registry)
    if (!machines.value.empty()) version = std::max(version, registry_key_min_version(key));
  return version;
}

protocol::Txn raise_min_reader_version(ShardId shard, const Versioned<Role>& role, std::uint32_t version) {
  auto raised = role.value;
  raised.min_reader_version = version;
  return {{{shard_role_key(shard), role.revision}}, {{shard_role_key(shard), to_json(raised), std::nullopt}}};
}

}  // namespace

std::vector<MachineRecord> registered_machines(const StateView& view, ShardId shard) {
  std::vector<MachineRecord> all;
  for (const auto& [key, machines] : view.registry(shard))
    all.insert(all.end(), machines.value.begin(), machines.value.end());
  return all;
}

std::optional<protocol::Txn> registry_txn(const StateView& view, ShardId shard,
                                          const MachinesByBucket& wanted,
                                          const std::vector<ControllerName>& controllers,
                                          const RegistryLimits& limits) {
  const auto& role = view.shard_role(shard);
  const auto max_segments = readable_segments(supported_version(view, controllers));
  auto required_version = min_reader_version(view.registry(shard));
  TxnDraft draft(limits.txn_ops);
  draft.require({shard_role_key(shard), role.revision});
  bool full = false;
  for (auto bucket = wanted.begin(); bucket != wanted.end() && !full; ++bucket) {
    const auto writes = plan_bucket(recorded_segments(view, shard, bucket->first), bucket->second,
                                    limits.value_bytes, max_segments);
    for (const auto& [segment, machines] : writes) {
      const auto number = bucket->first + segment * kMachineBuckets;
      const auto key = machines_key(shard, number);
      full = !draft.add({{key, view.machines(shard, number).revision}},
                        {{key, to_json(machines), std::nullopt}});
      if (full) break;
      required_version = std::max(required_version, registry_key_min_version(number));
    }
  }
  if (required_version > role.value.min_reader_version)
    return raise_min_reader_version(shard, role, required_version);
  if (draft.empty()) return std::nullopt;
  return draft.txn();
}

}  // namespace beaconsill::state_store
