// Compares the machine registry of a shard in the state store with what it should contain.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shard/machine.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {

// A new leader of the shard waits for every registered machine, so no task may be started on a machine before
// it is registered.
class RegistryState {
 public:
  using RecordsByBucket = std::map<std::uint32_t, std::vector<state_store::MachineRecord>>;

  // Replaces the known content of the registry by all records of the shard as read from the state store.
  void on_read(const std::vector<state_store::MachineRecord>& records);
  // Whether on_read has been called. Before that, the machines that an earlier leader registered are unknown.
  bool is_loaded() const { return loaded_; }
  // Records that the content that the registry should have may have changed.
  void mark_dirty() { dirty_ = true; }
  // Returns the buckets to be written, with their new content. Each call returns a changed bucket again until
  // its new content has been read back with on_read.
  RecordsByBucket buckets_to_write(const std::map<MachineName, Machine>& machines);

 private:
  RecordsByBucket recorded_;
  bool loaded_ = false;
  bool dirty_ = true;
};

}  // namespace beaconsill::shard
