// Tracks the rate and size limits of the state store that are in force. The service may lower its limits at
// any moment without notice, so they are inferred from the requests that it refuses. Neither class is
// thread-safe; StoreClient owns one of each.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "base/types.h"
#include "protocol/state_store.h"

namespace beaconsill::state_store {

// The limits of the state store from the settings. They apply to the service as a whole.
struct StoreLimits {
  double rps = 0;                          // requests per second
  double write_rps = 0;                    // puts and deletes per second
  std::optional<std::size_t> txn_ops;      // puts and deletes of a transaction; nullopt: unlimited
  std::optional<std::size_t> value_bytes;  // bytes of a value; nullopt: unlimited
};

// Chooses between the current rate limits and the lower ones that may come into force later. Repeated
// responses with status 429 (too many requests) show that the lower ones are in force. After an interval the
// current ones are tried again; the interval doubles each time the trial fails.
class EffectiveRateLimits {
 public:
  EffectiveRateLimits(StoreLimits current, StoreLimits upcoming) : current_(current), upcoming_(upcoming) {}

  // The limits that currently apply.
  const StoreLimits& get() const { return lowered_ ? upcoming_ : current_; }
  // Handles a response with status 429 (too many requests). Returns whether the applicable limits have
  // changed.
  bool on_rate_limited(Instant now);
  // Returns to the current limits if the retry time has come. To be called when a request was answered with a
  // status other than 429 and 503. Returns whether the applicable limits have changed.
  bool restore_if_due(Instant now);

 private:
  StoreLimits current_;
  StoreLimits upcoming_;
  bool lowered_ = false;
  std::optional<Instant> last_rate_limited_;
  std::optional<Instant> retry_at_;  // when the current limits will be, or were last, tried again
  Duration retry_interval_{};
};

// The size limits that currently apply: those of the settings, or lower ones after the service has refused a
// transaction for its size. After an interval, which doubles each time, the limits of the settings are tried
// again, since the transaction may have been refused for another reason.
class EffectiveSizeLimits {
 public:
  // Used if the settings contain no limit.
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  // `txn_ops`: puts and deletes of a transaction; `value_bytes`: bytes of a value.
  EffectiveSizeLimits(std::size_t txn_ops, std::size_t value_bytes)
      : configured_txn_ops_(txn_ops),
        txn_ops_(txn_ops),
        configured_value_bytes_(value_bytes),
        value_bytes_(value_bytes) {}

  // The highest number of puts and deletes of a transaction that currently applies.
  std::size_t txn_ops() const { return txn_ops_; }
  // The maximum size of a value in bytes that currently applies.
  std::size_t value_bytes() const { return value_bytes_; }
  // Handles the refusal of a transaction that may have been too large, by limiting the next ones to half its
  // size: half its number of puts and deletes, or, if it has only one, half the size of the value.
  void on_size_refused(const protocol::Txn& txn, Instant now);
  // Returns to the limits of the settings if the retry time has come. To be called when a request was
  // answered with a status other than 429 and 503.
  void restore_if_due(Instant now);

 private:
  void lower(std::size_t& limit, std::size_t new_limit, Instant now);

  std::size_t configured_txn_ops_;
  std::size_t txn_ops_;
  std::size_t configured_value_bytes_;
  std::size_t value_bytes_;
  std::optional<Instant> retry_at_;
  Duration retry_interval_{};
};

}  // namespace beaconsill::state_store
