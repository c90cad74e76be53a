// A transaction that is built step by step and keeps within the limits of the state store.
#pragma once

#include <cstddef>
#include <vector>

#include "protocol/state_store.h"

namespace beaconsill::state_store {

// Bytes of a whole transaction. The protocol allows 64 KiB; the service may write the same text a little
// longer.
constexpr std::size_t kMaxTxnBytes = std::size_t{60} * 1024;
// Conditions for each change that a transaction may have (the protocol).
constexpr std::size_t kConditionsPerChange = 4;
// Of `kMaxTxnBytes`, what a value leaves to the keys and conditions beside it.
constexpr std::size_t kMaxValueBytes = kMaxTxnBytes - std::size_t{4} * 1024;

// Not thread-safe.
class TxnDraft {
 public:
  // `max_changes`: how many puts and deletes it may hold.
  explicit TxnDraft(std::size_t max_changes) : max_changes_(max_changes) {}

  // Adds changes and what they are conditional on, all of them or none: false if they don't fit any more.
  bool add(const std::vector<protocol::Condition>& conditions, const std::vector<protocol::Write>& writes);
  // Conditions that hold for the transaction as a whole.
  bool require(const protocol::Condition& condition) { return add({condition}, {}); }
  bool empty() const { return txn_.writes.empty(); }
  const protocol::Txn& txn() const { return txn_; }

 private:
  std::size_t max_changes_;
  std::size_t bytes_ = 0;
  protocol::Txn txn_;
};

}  // namespace beaconsill::state_store
