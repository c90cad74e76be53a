// The shards that this controller leads.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "shard/shard_manager.h"

namespace beaconsill::controller {

// A shard's state machine, and what the components of the ShardService have under way for it. All of that
// ends with the term: a callback looks the shard up by its term and finds nothing once that is over.
struct LedShard {
  std::unique_ptr<shard::ShardManager> manager;

  // RegistrySync
  bool registry_read = false;  // the state store was read after the term was written
  bool reading_registry = false;
  bool writing_registry = false;

  // ProgressWriter
  bool writing_progress = false;
  std::optional<Instant> next_progress_check;
  std::map<JobId, Instant> unwritten_since;  // jobs with progress that isn't written yet

  // LeaderNotifier
  std::optional<Instant> next_full_notification;
  std::optional<Term> fully_notified;  // the term of the leader that was notified of everything
};

// Owned by the ShardService, which alone adds and removes shards.
class LedShards {
 public:
  auto begin() { return shards_.begin(); }
  auto end() { return shards_.end(); }
  auto begin() const { return shards_.begin(); }
  auto end() const { return shards_.end(); }

  // Begins a new term of the shard; the state of an earlier one is discarded.
  LedShard& add(ShardId id) {
    auto& shard = shards_[id];
    shard = {};
    return shard;
  }
  void remove(ShardId id) { shards_.erase(id); }
  bool contains(ShardId id) const { return shards_.contains(id); }
  // Null if this controller doesn't lead the shard.
  LedShard* find(ShardId id) {
    auto it = shards_.find(id);
    return it == shards_.end() ? nullptr : &it->second;
  }
  const LedShard* find(ShardId id) const {
    auto it = shards_.find(id);
    return it == shards_.end() ? nullptr : &it->second;
  }
  // The same if the shard is still led under this term.
  LedShard* find(ShardId id, Term term) {
    auto* shard = find(id);
    return shard && shard->manager->term() == term ? shard : nullptr;
  }

 private:
  std::map<ShardId, LedShard> shards_;
};

}  // namespace beaconsill::controller
