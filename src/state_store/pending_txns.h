// Transactions that have no answer yet. A lost answer can be told from what is stored: the changes of a
// transaction all have the same revision.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "state_store/client.h"

namespace beaconsill::state_store {

class PendingTxns {
 public:
  using Done = std::function<void(TxnResult)>;
  struct Applied {
    Done done;
    Revision revision;
  };

  // An id for the calls below. Nothing is called from within this class.
  std::uint64_t add(protocol::Txn t, Done done);
  // It left this controller at `now`, when everything up to `known` had been read.
  void sent(std::uint64_t id, Revision known, Instant now);
  // Takes out a transaction that was answered; nothing if it was found to be applied before.
  Done take(std::uint64_t id);
  // When the transaction that waits longest for its answer was sent; none if none waits.
  std::optional<Instant> oldest_sent() const;
  // Takes out those that these changes show as applied: every write of theirs is there, with its value, under
  // one revision later than what was known when they were sent. What isn't found may be applied later still,
  // so its absence proves nothing.
  std::vector<Applied> take_applied(const std::vector<protocol::Change>& changes);

 private:
  struct Open {
    protocol::Txn txn;
    Done done;
    Revision known;
    std::optional<Instant> sent;
  };
  std::map<std::uint64_t, Open> open_;
  std::uint64_t last_ = 0;
};

}  // namespace beaconsill::state_store
