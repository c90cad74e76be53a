// Tests of how the limits that are in force are inferred from the requests that the state store refuses.
#include "state_store/effective_limits.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

TEST(EffectiveRateLimits, LowersTheLimitsAfterRepeatedRefusalsAndRetriesTheCurrentOnes) {
  auto at = [](double seconds) { return Instant{} + from_seconds(1000 + seconds); };
  EffectiveRateLimits limits({60, 20}, {60, 15});
  // Single refusals, 30 s apart, are attributed to several controllers that sent requests at once.
  EXPECT_FALSE(limits.on_rate_limited(at(0)));
  EXPECT_FALSE(limits.on_rate_limited(at(30)));
  EXPECT_EQ(limits.get().write_rps, 20);
  EXPECT_TRUE(limits.on_rate_limited(at(32)));
  EXPECT_EQ(limits.get().write_rps, 15);
  EXPECT_FALSE(limits.restore_if_due(at(60)));
  // The current limits are tried again after a minute. The first refusal then lowers them for two minutes.
  EXPECT_TRUE(limits.restore_if_due(at(93)));
  EXPECT_EQ(limits.get().write_rps, 20);
  EXPECT_TRUE(limits.on_rate_limited(at(95)));
  EXPECT_FALSE(limits.restore_if_due(at(200)));
  EXPECT_TRUE(limits.restore_if_due(at(216)));
  // A refusal long after the current limits were tried again does not lower them.
  EXPECT_FALSE(limits.on_rate_limited(at(260)));
  EXPECT_EQ(limits.get().write_rps, 20);
}

protocol::Txn make_txn(std::size_t writes, std::size_t value_chars) {
  protocol::Txn txn;
  for (std::size_t i = 0; i < writes; ++i)
    txn.writes.push_back({"k", protocol::Json(std::string(value_chars, 'x')), {}});
  return txn;
}

TEST(EffectiveSizeLimits, ARefusalHalvesTheLimitThatTheTransactionMayHaveExceeded) {
  EffectiveSizeLimits limits(16, 8192);
  limits.on_size_refused(make_txn(10, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 5u);
  limits.on_size_refused(make_txn(5, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 2u);
  limits.on_size_refused(make_txn(2, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 1u);
  EXPECT_EQ(limits.value_bytes(), 8192u);
  limits.on_size_refused(make_txn(1, 3998), Instant{});
  EXPECT_EQ(limits.value_bytes(), 2000u);
  EXPECT_EQ(limits.txn_ops(), 16u);  // the larger transactions were refused for the size of that value
  // The refusal of so small a value is not attributed to its size.
  limits.on_size_refused(make_txn(1, 8), Instant{});
  EXPECT_EQ(limits.value_bytes(), 2000u);
}

// A transaction within the configured limits may be refused for another reason than its size. That must not
// lower the limits permanently.
TEST(EffectiveSizeLimits, ConfiguredLimitsAreRetriedAtIncreasingIntervals) {
  EffectiveSizeLimits limits(16, 8192);
  double seconds = 0;
  double previous_wait = 0;
  for (int i = 0; i < 8; ++i) {
    limits.on_size_refused(make_txn(10, 10), Instant{} + from_seconds(seconds));
    ASSERT_EQ(limits.txn_ops(), 5u);
    double waited = 0;
    for (; limits.txn_ops() == 5; waited += 1)
      limits.restore_if_due(Instant{} + from_seconds(seconds + waited));
    EXPECT_GE(waited, std::min(previous_wait, 600.0));
    EXPECT_GE(waited, 60);
    EXPECT_LE(waited, 605);
    previous_wait = waited;
    seconds += waited;
  }
  limits.on_size_refused(make_txn(1, 3998), Instant{} + from_seconds(seconds));
  EXPECT_EQ(limits.value_bytes(), 2000u);
  limits.restore_if_due(Instant{} + from_seconds(seconds + 601));
  EXPECT_EQ(limits.value_bytes(), 8192u);
}

}  // namespace
}  // namespace beaconsill::state_store
