#include "controller/timers.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

// Found when a controller was ended just as a timer of its had come due: the timer's work ran on what was
// freed.
TEST(OneShotTimer, DoesNotRunOnceItIsDestroyed) {
  asio::io_context io;
  int runs = 0;
  auto second = std::make_unique<controller::OneShotTimer>(io, [&] { runs += 10; });
  controller::OneShotTimer first(io, [&] {
    ++runs;
    second.reset();
  });
  // Both are due, and their handlers queued, when the first one runs.
  first.set(Duration(0));
  second->set(Duration(0));
  io.run();
  EXPECT_EQ(runs, 1);
}

TEST(OneShotTimer, RunsOnceForTheTimeThatWasSetLast) {
  asio::io_context io;
  int runs = 0;
  controller::OneShotTimer timer(io, [&] { ++runs; });
  EXPECT_FALSE(timer.pending());
  // The handler of the first time is queued when the second one is set.
  timer.set(Duration(0));
  timer.set(std::chrono::milliseconds(5));
  EXPECT_TRUE(timer.pending());
  io.run();
  EXPECT_EQ(runs, 1);
  EXPECT_FALSE(timer.pending());
}

TEST(OneShotTimer, MayBeSetAnewByItsWork) {
  asio::io_context io;
  int runs = 0;
  std::unique_ptr<controller::OneShotTimer> timer;
  timer = std::make_unique<controller::OneShotTimer>(io, [&] {
    EXPECT_FALSE(timer->pending());
    if (++runs < 3) timer->set(Duration(0));
  });
  timer->set(Duration(0));
  io.run();
  EXPECT_EQ(runs, 3);
}

TEST(OneShotTimer, DoesNotRunOnceStopped) {
  asio::io_context io;
  int runs = 0;
  controller::OneShotTimer timer(io, [&] { ++runs; });
  timer.set(Duration(0));
  timer.stop();
  timer.set(Duration(0));
  io.run();
  EXPECT_EQ(runs, 0);
}

TEST(PeriodicTimer, RunsAtOnceAndThenEveryPeriodUntilItIsStopped) {
  asio::io_context io;
  constexpr Duration kPeriod = std::chrono::milliseconds(5);
  int runs = 0;
  std::unique_ptr<controller::PeriodicTimer> timer;
  timer = std::make_unique<controller::PeriodicTimer>(io, [&] {
    if (++runs == 4) timer->stop();
  });
  auto begun = std::chrono::steady_clock::now();
  timer->start(kPeriod);
  EXPECT_EQ(runs, 1);
  io.run();
  EXPECT_EQ(runs, 4);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, 3 * kPeriod);
}

}  // namespace
}  // namespace beaconsill
