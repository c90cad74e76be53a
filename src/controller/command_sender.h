// Sends commands to workers and hands their answers to the shard.
#pragma once

#include <functional>

#include "controller/controller_context.h"
#include "controller/led_shards.h"
#include "controller/worker_connection_pool.h"

namespace beaconsill::controller {

// Part of the ShardService. Every batch ends in one call of ShardManager::on_command_result, unless the
// shard's term has ended; a batch without an answer isn't repeated here. Throws nothing; one thread.
class CommandSender {
 public:
  // `on_answer` is called after the shard was notified of an answer, or that there was none.
  CommandSender(ControllerContext& ctx, LedShards& shards, std::function<void()> on_answer);
  // No answer is handed on any more.
  void stop();

  // Sends the commands of a batch to its machine.
  void send(ShardId id, LedShard& shard, shard::ShardManager::Batch batch);
  // Closes the connection to the machine.
  void on_machine_terminated(const MachineName& machine) { connections_.close(machine); }

 private:
  void on_result(ShardId id, Term term, const shard::ShardManager::Batch& batch, const net::Result& result);

  ControllerContext& ctx_;
  LedShards& shards_;
  std::function<void()> on_answer_;
  WorkerConnectionPool connections_;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
