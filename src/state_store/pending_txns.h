// Transactions that have no response yet. Whether one with a lost response was applied can be read from what
// is stored: the changes of a transaction all have the same revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "protocol/state_store.h"
#include "state_store/access.h"

namespace beaconsill::state_store {

// Not thread-safe; WatchCache owns it. It calls no callback itself.
class PendingTxns {
 public:
  using Done = std::function<void(TxnResult)>;
  // A transaction that was found to be applied.
  struct Applied {
    Done done;
    Revision revision;
  };

  // Returns an id for the calls below.
  std::uint64_t add(protocol::Txn txn, Done done);
  // It left this controller at `now`, when everything up to `known` had been read.
  void sent(std::uint64_t id, Revision known, Instant now);
  // Takes out a transaction that was responded to; nothing if it was found to be applied before.
  Done take(std::uint64_t id);
  // When the transaction that waits longest for its response was sent; none if none waits.
  std::optional<Instant> oldest_sent() const;
  // Takes out those that these changes show as applied: every write of theirs is there, with its value, under
  // one revision later than what was known when they were sent. What isn't found may be applied later still,
  // so its absence proves nothing.
  std::vector<Applied> take_applied(const std::vector<protocol::Change>& changes);

 private:
  struct Pending {
    protocol::Txn txn;
    Done done;
    Revision known;
    std::optional<Instant> sent;
  };
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_id_ = 0;
};

}  // namespace beaconsill::state_store
