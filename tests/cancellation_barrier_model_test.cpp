// The cancellation barrier under seeded schedules of faults, and that the model finds mistakes in it.
#include "cancellation_barrier_model.h"

#include <gtest/gtest.h>

namespace beaconsill::model {
namespace {

constexpr std::uint64_t kSchedules = 150;

TEST(CancellationBarrierModel, NoShardLeaderAnswersForTooLongAfterAnAcknowledgementItDoesNotKnow) {
  int acknowledged = 0, unknown = 0, restarts = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    auto result = Model({seed}).run();
    EXPECT_EQ(result.broken, "") << "seed " << seed;
    acknowledged += result.acknowledged, unknown += result.acknowledged_unknown;
    restarts += result.restarts, refused += result.refused;
  }
  // The schedules do what they are for.
  EXPECT_GT(acknowledged, static_cast<int>(50 * kSchedules));
  EXPECT_GT(refused, static_cast<int>(10 * kSchedules));
  EXPECT_GT(unknown, static_cast<int>(kSchedules));
  EXPECT_GT(restarts, static_cast<int>(kSchedules));
}

TEST(CancellationBarrierModel, ConnectedControllersKnowCancellationsWhateverTheStateStoreDoes) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto result = Model({seed, Mistake::kNone, true}).run();
    EXPECT_EQ(result.broken, "") << "seed " << seed;
    EXPECT_LE(result.oldest_knowledge, 2000) << "seed " << seed;
    // The first request is refused, and its repeat succeeds.
    EXPECT_LE(result.slowest_acknowledgement, 3000) << "seed " << seed;
    EXPECT_GT(result.acknowledged, 50) << "seed " << seed;
  }
}

// A checker that can't fail shows nothing.
TEST(CancellationBarrierModel, TheCheckerFindsSeededMistakes) {
  const std::pair<Mistake, const char*> cases[] = {
      {Mistake::kAcknowledgedAtOnce, "no acknowledgement"},
      {Mistake::kReadLeaseForgotten, "read lease forgotten at a restart"},
      {Mistake::kCountedFromReceipt, "read lease counted from receipt"},
      {Mistake::kNotReadyCountedAsReady, "not ready counted as ready"},
      {Mistake::kAcknowledgedUnread, "acknowledged without reading"},
      {Mistake::kAlwaysComplete, "some taken for all"},
  };
  for (auto [mistake, what] : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 2 * kSchedules && !found; ++seed)
      found = !Model({seed, mistake}).run().broken.empty();
    EXPECT_TRUE(found) << what;
  }
}

}  // namespace
}  // namespace beaconsill::model
