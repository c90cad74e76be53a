// Stores the state of the shards that this controller leads.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "shard/shard_manager.h"

namespace beaconsill::controller {

// A shard's state machine, and the state that the components of the ShardService have for the shard. All of
// it is discarded when the term ends. A callback looks the shard up by its term, and finds none after the
// term has ended.
struct LedShard {
  std::unique_ptr<shard::ShardManager> manager;

  // State of the RegistrySync
  bool registry_read = false;  // the registry was read after this term had been written to the state store
  bool registry_read_pending = false;
  bool registry_write_pending = false;

  // State of the ProgressWriter
  bool progress_write_pending = false;
  std::optional<Instant> next_progress_check;
  std::map<JobId, Instant> unwritten_since;  // since when each job has had unwritten progress

  // State of the LeaderNotifier
  std::optional<Instant> next_full_notification;
  std::optional<Term>
      fully_notified_leader_term;  // term of the last leader that was sent all unwritten progress
};

// Owned by the ShardService, which is the only component that adds and removes shards.
class LedShards {
 public:
  auto begin() { return shards_.begin(); }
  auto end() { return shards_.end(); }
  auto begin() const { return shards_.begin(); }
  auto end() const { return shards_.end(); }

  // Begins a new term of the shard and discards the state of an earlier term.
  LedShard& add(ShardId id) {
    auto& shard = shards_[id];
    shard = {};
    return shard;
  }
  void remove(ShardId id) { shards_.erase(id); }
  bool contains(ShardId id) const { return shards_.contains(id); }
  // Returns null if this controller doesn't lead the shard.
  LedShard* find(ShardId id) {
    auto it = shards_.find(id);
    return it == shards_.end() ? nullptr : &it->second;
  }
  const LedShard* find(ShardId id) const {
    auto it = shards_.find(id);
    return it == shards_.end() ? nullptr : &it->second;
  }
  // Returns null if this controller doesn't lead the shard under this term.
  LedShard* find(ShardId id, Term term) {
    auto* shard = find(id);
    return shard && shard->manager->term() == term ? shard : nullptr;
  }

 private:
  std::map<ShardId, LedShard> shards_;
};

}  // namespace beaconsill::controller
