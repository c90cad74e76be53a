// Keeps the machine registries of the led shards: reads them when a term begins, writes what changes.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls read() and write() on its timers. The registry names the machines
// that may run a shard's tasks, so that the next shard leader knows which to wait for. What fails is repeated
// at the next tick. Throws nothing; one thread.
class RegistrySync {
 public:
  // `on_read` is called once a shard's registry was read.
  RegistrySync(ControllerContext& ctx, LedShards& shards, std::function<void()> on_read);
  // No callback of a read under way takes effect any more.
  void stop() { stopped_ = true; }

  // Reads the registry as it was when the term began, unless that was done or is under way.
  void read(ShardId id, LedShard& shard);
  // Writes the machines that aren't registered yet, or no longer belong there.
  void write(ShardId id, LedShard& shard);
  // The registry changed in the view.
  void on_view(ShardId id, LedShard& shard) const;

 private:
  ControllerContext& ctx_;
  LedShards& shards_;
  std::function<void()> on_read_;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
