// Tracks the transactions that have no response yet. If a response is lost, the changes read from the state
// store can show that the transaction was applied: all writes of a transaction have the same revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/access.h"

namespace beaconsill::state_store {

// Not thread-safe; WatchCache owns it. It never calls the callbacks that it stores.
class PendingTxns {
 public:
  using Done = std::function<void(TxnResult)>;
  // A transaction that was found to be applied.
  struct Applied {
    Done done;
    Revision revision;
  };

  // Adds a transaction that is not sent yet. Returns an id for the calls below.
  std::uint64_t add(protocol::Txn txn, Done done);
  // Records that the transaction was sent at `now`, when all changes up to `known_revision` had been read.
  void mark_sent(std::uint64_t id, Revision known_revision, Instant now);
  // Removes a transaction whose response has arrived, and returns its callback. Returns an empty function if
  // the transaction was already found to be applied.
  Done take(std::uint64_t id);
  // Returns when the oldest of the sent transactions was sent, or std::nullopt if there is none.
  std::optional<Instant> oldest_sent() const;
  // Removes and returns the transactions that were applied according to `changes`: those whose writes are all
  // among the changes, with the same values and under one revision later than the transaction's
  // `known_revision`. A transaction that is not found may still be applied later.
  std::vector<Applied> take_applied(const std::vector<protocol::Change>& changes);

 private:
  struct Pending {
    protocol::Txn txn;
    Done done;
    Revision known_revision;      // all changes up to this one had been read when it was sent
    std::optional<Instant> sent;  // nullopt: not sent yet
  };
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_id_ = 0;
};

}  // namespace beaconsill::state_store
