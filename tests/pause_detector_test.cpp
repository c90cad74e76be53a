#include "controller/pause_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace beaconsill {
namespace {

TEST(PauseDetector, ReportsTheEndOfTheLastGapOfMoreThanOneSecondBetweenObservations) {
  struct Case {
    std::vector<double> observed_seconds;
    std::optional<double> pause_end_seconds;  // std::nullopt if no pause is expected
  };
  for (const auto& test_case :
       {Case{{5}, std::nullopt}, Case{{5, 5.1, 5.9}, std::nullopt}, Case{{5, 6.2}, 6.2},
        Case{{5, 25, 25.1, 25.5}, 25}, Case{{5, 10, 11, 30, 30.4}, 30}}) {
    controller::PauseDetector detector;
    for (double seconds : test_case.observed_seconds) detector.observe(Instant{} + from_seconds(seconds));
    std::optional<Instant> expected;
    if (test_case.pause_end_seconds) expected = Instant{} + from_seconds(*test_case.pause_end_seconds);
    EXPECT_EQ(detector.last_pause_end(), expected) << test_case.observed_seconds.back();
  }
}

}  // namespace
}  // namespace beaconsill
