// What the state store holds about a job.
#pragma once

#include <map>
#include <vector>

#include "base/ranges.h"
#include "state_store/records.h"
#include "state_store/versioned.h"

namespace beaconsill::state_store {

struct Job {
  JobRecord record;
  Revision created;
  bool complete = false;  // the record and all keys of its dependencies have been read
  Versioned<Grants> grants;
  std::map<ShardId, Versioned<Progress>> progress;

  // Tasks that a shard has recorded as done.
  Ranges done() const;
  // Tasks granted to a shard, neither done nor released: they may be on one of its machines.
  Ranges outstanding(ShardId shard) const;
  // The same for all shards.
  Ranges outstanding() const;
  // Those of a chunk that its shard hasn't recorded as released.
  Ranges unreleased(const Chunk& chunk) const;
};

// The tasks of a chunk that the shard has released.
Ranges released_tasks(const Progress& progress, Generation generation);
// The same in a list, to be added to. An empty entry is appended if there is none.
Ranges& released_under(std::vector<ReleasedTasks>& released, Generation generation);

}  // namespace beaconsill::state_store
