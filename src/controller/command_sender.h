// Sends command batches to workers over HTTP and passes their responses to the shard manager.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"
#include "controller/worker_connection_pool.h"

namespace beaconsill::controller {

// Part of the ShardService. Calls ShardManager::on_command_result exactly once for every batch, unless the
// shard's term has ended. Doesn't retry a batch that got no response. Methods don't throw. Single-threaded.
class CommandSender {
 public:
  // `on_batch_done` is called after the shard manager was notified of the result of a batch that was sent. A
  // missing response is a result, too.
  CommandSender(ControllerContext& ctx, LedShards& shards, std::function<void()> on_batch_done);
  // Closes all connections. Responses that arrive later are ignored.
  void stop();

  // Sends the commands of the batch to the machine that the batch names.
  void send(ShardId id, LedShard& shard, shard::ShardManager::Batch batch);
  // Closes the connection to the terminated machine.
  void on_machine_terminated(const MachineName& machine) { connections_.close(machine); }

 private:
  void on_result(ShardId id, Term term, const shard::ShardManager::Batch& batch, const net::Result& result);

  ControllerContext& ctx_;
  LedShards& shards_;
  std::function<void()> on_batch_done_;
  WorkerConnectionPool connections_;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
