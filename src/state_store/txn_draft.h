// Builds a transaction step by step within the limits of the state store.
#pragma once

#include <cstddef>
#include <vector>

#include "protocol/state_store.h"

namespace beaconsill::state_store {

// Maximum size of a transaction in bytes. The protocol allows 64 KiB, but the service's encoding of the same
// transaction may be slightly longer than ours.
constexpr std::size_t kMaxTxnBytes = std::size_t{60} * 1024;
// The protocol allows this many conditions per allowed put or delete of a transaction.
constexpr std::size_t kConditionsPerWrite = 4;
// Maximum size of a value in bytes. Leaves 4 KiB of `kMaxTxnBytes` for the keys and conditions of the
// transaction.
constexpr std::size_t kMaxValueBytes = kMaxTxnBytes - std::size_t{4} * 1024;

// Not thread-safe.
class TxnDraft {
 public:
  // `max_writes`: how many puts and deletes the transaction may contain.
  explicit TxnDraft(std::size_t max_writes) : max_writes_(max_writes) {}

  // Adds writes and their conditions. Returns false, and adds nothing, if they would exceed a limit.
  bool add(const std::vector<protocol::Condition>& conditions, const std::vector<protocol::Write>& writes);
  // Adds a condition without a write. Returns false, and adds nothing, if it would exceed a limit.
  bool require(const protocol::Condition& condition) { return add({condition}, {}); }
  bool empty() const { return txn_.writes.empty(); }
  const protocol::Txn& txn() const { return txn_; }

 private:
  std::size_t max_writes_;
  std::size_t bytes_ = 0;
  protocol::Txn txn_;
};

}  // namespace beaconsill::state_store
