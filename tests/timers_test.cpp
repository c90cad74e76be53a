#include "controller/timers.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

// Guards against a use after free: a controller was stopped just as one of its timers expired, and the
// timer's callback accessed the destroyed component.
TEST(OneShotTimer, DoesNotRunItsCallbackAfterItIsDestroyed) {
  asio::io_context io;
  int runs = 0;
  auto second = std::make_unique<controller::OneShotTimer>(io, [&] { runs += 10; });
  controller::OneShotTimer first(io, [&] {
    ++runs;
    second.reset();
  });
  // Both timers have expired and their handlers are queued when the first handler runs.
  first.set(Duration(0));
  second->set(Duration(0));
  io.run();
  EXPECT_EQ(runs, 1);
}

TEST(OneShotTimer, RunsItsCallbackOnceForTheDelayThatWasSetLast) {
  asio::io_context io;
  int runs = 0;
  controller::OneShotTimer timer(io, [&] { ++runs; });
  EXPECT_FALSE(timer.pending());
  // The handler of the first delay is already queued when the second delay is set.
  timer.set(Duration(0));
  timer.set(std::chrono::milliseconds(5));
  EXPECT_TRUE(timer.pending());
  io.run();
  EXPECT_EQ(runs, 1);
  EXPECT_FALSE(timer.pending());
}

TEST(OneShotTimer, CanBeSetAgainByItsCallback) {
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

TEST(OneShotTimer, DoesNotRunItsCallbackAfterItIsStopped) {
  asio::io_context io;
  int runs = 0;
  controller::OneShotTimer timer(io, [&] { ++runs; });
  timer.set(Duration(0));
  timer.stop();
  timer.set(Duration(0));
  io.run();
  EXPECT_EQ(runs, 0);
}

TEST(PeriodicTimer, RunsItsCallbackImmediatelyAndThenEveryPeriodUntilItIsStopped) {
  asio::io_context io;
  constexpr Duration kPeriod = std::chrono::milliseconds(5);
  int runs = 0;
  std::unique_ptr<controller::PeriodicTimer> timer;
  timer = std::make_unique<controller::PeriodicTimer>(io, [&] {
    if (++runs == 4) timer->stop();
  });
  auto started_at = std::chrono::steady_clock::now();
  timer->start(kPeriod);
  EXPECT_EQ(runs, 1);
  io.run();
  EXPECT_EQ(runs, 4);
  EXPECT_GE(std::chrono::steady_clock::now() - started_at, 3 * kPeriod);
}

}  // namespace
}  // namespace beaconsill
