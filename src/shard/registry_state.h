// What the state store records of the shard's machines, compared with what it should record.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shard/machine.h"
#include "state_store/state_view.h"

namespace beaconsill::shard {

// A successor waits for every registered machine, so nothing is started on one before it is registered.
class RegistryState {
 public:
  using RecordsByBucket = std::map<std::uint32_t, std::vector<state_store::MachineRecord>>;

  // All records of the shard as read from the state store.
  void on_read(const std::vector<state_store::MachineRecord>& records);
  // Whether on_read has been called: before, the machines of an earlier leader are not known.
  bool is_known() const { return known_; }
  // What should be registered may have changed.
  void mark_dirty() { dirty_ = true; }
  // Buckets to be written with their new content. Returned by each call until they are read back.
  RecordsByBucket buckets_to_write(const std::map<MachineName, Machine>& machines);

 private:
  RecordsByBucket recorded_;
  bool known_ = false;
  bool dirty_ = true;
};

}  // namespace beaconsill::shard
