// Interfaces through which the user-facing HTTP endpoints read and write the state store. Tests implement
// them without sockets. All calls and callbacks are made on one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <tl/expected.hpp>

#include "protocol/state_store.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

// Priority classes of requests to the state store, the most urgent first.
enum class Urgency { kElection, kUserRequest, kBackground, kGarbageCollection };
constexpr std::size_t kUrgencyCount = 4;

// Default for the longest time that a request waits in the queue for the rate limits before it is refused.
constexpr Duration kQueueWait = std::chrono::milliseconds(2500);

// Why a transaction is not known to have been applied.
enum class TxnError {
  kConflict,     // 409: a condition did not hold, and nothing was changed
  kNotExecuted,  // an outage, a rate limit, or not sent within the queue wait: nothing was changed
  kUnknown,      // no response or a malformed one: it may have been executed, or may be executed later
  kRejected,     // any other status, such as 400 for its size or 404 for its lease
};

// The revision under which the transaction's writes were applied, or why it is not known to be applied.
using TxnResult = tl::expected<Revision, TxnError>;

// Executes transactions on the state store.
class TxnExecutor {
 public:
  virtual ~TxnExecutor() = default;
  virtual void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done) = 0;
  // Estimates how long a transaction of this urgency that is submitted now would wait for the write rate
  // limit. Serves as the measure of overload.
  virtual Duration write_wait(Urgency urgency) const = 0;
};

// A local view of the state store's content that can be brought up to date on demand.
class StateReader {
 public:
  virtual ~StateReader() = default;
  virtual const StateView& view() const = 0;
  // Returns a time such that the view contains all changes that were made before it, or std::nullopt until
  // the whole content has been read once.
  virtual std::optional<Instant> up_to_date_at() const = 0;
  // Returns whether the whole content has been read.
  virtual bool ready() const = 0;
  // Brings the view up to date. Calls `done` with true once the view contains everything that was written
  // before this call, and with false if the read failed.
  virtual void sync(std::function<void(bool)> done) = 0;
  // Returns false while a read is not expected to be answered soon: the whole content has not been read yet,
  // the state store is unavailable to this controller, or it has not answered the current read for some time.
  virtual bool is_responsive() const = 0;
  // Sends a transaction, or fails it with TxnError::kNotExecuted if it can't be sent within `queue_wait`. If
  // the response is late, the changes read from the state store may show that the transaction was applied;
  // `done` is called with the first result that is available. If neither arrives, the transaction may still
  // be applied later (TxnError::kUnknown).
  virtual void commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
                      Duration queue_wait) = 0;
  // Applies this controller's own transaction, which the state store executed under `revision`, to the view.
  virtual void apply_own_txn(const protocol::Txn& txn, Revision revision) = 0;
};

}  // namespace beaconsill::state_store
