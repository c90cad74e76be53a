// Computes a digest of the decisions that the controllers make in one simulated schedule. If two builds have
// equal digests, their controllers made the same decisions at the same simulated times.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "net/http.h"
#include "protocol/state_store.h"
#include "shard/shard_manager.h"
#include "sim/clock.h"

namespace beaconsill::sim {

struct HeartbeatReply;

// Folds each decision that a controller sends out, with its simulated time and the controller's number, into
// a 64-bit hash. Only rendered messages, identifiers and numbers are hashed, so that renaming identifiers in
// the code does not change the digest.
class DecisionDigest {
 public:
  explicit DecisionDigest(const EventQueue& queue) : queue_(queue) {}

  // A transaction sent to the state store: grants, roles, terminal records, registries, submissions or
  // cancellations.
  void on_transaction(int controller, const protocol::Txn& transaction);
  // Commands sent to a worker.
  void on_commands(int controller, const shard::ShardManager::Batch& batch);
  // The response to a worker's heartbeat, or the controller to which the worker is redirected.
  void on_heartbeat_reply(int controller, const MachineName& machine, const HeartbeatReply& reply);
  // A request to the cloud to delete a machine. There is no method for renting, because the simulated cloud
  // does not accept rent requests.
  void on_deletion(int controller, const MachineName& machine);
  // The response to a user's request about a job.
  void on_user_response(int controller, const JobId& job, const net::Response& response);

  // Returns the digest of all decisions so far.
  std::uint64_t value() const { return value_; }

 private:
  // The numeric values are part of the digest and must not change.
  enum class Kind { kTransaction = 1, kCommands = 2, kHeartbeatReply = 3, kDeletion = 4, kUserResponse = 5 };
  void fold(Kind kind, int controller, std::initializer_list<std::string_view> fields);

  const EventQueue& queue_;
  std::uint64_t value_ = 0;
};

}  // namespace beaconsill::sim
