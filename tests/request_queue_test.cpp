// Tests of the queue of requests to the state store, its rate limiters, and the estimated response timeout.
#include "state_store/request_queue.h"

#include <gtest/gtest.h>

#include "state_store/rate_limiter.h"
#include "state_store/response_delay.h"

namespace beaconsill::state_store {
namespace {

Instant at_seconds(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

TEST(RateLimiter, AllowsOneBurstAndThenTheConfiguredRate) {
  RateLimiter limiter(10, 1.0, at_seconds(0));
  int tokens_taken = 0;
  for (int ms = 0; ms < 10000; ms += 5)
    while (limiter.take(1, false, at_seconds(ms / 1000.0))) ++tokens_taken;
  EXPECT_NEAR(tokens_taken, 110, 1);  // a burst of 10, then 10 per second for 10 s
}

TEST(RateLimiter, UrgentCallersOverdrawByAtMostOneBurst) {
  RateLimiter limiter(10, 1.0, at_seconds(0));
  int normal = 0, urgent = 0;
  while (limiter.take(1, false, at_seconds(0))) ++normal;
  while (limiter.take(1, true, at_seconds(0))) ++urgent;
  EXPECT_EQ(normal, 10);
  EXPECT_EQ(urgent, 10);
  EXPECT_FALSE(limiter.take(1, false, at_seconds(1.0)));  // the refill covers the overdraft first
  EXPECT_TRUE(limiter.take(1, false, at_seconds(1.2)));
}

TEST(RateLimiter, ARequestLargerThanTheCapacityWaitsForAFullBucket) {
  RateLimiter limiter(5, 1.0, at_seconds(0));
  EXPECT_TRUE(limiter.take(8, false, at_seconds(0)));
  EXPECT_FALSE(limiter.take(8, false, at_seconds(1.0)));
  EXPECT_LE(limiter.ready_at(8, false, at_seconds(1.0)), at_seconds(1.7));
  EXPECT_TRUE(limiter.take(8, false, at_seconds(1.7)));
}

TEST(RateLimiter, DrainRemovesAllTokens) {
  RateLimiter limiter(10, 1.0, at_seconds(0));
  limiter.drain(at_seconds(0));
  EXPECT_FALSE(limiter.take(1, false, at_seconds(0.05)));
  EXPECT_TRUE(limiter.take(1, false, at_seconds(0.15)));
}

StoreRequest request(std::string target, std::size_t writes, Duration queue_wait = kQueueWait) {
  StoreRequest request;
  request.target = std::move(target);
  request.writes = writes;
  request.queue_wait = queue_wait;
  return request;
}

std::vector<std::string> targets(const std::vector<StoreRequest>& requests) {
  std::vector<std::string> names;
  for (const auto& sent : requests) names.push_back(sent.target);
  return names;
}

struct QueuedRequest {
  std::string target;
  std::size_t writes = 0;
  Urgency urgency = Urgency::kUserRequest;
};

TEST(RequestQueue, SendsTheMostUrgentFirstAndReadsIndependentlyOfTheWriteRateLimit) {
  struct Case {
    const char* description;
    double request_rate, write_rate;
    std::vector<QueuedRequest> queued;
    std::vector<std::string> sent;
    bool some_remain_queued;
  };
  using Targets = std::vector<std::string>;
  const Case cases[] = {
      {"empty queue", 10, 10, {}, {}, false},
      {"in order of arrival within an urgency", 10, 10, {{"a", 1}, {"b", 1}}, {"a", "b"}, false},
      {"reads before transactions of the same urgency",
       10,
       10,
       {{"txn", 1}, {"read", 0}},
       {"read", "txn"},
       false},
      {"more urgent requests first",
       10,
       10,
       {{"garbage", 1, Urgency::kGarbageCollection}, {"user", 1}, {"election", 1, Urgency::kElection}},
       {"election", "user", "garbage"},
       false},
      {"a large transaction delays the smaller ones behind it",
       10,
       2,
       {{"a", 1}, {"b", 2}, {"c", 1}},
       {"a"},
       true},
      {"less urgent reads don't wait for transactions",
       10,
       2,
       {{"a", 2}, {"b", 1}, {"read", 0, Urgency::kBackground}},
       {"a", "read"},
       true},
      {"request rate limit used up: nothing else is sent",
       1,
       10,
       {{"a", 0}, {"b", 0}, {"txn", 1, Urgency::kBackground}},
       {"a"},
       true},
      {"election requests overdraw by one burst",
       1,
       10,
       {{"a", 0, Urgency::kElection}, {"b", 0, Urgency::kElection}, {"c", 0, Urgency::kElection}},
       {"a", "b"},
       true},
  };
  for (const auto& test_case : cases) {
    RequestQueue queue(test_case.request_rate, test_case.write_rate, at_seconds(0));
    for (const auto& queued : test_case.queued)
      queue.push(request(queued.target, queued.writes), queued.urgency, at_seconds(0));
    const auto dispatched = queue.dispatch(at_seconds(0));
    EXPECT_EQ(targets(dispatched.ready), test_case.sent) << test_case.description;
    EXPECT_TRUE(dispatched.expired.empty()) << test_case.description;
    EXPECT_EQ(dispatched.next_dispatch.has_value(), test_case.some_remain_queued) << test_case.description;
    if (dispatched.next_dispatch) {
      EXPECT_GT(*dispatched.next_dispatch, at_seconds(0)) << test_case.description;
      EXPECT_LE(*dispatched.next_dispatch, at_seconds(2.5)) << test_case.description;
    }
    EXPECT_EQ(queue.take_all().size(), test_case.queued.size() - test_case.sent.size())
        << test_case.description;
    EXPECT_EQ(targets(queue.dispatch(at_seconds(100)).ready), Targets{}) << test_case.description;
  }
}

TEST(RequestQueue, RequestsThatExceedTheirQueueWaitExpireAndAreNeverSent) {
  RequestQueue queue(10, 1, at_seconds(0));
  for (const char* target : {"a", "b", "c"})
    queue.push(request(target, 1, std::chrono::milliseconds(600)), Urgency::kUserRequest, at_seconds(0));
  auto dispatched = queue.dispatch(at_seconds(0));
  EXPECT_EQ(targets(dispatched.ready), std::vector<std::string>{"a"});
  EXPECT_EQ(dispatched.next_dispatch, at_seconds(0) + std::chrono::milliseconds(600));
  dispatched = queue.dispatch(*dispatched.next_dispatch);
  EXPECT_TRUE(dispatched.ready.empty());
  EXPECT_EQ(targets(dispatched.expired), (std::vector<std::string>{"b", "c"}));
  EXPECT_FALSE(dispatched.next_dispatch);
}

TEST(RequestQueue, ReportsTheWriteWaitAndTheSpareWrites) {
  RequestQueue queue(100, 10, at_seconds(0));
  EXPECT_EQ(queue.spare_writes(at_seconds(0)), 5u);
  EXPECT_EQ(queue.write_wait(Urgency::kGarbageCollection), Duration(0));
  queue.push(request("a", 2), Urgency::kElection, at_seconds(0));
  queue.push(request("b", 3), Urgency::kBackground, at_seconds(0));
  EXPECT_EQ(queue.spare_writes(at_seconds(0)), 0u);
  EXPECT_EQ(queue.write_wait(Urgency::kUserRequest), from_seconds(0.2));
  EXPECT_EQ(queue.write_wait(Urgency::kBackground), from_seconds(0.5));
  // After a 429 response only election requests are sent until the limiters have refilled.
  queue.on_rate_limited(at_seconds(0));
  const auto dispatched = queue.dispatch(at_seconds(0));
  EXPECT_EQ(targets(dispatched.ready), std::vector<std::string>{"a"});  // an election request may overdraw
  EXPECT_TRUE(dispatched.next_dispatch);
}

TEST(ResponseDelay, TimeoutFollowsTheMeasuredDelaysBetween100And400Ms) {
  struct Case {
    const char* description;
    std::vector<int> delays_ms;
    int min_timeout_ms, max_timeout_ms;
  };
  const Case cases[] = {
      {"no response yet", {}, 100, 100},
      {"fast responses: minimum timeout", {2, 3, 2}, 100, 100},
      {"one response: three times its delay", {50}, 150, 150},
      {"constant delay: the timeout approaches the delay",
       {120, 120, 120, 120, 120, 120, 120, 120},
       120,
       170},
      {"one slow response among fast ones raises the timeout", {20, 20, 20, 20, 20, 20, 200}, 200, 300},
      {"slow responses: maximum timeout", {900, 900}, 400, 400},
  };
  for (const auto& test_case : cases) {
    ResponseDelay delay;
    for (int ms : test_case.delays_ms) delay.add_sample(std::chrono::milliseconds(ms));
    EXPECT_GE(delay.timeout(), std::chrono::milliseconds(test_case.min_timeout_ms)) << test_case.description;
    EXPECT_LE(delay.timeout(), std::chrono::milliseconds(test_case.max_timeout_ms)) << test_case.description;
  }
}

}  // namespace
}  // namespace beaconsill::state_store
