#include "shard/registry_state.h"

#include <algorithm>

namespace beaconsill::shard {

void RegistryState::on_read(const std::vector<state_store::MachineRecord>& records) {
  recorded_.clear();
  for (const auto& record : records) recorded_[state_store::machine_bucket(record.name)].push_back(record);
  loaded_ = dirty_ = true;
}

RegistryState::RecordsByBucket RegistryState::buckets_to_write(
    const std::map<MachineName, Machine>& machines) {
  RecordsByBucket wanted;
  RecordsByBucket changed;
  if (!loaded_ || !dirty_) return changed;
  // A machine known only from a heartbeat under an earlier term isn't added: that heartbeat may be a late
  // copy from a terminated machine, and the next failover would wait for that machine. No tasks are started
  // on an unconfirmed machine anyway.
  for (const auto& [name, machine] : machines)
    if (machine.registered || machine.confirmed)
      wanted[state_store::machine_bucket(name)].push_back(
          {machine.name, machine.type, machine.zone, machine.spot, machine.address, machine.quarantined});
  for (std::uint32_t bucket = 0; bucket < state_store::kMachineBuckets; ++bucket) {
    auto it = recorded_.find(bucket);
    auto recorded = it == recorded_.end() ? std::vector<state_store::MachineRecord>{} : it->second;
    std::sort(recorded.begin(), recorded.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    if (recorded != wanted[bucket]) changed[bucket] = wanted[bucket];
  }
  dirty_ = !changed.empty();  // changed buckets are returned again until they are read back
  return changed;
}

}  // namespace beaconsill::shard
