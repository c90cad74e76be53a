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

// The highest format version that all controllers support.
std::uint32_t supported_version(const StateView& view, const std::vector<ControllerName>& controllers) {
  auto version = kFormatVersion;
  while (version > 0 && !view.all_support(version, controllers)) --version;
  return version;
}

// The lowest format version that reads all keys that hold machines now.
std::uint32_t min_reader_version(const StateView::Registry& registry) {
  std::uint32_t since = 0;
  for (const auto& [key, machines] : registry)
    if (!machines.value.empty()) since = std::max(since, registry_key_since(key));
  return since;
}

protocol::Txn raise_role(ShardId shard, const Versioned<Role>& role, std::uint32_t since) {
  auto raised = role.value;
  raised.min_reader_version = since;
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
  auto since = min_reader_version(view.registry(shard));
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
      since = std::max(since, registry_key_since(number));
    }
  }
  if (since > role.value.min_reader_version) return raise_role(shard, role, since);
  if (draft.empty()) return std::nullopt;
  return draft.txn();
}

}  // namespace beaconsill::state_store
