#include "controller/worker_connection_pool.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

using controller::WorkerConnectionPool;

constexpr const char* kAddress = "10.0.0.1:80";

Instant at_second(double seconds) {
  return Instant{} + from_seconds(seconds);
}

// A pool of two connections. None of them is opened, since no request is sent.
struct PoolFixture : testing::Test {
  // A request to the machine begins; returns the client that sends it.
  std::shared_ptr<net::HttpClient> acquire(const char* machine, double seconds,
                                           const std::string& address = kAddress) {
    return pool.acquire(MachineName(machine), address, *net::parse_endpoint(address), at_second(seconds))
        .client;
  }
  void release(const char* machine, const std::shared_ptr<net::HttpClient>& client) {
    pool.release(MachineName(machine), client);
  }
  // The same for a request that has ended.
  std::weak_ptr<net::HttpClient> use(const char* machine, double seconds) {
    auto client = acquire(machine, seconds);
    release(machine, client);
    return client;
  }

  asio::io_context io;
  WorkerConnectionPool pool{io, 2};
};

TEST_F(PoolFixture, KeepsTheConnectionToAMachine) {
  auto first = acquire("m1", 1);
  EXPECT_EQ(acquire("m1", 2), first);
}

TEST_F(PoolFixture, OpensANewConnectionForANewAddress) {
  auto first = acquire("m1", 1);
  auto second = acquire("m1", 2, "10.0.0.2:80");
  EXPECT_NE(second, first);
  EXPECT_EQ(acquire("m1", 3, "10.0.0.2:80"), second);
}

TEST_F(PoolFixture, ClosesTheLongestIdleConnectionBeyondTheLimit) {
  auto first = use("m1", 1);
  auto second = use("m2", 2);
  use("m1", 3);
  auto third = use("m3", 4);
  EXPECT_FALSE(first.expired());
  EXPECT_TRUE(second.expired());
  EXPECT_FALSE(third.expired());
}

// Otherwise the commands in flight would count as unanswered.
TEST_F(PoolFixture, NeverClosesAConnectionWithARequestInFlightForTheLimit) {
  std::weak_ptr<net::HttpClient> busy = acquire("m1", 1);
  auto idle = use("m2", 2);
  std::weak_ptr<net::HttpClient> third = acquire("m3", 3);
  EXPECT_FALSE(busy.expired());
  EXPECT_TRUE(idle.expired());
  // Nothing is idle: the pool grows beyond its limit for a while.
  std::weak_ptr<net::HttpClient> fourth = acquire("m4", 4);
  EXPECT_FALSE(busy.expired());
  EXPECT_FALSE(third.expired());
  EXPECT_FALSE(fourth.expired());
}

// A request that ends late, by a connection that was closed meanwhile, says nothing about the new one.
TEST_F(PoolFixture, AnEndedRequestOfAClosedConnectionDoesNotCount) {
  auto closed = acquire("m1", 1);
  pool.close(MachineName("m1"));
  std::weak_ptr<net::HttpClient> busy = acquire("m1", 2);
  release("m1", closed);
  use("m2", 3);
  use("m3", 4);
  EXPECT_FALSE(busy.expired());
}

TEST_F(PoolFixture, ClosesAllConnectionsWhenStopped) {
  auto idle = use("m1", 1);
  std::weak_ptr<net::HttpClient> busy = acquire("m2", 2);
  pool.stop();
  EXPECT_TRUE(idle.expired());
  EXPECT_TRUE(busy.expired());
}

}  // namespace
}  // namespace beaconsill
