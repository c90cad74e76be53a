#include "sim/decision_digest.h"

#include <cmath>
#include <string>

#include "protocol/worker.h"
#include "sim/workers.h"

namespace beaconsill::sim {
namespace {
constexpr char kSeparator = '\n';
constexpr double kNanosecondsPerSecond = 1e9;
}  // namespace

void DecisionDigest::on_transaction(int controller, const protocol::Txn& transaction) {
  fold(Kind::kTransaction, controller, {protocol::render_txn(transaction)});
}

void DecisionDigest::on_commands(int controller, const shard::ShardManager::Batch& batch) {
  const auto commands = protocol::render_commands(batch.token, batch.incarnation, batch.commands);
  fold(Kind::kCommands, controller, {batch.machine.value(), commands});
}

void DecisionDigest::on_heartbeat_reply(int controller, const MachineName& machine,
                                        const HeartbeatReply& reply) {
  const auto response = reply.answer
                            ? protocol::render_heartbeat_response(reply.answer->token, reply.answer->commands)
                            : std::string();
  fold(Kind::kHeartbeatReply, controller, {machine.value(), response, std::to_string(reply.redirect)});
}

void DecisionDigest::on_deletion(int controller, const MachineName& machine) {
  fold(Kind::kDeletion, controller, {machine.value()});
}

void DecisionDigest::on_user_response(int controller, const JobId& job, const net::Response& response) {
  const auto status = std::to_string(response.status);
  const auto retry_after = response.retry_after_s ? std::to_string(*response.retry_after_s) : std::string();
  fold(Kind::kUserResponse, controller, {job.value(), status, response.body, retry_after});
}

void DecisionDigest::fold(Kind kind, int controller, std::initializer_list<std::string_view> fields) {
  const auto time = std::llround(queue_.now() * kNanosecondsPerSecond);
  std::string event = std::to_string(value_);
  event += kSeparator + std::to_string(time);
  event += kSeparator + std::to_string(controller);
  event += kSeparator + std::to_string(static_cast<int>(kind));
  for (const auto field : fields) {
    event += kSeparator;
    event += field;
  }
  value_ = stable_hash(event);
}

}  // namespace beaconsill::sim
