#include "state_store/effective_limits.h"

#include <algorithm>

namespace beaconsill::state_store {
namespace {

// Refusals this close together are no accident of several controllers that send at the same moment.
constexpr Duration kRepeatedRefusal = std::chrono::seconds(10);
constexpr Duration kFirstRetryInterval = std::chrono::seconds(60);
constexpr Duration kMaxRetryInterval = std::chrono::seconds(600);
// No value is thought to be refused for its size below this.
constexpr std::size_t kMinValueBytes = 512;

bool recently(const std::optional<Instant>& event, Instant now) {
  return event && now - *event < kRepeatedRefusal;
}

}  // namespace

bool EffectiveRateLimits::on_too_many(Instant now) {
  const bool repeated = recently(last_refused_, now);
  // Refused soon after the current limits were tried anew: the lower ones are still in force.
  const bool retry_failed = !lowered_ && recently(retry_at_, now);
  last_refused_ = now;
  if (lowered_ || !(repeated || retry_failed)) return false;
  lowered_ = true;
  retry_interval_ = retry_failed ? std::min(2 * retry_interval_, kMaxRetryInterval) : kFirstRetryInterval;
  retry_at_ = now + retry_interval_;
  return true;
}

bool EffectiveRateLimits::on_time(Instant now) {
  if (!lowered_ || now < *retry_at_) return false;
  lowered_ = false;
  retry_at_ = now;
  return true;
}

void EffectiveSizeLimits::lower(std::size_t& limit, std::size_t lowered, Instant now) {
  if (lowered >= limit) return;
  limit = lowered;
  if (retry_at_ && now < *retry_at_) return;
  retry_interval_ = std::clamp(2 * retry_interval_, kFirstRetryInterval, kMaxRetryInterval);
  retry_at_ = now + retry_interval_;
}

void EffectiveSizeLimits::on_time(Instant now) {
  if (retry_at_ && now < *retry_at_) return;
  txn_ops_ = configured_txn_ops_;
  value_bytes_ = configured_value_bytes_;
}

void EffectiveSizeLimits::on_refused(const protocol::Txn& txn, Instant now) {
  if (txn.writes.size() > 1) return lower(txn_ops_, txn.writes.size() / 2, now);
  if (txn.writes.empty() || !txn.writes[0].value) return;
  const auto bytes = protocol::dump(*txn.writes[0].value).size();
  if (bytes <= kMinValueBytes || bytes > value_bytes_) return;
  lower(value_bytes_, std::max(kMinValueBytes, bytes / 2), now);
  // It was this value, not the number of changes, that the larger transactions were refused for.
  txn_ops_ = configured_txn_ops_;
}

}  // namespace beaconsill::state_store
