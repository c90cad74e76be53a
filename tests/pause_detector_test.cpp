#include "controller/pause_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace beaconsill {
namespace {

TEST(PauseDetector, FindsAGapBetweenObservations) {
  struct Case {
    std::vector<double> observed;
    std::optional<double> pause_end;  // none: no pause
  };
  for (const auto& c : {Case{{5}, std::nullopt}, Case{{5, 5.1, 5.9}, std::nullopt}, Case{{5, 6.2}, 6.2},
                        Case{{5, 25, 25.1, 25.5}, 25}, Case{{5, 10, 11, 30, 30.4}, 30}}) {
    controller::PauseDetector detector;
    for (double time : c.observed) detector.observe(Instant{} + from_seconds(time));
    std::optional<Instant> expected;
    if (c.pause_end) expected = Instant{} + from_seconds(*c.pause_end);
    EXPECT_EQ(detector.last_pause_end(), expected) << c.observed.back();
  }
}

}  // namespace
}  // namespace beaconsill
