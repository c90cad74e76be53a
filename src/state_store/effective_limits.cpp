#include "state_store/effective_limits.h"

#include <algorithm>

namespace beaconsill::state_store {
namespace {

// Two refusals within this time show that a lower limit is in force. A single refusal may only mean that
// several controllers sent requests at the same moment.
constexpr Duration kRepeatedRefusalWindow = std::chrono::seconds(10);
constexpr Duration kFirstRetryInterval = std::chrono::seconds(60);
constexpr Duration kMaxRetryInterval = std::chrono::seconds(600);
// The refusal of a value of at most this size is not attributed to its size.
constexpr std::size_t kMinValueBytes = 512;

bool is_recent(const std::optional<Instant>& event, Instant now) {
  return event && now - *event < kRepeatedRefusalWindow;
}

}  // namespace

bool EffectiveRateLimits::on_rate_limited(Instant now) {
  const bool repeated = is_recent(last_rate_limited_, now);
  // A refusal soon after the current limits were tried again shows that the lower ones are still in force.
  const bool retry_failed = !lowered_ && is_recent(retry_at_, now);
  last_rate_limited_ = now;
  if (lowered_ || !(repeated || retry_failed)) return false;
  lowered_ = true;
  retry_interval_ = retry_failed ? std::min(2 * retry_interval_, kMaxRetryInterval) : kFirstRetryInterval;
  retry_at_ = now + retry_interval_;
  return true;
}

bool EffectiveRateLimits::restore_if_due(Instant now) {
  if (!lowered_ || now < *retry_at_) return false;
  lowered_ = false;
  retry_at_ = now;
  return true;
}

void EffectiveSizeLimits::lower(std::size_t& limit, std::size_t new_limit, Instant now) {
  if (new_limit >= limit) return;
  limit = new_limit;
  if (retry_at_ && now < *retry_at_) return;
  retry_interval_ = std::clamp(2 * retry_interval_, kFirstRetryInterval, kMaxRetryInterval);
  retry_at_ = now + retry_interval_;
}

void EffectiveSizeLimits::restore_if_due(Instant now) {
  if (retry_at_ && now < *retry_at_) return;
  txn_ops_ = configured_txn_ops_;
  value_bytes_ = configured_value_bytes_;
}

void EffectiveSizeLimits::on_size_refused(const protocol::Txn& txn, Instant now) {
  if (txn.writes.size() > 1) return lower(txn_ops_, txn.writes.size() / 2, now);
  if (txn.writes.empty() || !txn.writes[0].value) return;
  const auto bytes = protocol::dump(*txn.writes[0].value).size();
  if (bytes <= kMinValueBytes || bytes > value_bytes_) return;
  lower(value_bytes_, std::max(kMinValueBytes, bytes / 2), now);
  // Earlier, larger transactions were refused for the size of this value and not for their number of writes.
  txn_ops_ = configured_txn_ops_;
}

}  // namespace beaconsill::state_store
