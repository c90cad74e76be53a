// Runs the cancellation barrier under seeded random fault schedules, and checks that the model detects seeded
// bugs.
#include "cancellation_barrier_model.h"

#include <gtest/gtest.h>

namespace beaconsill::model {
namespace {

constexpr std::uint64_t kSchedules = 150;

TEST(CancellationBarrierModel, ShardLeaderThatMissesAnAcknowledgedCancellationStopsAnsweringWorkersInTime) {
  int acknowledged = 0, unknown = 0, restarts = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    auto result = Model({seed}).run();
    EXPECT_EQ(result.violation, "") << "seed " << seed;
    acknowledged += result.acknowledged, unknown += result.acknowledged_while_unknown;
    restarts += result.restarts, refused += result.refused;
  }
  // The schedules must exercise acknowledgements, refusals, missing knowledge and restarts.
  EXPECT_GT(acknowledged, static_cast<int>(50 * kSchedules));
  EXPECT_GT(refused, static_cast<int>(10 * kSchedules));
  EXPECT_GT(unknown, static_cast<int>(kSchedules));
  EXPECT_GT(restarts, static_cast<int>(kSchedules));
}

TEST(CancellationBarrierModel, ConnectedControllersLearnCancellationsDuringStateStoreOutages) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto result = Model({seed, SeededBug::kNone, true}).run();
    EXPECT_EQ(result.violation, "") << "seed " << seed;
    EXPECT_LE(result.max_knowledge_age, 2000) << "seed " << seed;
    // The first query is refused, and the repeated one succeeds.
    EXPECT_LE(result.max_acknowledgement_delay, 3000) << "seed " << seed;
    EXPECT_GT(result.acknowledged, 50) << "seed " << seed;
  }
}

// Guards against a checker that never fails.
TEST(CancellationBarrierModel, CheckerDetectsEachSeededBug) {
  const std::pair<SeededBug, const char*> cases[] = {
      {SeededBug::kAcknowledgesImmediately, "acknowledges without consulting the barrier"},
      {SeededBug::kForgetsReadLeasesOnRestart, "forgets read leases on restart"},
      {SeededBug::kCountsReadLeaseFromReceipt, "counts a read lease from its receipt"},
      {SeededBug::kClaimsCompleteBeforeReady, "claims to be ready before it has read all records"},
      {SeededBug::kAcknowledgesWithoutApplying, "acknowledges cancellations without applying them"},
      {SeededBug::kClaimsPartialListComplete, "claims that a partial list is complete"},
  };
  for (auto [seeded_bug, what] : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 2 * kSchedules && !found; ++seed)
      found = !Model({seed, seeded_bug}).run().violation.empty();
    EXPECT_TRUE(found) << what;
  }
}

}  // namespace
}  // namespace beaconsill::model
