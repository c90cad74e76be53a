#include "controller/rate_limit_share.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

TEST(RateLimitShare, DividesTheLimitAmongTheLiveControllers) {
  struct Case {
    controller::LiveControllers live;
    double share;
  };
  const Case cases[] = {
      {{3, true, true}, 0.6},  {{3, false, true}, 0.2},     {{3, false, false}, 1.0 / 3},
      {{2, false, true}, 0.4}, {{2, false, false}, 0.5},    {{1, false, false}, 1},
      {{1, true, true}, 1},    {{1, false, true}, 1},       {{3, true, false}, 0.6},
      {{2, true, true}, 0.6},  {{5, false, true}, 0.4 / 4},
  };
  for (const auto& c : cases)
    EXPECT_NEAR(controller::rate_limit_share(c.live, 0.6), c.share, 1e-9)
        << c.live.alive_count << c.live.is_leader << c.live.has_leader;
}

}  // namespace
}  // namespace beaconsill
