// Requests to the state store in front of its rate limits, and how long a response may take.
#include "state_store/request_queue.h"

#include <gtest/gtest.h>

#include "state_store/rate_limiter.h"
#include "state_store/response_delay.h"

namespace beaconsill::state_store {
namespace {

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

TEST(RateLimiter, KeepsToItsRate) {
  RateLimiter limiter(10, 1.0, at(0));
  int taken = 0;
  for (int ms = 0; ms < 10000; ms += 5)
    while (limiter.take(1, false, at(ms / 1000.0))) ++taken;
  EXPECT_NEAR(taken, 110, 1);  // a burst, then the rate
}

TEST(RateLimiter, UrgentOverdrawsByOneBurstOnly) {
  RateLimiter limiter(10, 1.0, at(0));
  int normal = 0, urgent = 0;
  while (limiter.take(1, false, at(0))) ++normal;
  while (limiter.take(1, true, at(0))) ++urgent;
  EXPECT_EQ(normal, 10);
  EXPECT_EQ(urgent, 10);
  EXPECT_FALSE(limiter.take(1, false, at(1.0)));  // the overdraft is paid back first
  EXPECT_TRUE(limiter.take(1, false, at(1.2)));
}

TEST(RateLimiter, MoreThanABurstWaitsForAFullBucketOnly) {
  RateLimiter limiter(5, 1.0, at(0));
  EXPECT_TRUE(limiter.take(8, false, at(0)));
  EXPECT_FALSE(limiter.take(8, false, at(1.0)));
  EXPECT_LE(limiter.ready_at(8, false, at(1.0)), at(1.7));
  EXPECT_TRUE(limiter.take(8, false, at(1.7)));
}

TEST(RateLimiter, RefusalEmptiesIt) {
  RateLimiter limiter(10, 1.0, at(0));
  limiter.drain(at(0));
  EXPECT_FALSE(limiter.take(1, false, at(0.05)));
  EXPECT_TRUE(limiter.take(1, false, at(0.15)));
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

TEST(RequestQueue, SendsTheMostUrgentFirstAndReadsBesideChanges) {
  struct Case {
    const char* what;
    double request_rate, write_rate;
    std::vector<QueuedRequest> queued;
    std::vector<std::string> sent;
    bool waits;
  };
  using Targets = std::vector<std::string>;
  const Case cases[] = {
      {"nothing", 10, 10, {}, {}, false},
      {"in order within an urgency", 10, 10, {{"a", 1}, {"b", 1}}, {"a", "b"}, false},
      {"reads before changes of the same urgency",
       10,
       10,
       {{"change", 1}, {"read", 0}},
       {"read", "change"},
       false},
      {"the more urgent first",
       10,
       10,
       {{"garbage", 1, Urgency::kGarbageCollection}, {"user", 1}, {"election", 1, Urgency::kElection}},
       {"election", "user", "garbage"},
       false},
      {"a large change holds up smaller ones", 10, 2, {{"a", 1}, {"b", 2}, {"c", 1}}, {"a"}, true},
      {"reads of less urgency don't wait for changes",
       10,
       2,
       {{"a", 2}, {"b", 1}, {"read", 0, Urgency::kBackground}},
       {"a", "read"},
       true},
      {"out of requests: nothing else goes",
       1,
       10,
       {{"a", 0}, {"b", 0}, {"change", 1, Urgency::kBackground}},
       {"a"},
       true},
      {"an election overdraws by a burst",
       1,
       10,
       {{"a", 0, Urgency::kElection}, {"b", 0, Urgency::kElection}, {"c", 0, Urgency::kElection}},
       {"a", "b"},
       true},
  };
  for (const auto& test_case : cases) {
    RequestQueue queue(test_case.request_rate, test_case.write_rate, at(0));
    for (const auto& queued : test_case.queued)
      queue.push(request(queued.target, queued.writes), queued.urgency, at(0));
    const auto dispatched = queue.dispatch(at(0));
    EXPECT_EQ(targets(dispatched.ready), test_case.sent) << test_case.what;
    EXPECT_TRUE(dispatched.expired.empty()) << test_case.what;
    EXPECT_EQ(dispatched.next.has_value(), test_case.waits) << test_case.what;
    if (dispatched.next) {
      EXPECT_GT(*dispatched.next, at(0)) << test_case.what;
      EXPECT_LE(*dispatched.next, at(2.5)) << test_case.what;
    }
    EXPECT_EQ(queue.take_all().size(), test_case.queued.size() - test_case.sent.size()) << test_case.what;
    EXPECT_EQ(targets(queue.dispatch(at(100)).ready), Targets{}) << test_case.what;
  }
}

TEST(RequestQueue, WhatWaitsTooLongExpiresAndIsNeverSent) {
  RequestQueue queue(10, 1, at(0));
  for (const char* target : {"a", "b", "c"})
    queue.push(request(target, 1, std::chrono::milliseconds(600)), Urgency::kUserRequest, at(0));
  auto dispatched = queue.dispatch(at(0));
  EXPECT_EQ(targets(dispatched.ready), std::vector<std::string>{"a"});
  EXPECT_EQ(dispatched.next, at(0) + std::chrono::milliseconds(600));
  dispatched = queue.dispatch(*dispatched.next);
  EXPECT_TRUE(dispatched.ready.empty());
  EXPECT_EQ(targets(dispatched.expired), (std::vector<std::string>{"b", "c"}));
  EXPECT_FALSE(dispatched.next);
}

TEST(RequestQueue, KnowsHowLongChangesWaitAndHowManyMayBeAdded) {
  RequestQueue queue(100, 10, at(0));
  EXPECT_EQ(queue.spare_writes(at(0)), 5u);
  EXPECT_EQ(queue.write_wait(Urgency::kGarbageCollection), Duration(0));
  queue.push(request("a", 2), Urgency::kElection, at(0));
  queue.push(request("b", 3), Urgency::kBackground, at(0));
  EXPECT_EQ(queue.spare_writes(at(0)), 0u);
  EXPECT_EQ(queue.write_wait(Urgency::kUserRequest), from_seconds(0.2));
  EXPECT_EQ(queue.write_wait(Urgency::kBackground), from_seconds(0.5));
  // After a refusal for too many requests nothing is sent until the limiters have refilled.
  queue.on_too_many(at(0));
  const auto dispatched = queue.dispatch(at(0));
  EXPECT_EQ(targets(dispatched.ready), std::vector<std::string>{"a"});  // urgent: overdraws
  EXPECT_TRUE(dispatched.next);
}

TEST(ResponseDelay, TheTimeoutFollowsTheDelayWithinItsBounds) {
  struct Case {
    const char* what;
    std::vector<int> delays_ms;
    int least_ms, most_ms;
  };
  const Case cases[] = {
      {"no response yet", {}, 100, 100},
      {"fast ones: the least", {2, 3, 2}, 100, 100},
      {"the first one: three times its delay", {50}, 150, 150},
      {"steady ones: closer and closer to their delay", {120, 120, 120, 120, 120, 120, 120, 120}, 120, 170},
      {"one slow response of many raises it", {20, 20, 20, 20, 20, 20, 200}, 200, 300},
      {"slow ones: the most", {900, 900}, 400, 400},
  };
  for (const auto& test_case : cases) {
    ResponseDelay delay;
    for (int ms : test_case.delays_ms) delay.add_sample(std::chrono::milliseconds(ms));
    EXPECT_GE(delay.timeout(), std::chrono::milliseconds(test_case.least_ms)) << test_case.what;
    EXPECT_LE(delay.timeout(), std::chrono::milliseconds(test_case.most_ms)) << test_case.what;
  }
}

}  // namespace
}  // namespace beaconsill::state_store
