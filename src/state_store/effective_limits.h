// The limits of the state store that are in force. The service may lower its limits at any moment without
// notice, so they are learned from its refusals. Neither class is thread-safe; StoreClient owns one of each.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "base/types.h"
#include "protocol/state_store.h"

namespace beaconsill::state_store {

// Limits of the state store as the settings give them, for the service as a whole.
struct StoreLimits {
  double rps = 0;                          // requests a second
  double write_rps = 0;                    // puts and deletes a second
  std::optional<std::size_t> txn_ops;      // puts and deletes of a transaction; none: unlimited
  std::optional<std::size_t> value_bytes;  // bytes of a value; none: unlimited
};

// Chooses between the current rate limits and the lower ones that may come into force. Refusals for too many
// requests (429) show that the lower ones are in force; from time to time the current ones are tried again,
// each time after a longer interval.
class EffectiveRateLimits {
 public:
  EffectiveRateLimits(StoreLimits current, StoreLimits next) : current_(current), next_(next) {}

  // The limits to keep to now.
  const StoreLimits& get() const { return lowered_ ? next_ : current_; }
  // A request was refused for too many requests. Returns whether the limits in force have changed.
  bool on_too_many(Instant now);
  // A request was answered: returns to the current limits once it's time. Returns whether they have changed.
  bool on_time(Instant now);

 private:
  StoreLimits current_;
  StoreLimits next_;
  bool lowered_ = false;
  std::optional<Instant> last_refused_;
  std::optional<Instant> retry_at_;  // when the current limits are or were tried again
  Duration retry_interval_{};
};

// The sizes that the service takes: those of the settings, less once it has refused a transaction for its
// size. After a while those of the settings are tried again, each time after a longer interval, since the
// transaction may have been refused for another reason.
class EffectiveSizeLimits {
 public:
  // No limit of the settings.
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  // `txn_ops`: puts and deletes of a transaction; `value_bytes`: bytes of a value.
  EffectiveSizeLimits(std::size_t txn_ops, std::size_t value_bytes)
      : configured_txn_ops_(txn_ops),
        txn_ops_(txn_ops),
        configured_value_bytes_(value_bytes),
        value_bytes_(value_bytes) {}

  // Puts and deletes that a transaction may hold now.
  std::size_t txn_ops() const { return txn_ops_; }
  // Bytes that a value may have now.
  std::size_t value_bytes() const { return value_bytes_; }
  // The service refused this transaction for its size: the next ones are half as large. One with a single
  // change can only be too large by its value.
  void on_refused(const protocol::Txn& txn, Instant now);
  // A request was answered: returns to the sizes of the settings once it's time.
  void on_time(Instant now);

 private:
  void lower(std::size_t& limit, std::size_t lowered, Instant now);

  std::size_t configured_txn_ops_;
  std::size_t txn_ops_;
  std::size_t configured_value_bytes_;
  std::size_t value_bytes_;
  std::optional<Instant> retry_at_;
  Duration retry_interval_{};
};

}  // namespace beaconsill::state_store
