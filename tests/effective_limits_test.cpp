// The limits that are in force, as refusals show them.
#include "state_store/effective_limits.h"

#include <gtest/gtest.h>

namespace beaconsill::state_store {
namespace {

TEST(EffectiveRateLimits, LowerOnesAreTakenOnceRefusalsShowThem) {
  auto at = [](double seconds) { return Instant{} + from_seconds(1000 + seconds); };
  EffectiveRateLimits limits({60, 20}, {60, 15});
  // A single refusal: several controllers asked at once.
  EXPECT_FALSE(limits.on_too_many(at(0)));
  EXPECT_FALSE(limits.on_too_many(at(30)));
  EXPECT_EQ(limits.get().write_rps, 20);
  EXPECT_TRUE(limits.on_too_many(at(32)));
  EXPECT_EQ(limits.get().write_rps, 15);
  EXPECT_FALSE(limits.on_time(at(60)));
  // Tried again after a minute, and lowered at the first refusal, for two minutes.
  EXPECT_TRUE(limits.on_time(at(93)));
  EXPECT_EQ(limits.get().write_rps, 20);
  EXPECT_TRUE(limits.on_too_many(at(95)));
  EXPECT_FALSE(limits.on_time(at(200)));
  EXPECT_TRUE(limits.on_time(at(216)));
  // Not refused any more: they stay.
  EXPECT_FALSE(limits.on_too_many(at(260)));
  EXPECT_EQ(limits.get().write_rps, 20);
}

protocol::Txn txn(std::size_t writes, std::size_t bytes) {
  protocol::Txn txn;
  for (std::size_t i = 0; i < writes; ++i)
    txn.writes.push_back({"k", protocol::Json(std::string(bytes, 'x')), {}});
  return txn;
}

TEST(EffectiveSizeLimits, ARefusedTransactionIsSplit) {
  EffectiveSizeLimits limits(16, 8192);
  limits.on_refused(txn(10, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 5u);
  limits.on_refused(txn(5, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 2u);
  limits.on_refused(txn(2, 10), Instant{});
  EXPECT_EQ(limits.txn_ops(), 1u);
  EXPECT_EQ(limits.value_bytes(), 8192u);
  limits.on_refused(txn(1, 3998), Instant{});
  EXPECT_EQ(limits.value_bytes(), 2000u);
  EXPECT_EQ(limits.txn_ops(), 16u);         // the larger transactions were refused for that value
  limits.on_refused(txn(1, 8), Instant{});  // so small a value isn't refused for its size
  EXPECT_EQ(limits.value_bytes(), 2000u);
}

// One that keeps to the settings may be refused for another reason: that must not lower the others for good.
TEST(EffectiveSizeLimits, TheSettingsAreTriedAgainEverMoreRarely) {
  EffectiveSizeLimits limits(16, 8192);
  double seconds = 0;
  double before = 0;
  for (int i = 0; i < 8; ++i) {
    limits.on_refused(txn(10, 10), Instant{} + from_seconds(seconds));
    ASSERT_EQ(limits.txn_ops(), 5u);
    double waited = 0;
    for (; limits.txn_ops() == 5; waited += 1) limits.on_time(Instant{} + from_seconds(seconds + waited));
    EXPECT_GE(waited, std::min(before, 600.0));
    EXPECT_GE(waited, 60);
    EXPECT_LE(waited, 605);
    before = waited;
    seconds += waited;
  }
  limits.on_refused(txn(1, 3998), Instant{} + from_seconds(seconds));
  EXPECT_EQ(limits.value_bytes(), 2000u);
  limits.on_time(Instant{} + from_seconds(seconds + 601));
  EXPECT_EQ(limits.value_bytes(), 8192u);
}

}  // namespace
}  // namespace beaconsill::state_store
