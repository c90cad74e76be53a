#include "controller/worker_connection_pool.h"

#include <gtest/gtest.h>

namespace beaconsill {
namespace {

using controller::WorkerConnectionPool;

constexpr const char* kAddress = "10.0.0.1:80";

Instant at_second(double seconds) {
  return Instant{} + from_seconds(seconds);
}

// A pool of at most two connections. No socket is opened because the tests send no requests.
struct WorkerConnectionPoolTest : testing::Test {
  // Starts a request to the machine and returns the client that would send it.
  std::shared_ptr<net::HttpClient> acquire(const char* machine, double seconds,
                                           const std::string& address = kAddress) {
    return pool.acquire(MachineName(machine), address, *net::parse_endpoint(address), at_second(seconds))
        .client;
  }
  void release(const char* machine, const std::shared_ptr<net::HttpClient>& client) {
    pool.release(MachineName(machine), client);
  }
  // Starts and ends a request to the machine. The returned pointer expires when the connection is closed.
  std::weak_ptr<net::HttpClient> complete_request(const char* machine, double seconds) {
    auto client = acquire(machine, seconds);
    release(machine, client);
    return client;
  }

  asio::io_context io;
  WorkerConnectionPool pool{io, 2};
};

TEST_F(WorkerConnectionPoolTest, ReusesTheConnectionToAMachine) {
  auto first = acquire("m1", 1);
  EXPECT_EQ(acquire("m1", 2), first);
}

TEST_F(WorkerConnectionPoolTest, OpensANewConnectionForANewAddress) {
  auto first = acquire("m1", 1);
  auto second = acquire("m1", 2, "10.0.0.2:80");
  EXPECT_NE(second, first);
  EXPECT_EQ(acquire("m1", 3, "10.0.0.2:80"), second);
}

TEST_F(WorkerConnectionPoolTest, ClosesTheLongestIdleConnectionWhenTheLimitIsExceeded) {
  auto first = complete_request("m1", 1);
  auto second = complete_request("m2", 2);
  complete_request("m1", 3);
  auto third = complete_request("m3", 4);
  EXPECT_FALSE(first.expired());
  EXPECT_TRUE(second.expired());
  EXPECT_FALSE(third.expired());
}

// Commands in flight on a closed connection would count as unanswered.
TEST_F(WorkerConnectionPoolTest, DoesNotCloseAConnectionWithARequestInFlightBecauseOfTheLimit) {
  std::weak_ptr<net::HttpClient> busy = acquire("m1", 1);
  auto idle = complete_request("m2", 2);
  std::weak_ptr<net::HttpClient> third = acquire("m3", 3);
  EXPECT_FALSE(busy.expired());
  EXPECT_TRUE(idle.expired());
  // No connection is idle, so the pool exceeds its limit temporarily.
  std::weak_ptr<net::HttpClient> fourth = acquire("m4", 4);
  EXPECT_FALSE(busy.expired());
  EXPECT_FALSE(third.expired());
  EXPECT_FALSE(fourth.expired());
}

// A request that ends after its connection was closed must not be counted as an ended request of the new
// connection to the same machine.
TEST_F(WorkerConnectionPoolTest, EndOfARequestOnAClosedConnectionDoesNotAffectTheNewConnection) {
  auto closed = acquire("m1", 1);
  pool.close(MachineName("m1"));
  std::weak_ptr<net::HttpClient> busy = acquire("m1", 2);
  release("m1", closed);
  complete_request("m2", 3);
  complete_request("m3", 4);
  EXPECT_FALSE(busy.expired());
}

TEST_F(WorkerConnectionPoolTest, ClosesAllConnectionsWhenStopped) {
  auto idle = complete_request("m1", 1);
  std::weak_ptr<net::HttpClient> busy = acquire("m2", 2);
  pool.stop();
  EXPECT_TRUE(idle.expired());
  EXPECT_TRUE(busy.expired());
}

}  // namespace
}  // namespace beaconsill
