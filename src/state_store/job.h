// The records of one job in the state store, and the task sets derived from them.
#pragma once

#include <map>
#include <vector>

#include "base/ranges.h"
#include "state_store/records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

struct Job {
  JobRecord record;
  Revision created;       // revision of the job record; 0 if there is none
  bool complete = false;  // whether the record and all keys of its dependencies have been read
  Versioned<Grants> grants;
  std::map<ShardId, Versioned<Progress>> progress;

  // Returns the tasks that any shard has recorded as done.
  Ranges done() const;
  // Returns the tasks that are granted to the shard and neither done nor released. They may be running on one
  // of its machines.
  Ranges outstanding(ShardId shard) const;
  // Returns the outstanding tasks of all shards.
  Ranges outstanding() const;
  // Returns the tasks of the chunk that its shard hasn't recorded as released.
  Ranges unreleased(const Chunk& chunk) const;
};

// Returns the tasks of the grant with this generation that the shard has released.
Ranges released_tasks(const Progress& progress, Generation generation);
// Returns the released tasks of this generation for modification. Appends an empty entry to the list if the
// generation has none.
Ranges& find_or_add_released(std::vector<ReleasedTasks>& released, Generation generation);

}  // namespace beaconsill::state_store
