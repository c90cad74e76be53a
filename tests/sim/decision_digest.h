// A digest of what the controllers decide in one schedule: two builds whose digests agree decided the same,
// at the same simulated times.
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

// Folds each decision that leaves a controller, with its simulated time and the controller's number, into a
// 64-bit hash. Only rendered messages, identifiers and numbers are hashed, so that no renaming of code alters
// the digest.
class DecisionDigest {
 public:
  explicit DecisionDigest(const EventQueue& queue) : queue_(queue) {}

  // A transaction sent to the state store: grants, roles, ends, registries, submissions, cancellations.
  void on_transaction(int controller, const protocol::Txn& transaction);
  // Commands sent to a worker.
  void on_commands(int controller, const shard::ShardManager::Batch& batch);
  // The answer to a worker's heartbeat, or the controller that the worker is redirected to.
  void on_heartbeat_reply(int controller, const MachineName& machine, const HeartbeatReply& reply);
  // A request to the cloud to delete a machine. The simulated cloud rents out nothing.
  void on_deletion(int controller, const MachineName& machine);
  // The answer to a user's request about a job.
  void on_user_response(int controller, const JobId& job, const net::Response& response);

  // Of all decisions so far.
  std::uint64_t value() const { return value_; }

 private:
  // These numbers are hashed.
  enum class Kind { kTransaction = 1, kCommands = 2, kHeartbeatReply = 3, kDeletion = 4, kUserResponse = 5 };
  void fold(Kind kind, int controller, std::initializer_list<std::string_view> fields);

  const EventQueue& queue_;
  std::uint64_t value_ = 0;
};

}  // namespace beaconsill::sim
