// Reads the machine registry of a shard from the state store when a term begins, and writes changes to it.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"

namespace beaconsill::controller {

// Part of the ShardService, which calls read() and write() on its timers. The registry lists the machines
// that may run tasks of a shard, so that the next shard leader knows which machines to wait for. Failed
// requests are repeated at the next tick. Doesn't throw; runs on the event loop's single thread.
class RegistrySync {
 public:
  // `on_read` is called each time the registry of a shard has been read.
  RegistrySync(ControllerContext& ctx, LedShards& shards, std::function<void()> on_read);
  // After this, callbacks of pending reads have no effect.
  void stop() { stopped_ = true; }

  // Reads everything that was written to the registry before the term began, unless it has been read or a
  // read is pending.
  void read(ShardId id, LedShard& shard);
  // Adds machines that aren't registered yet to the registry, and removes those that no longer belong to it.
  void write(ShardId id, LedShard& shard);
  // Called when the registry changed in the view.
  void on_registry_changed(ShardId id, LedShard& shard) const;

 private:
  ControllerContext& ctx_;
  LedShards& shards_;
  std::function<void()> on_read_;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
