// What the users' endpoints need of the state store, as interfaces: they run in tests without sockets. All
// calls and callbacks are made on one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <tl/expected.hpp>

#include "protocol/state_store.h"
#include "state_store/state_view.h"

namespace beaconsill::state_store {

// The most urgent first.
enum class Urgency { kElection, kUserRequest, kBackground, kGarbageCollection };
constexpr std::size_t kUrgencies = 4;

// How long a request waits for its share of the rate limits before it's refused.
constexpr Duration kQueueWait = std::chrono::milliseconds(2500);

// Why a transaction isn't known to be applied.
enum class TxnError {
  kConflict,  // 409: nothing was changed
  kRefused,   // not executed: an outage, a limit, or not sent in time
  kUnknown,   // no response, or none that is understood: it may have been executed, or may still be
  kRejected,  // any other status, such as 400 for its size or 404 for its lease
};

// The revision of the changes.
using TxnResult = tl::expected<Revision, TxnError>;

// Carries out transactions.
class TxnExecutor {
 public:
  virtual ~TxnExecutor() = default;
  virtual void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done) = 0;
  // How long a change of this urgency would wait now: the measure of overload.
  virtual Duration write_wait(Urgency urgency) const = 0;
};

// A view of the state store's content that can be brought up to date.
class StateReader {
 public:
  virtual ~StateReader() = default;
  virtual const StateView& view() const = 0;
  // The view holds all changes that were made before this time; none until everything was read once.
  virtual std::optional<Instant> up_to_date_at() const = 0;
  // Everything was read since the process began.
  virtual bool ready() const = 0;
  // Calls back once the view holds all that was written before this call; false: could not be read.
  virtual void sync(std::function<void(bool)> done) = 0;
  // False while a read could not be answered soon: the service refuses this controller, or holds a read back.
  virtual bool is_responsive() const = 0;
  // Sends a transaction, or refuses it if that takes longer than `queue_wait`. If its response is late, reads
  // tell whether it was applied; `done` is called with the first that is known. Without either it may still
  // be applied later (TxnError::kUnknown).
  virtual void commit(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
                      Duration queue_wait) = 0;
  // A change that this controller itself made, under this revision.
  virtual void apply_own(const protocol::Txn& txn, Revision revision) = 0;
};

}  // namespace beaconsill::state_store
