#include "controller/command_sender.h"

#include <utility>

#include "base/log.h"
#include "controller/socket_limits.h"
#include "net/http_status.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kCommandTimeout = std::chrono::seconds(2);

using CommandResult = shard::ShardManager::CommandResult;

// Converts the HTTP result of a command batch to a CommandResult. Sets `heartbeat` if the worker's response
// contains its state.
CommandResult parse_response(const MachineName& machine, const net::Result& result,
                             std::optional<protocol::WorkerHeartbeat>& heartbeat) {
  if (!result) {
    spdlog::debug("commands_unanswered machine={}", machine.value());
    return CommandResult::kNoAnswer;
  }
  if (result->status != net::status::kOk && result->status != net::status::kConflict) {
    spdlog::error("commands_refused machine={} reason=status_{}", machine.value(), result->status);
    return CommandResult::kNoAnswer;
  }
  try {
    heartbeat = protocol::parse_worker_heartbeat(protocol::parse_object(result->body));
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("command_answer_malformed machine={} reason=\"{}\"", machine.value(), error.what());
    return CommandResult::kNoAnswer;
  }
  return result->status == net::status::kOk ? CommandResult::kExecuted : CommandResult::kRejected;
}
}  // namespace

CommandSender::CommandSender(ControllerContext& ctx, LedShards& shards, std::function<void()> on_batch_done)
    : ctx_(ctx),
      shards_(shards),
      on_batch_done_(std::move(on_batch_done)),
      connections_(ctx.io_context, plan_socket_limits(ctx.settings).commands) {}

void CommandSender::stop() {
  stopped_ = true;
  connections_.stop();
}

void CommandSender::send(ShardId id, LedShard& shard, shard::ShardManager::Batch batch) {
  auto endpoint = net::parse_endpoint(batch.address);
  if (!endpoint) {
    spdlog::error("worker_address_invalid machine={} reason=\"{}\"", batch.machine.value(), batch.address);
    // Without this call the shard would wait for a response forever, and so would the tasks placed on the
    // machine.
    shard.manager->on_command_result(batch, CommandResult::kNoAnswer, std::nullopt, ctx_.now());
    return;
  }
  auto client = connections_.acquire(batch.machine, batch.address, *endpoint, ctx_.now()).client;
  auto body = protocol::render_commands(batch.token, batch.incarnation, batch.commands);
  auto done = [this, id, term = shard.manager->term(), batch = std::move(batch),
               weak_client = std::weak_ptr(client)](const net::Result& result) {
    if (stopped_) return;
    connections_.release(batch.machine, weak_client.lock());
    on_result(id, term, batch, result);
  };
  client->request("POST", "/do", body, kCommandTimeout, std::move(done));
}

void CommandSender::on_result(ShardId id, Term term, const shard::ShardManager::Batch& batch,
                              const net::Result& result) {
  auto* shard = shards_.find(id, term);
  if (!shard) return;
  std::optional<protocol::WorkerHeartbeat> heartbeat;
  auto outcome = parse_response(batch.machine, result, heartbeat);
  shard->manager->on_command_result(batch, outcome, heartbeat, ctx_.now());
  on_batch_done_();
}

}  // namespace beaconsill::controller
