// Tests who gets a connection, and whose requests are refused, when the HTTP server reaches its limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/loopback.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace beaconsill::net {
namespace {

using Clients = std::vector<std::shared_ptr<HttpClient>>;

constexpr std::size_t kMaxConnections = 8;
constexpr std::size_t kUserShare = 4;
constexpr Duration kTimeout = std::chrono::seconds(10);

// A client that sends bytes and reports what it receives. Unlike HttpClient, it opens a single connection.
class RawClient {
 public:
  RawClient(asio::io_context& io, const Tcp::endpoint& server)
      : io_(io), connection_(std::make_shared<Connection>(io)) {
    connection_->socket.connect(server);
    read(connection_);
  }
  ~RawClient() {
    std::error_code ignored;
    connection_->socket.close(ignored);
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void send(const std::string& bytes) {
    std::error_code ignored;  // the server may have closed the connection
    asio::write(connection_->socket, asio::buffer(bytes), ignored);
  }
  // Sends a request and returns the status of the response, or 0 if the connection was closed instead.
  int get(const std::string& path) {
    auto& received = connection_->received;
    received.clear();
    send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    fakes::run_until(
        io_, [&] { return closed() || received.find("\r\n\r\n") != std::string::npos; }, kTimeout);
    return received.starts_with("HTTP/1.1 ") ? std::stoi(received.substr(9, 3)) : 0;
  }
  bool closed() const { return connection_->closed; }

 private:
  // Shared with the handler of the pending read, which may run after the client is destroyed.
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::array<char, 1024> buffer{};
    std::string received;
    bool closed = false;
  };
  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [connection](std::error_code error, std::size_t size) {
                                         connection->closed = static_cast<bool>(error);
                                         if (connection->closed) return;
                                         connection->received.append(connection->buffer.data(), size);
                                         read(connection);
                                       });
  }

  asio::io_context& io_;
  std::shared_ptr<Connection> connection_;
};

using RawClients = std::vector<std::unique_ptr<RawClient>>;

// A server with few connections. Requests of the paths "/user" and "/user/held" count as requests of users;
// the latter get no response before release().
struct HttpServerLimits : testing::Test {
  HttpServerLimits() { serve({kMaxConnections, kUserShare}); }
  ~HttpServerLimits() override {
    for (auto& client : clients) client->stop();
    server->stop();
    io.poll();
  }
  void serve(ServerLimits limits) {
    if (server) server->stop();
    server = std::make_shared<HttpServer>(
        io, fakes::any_port(), limits,
        [](const Request& request) { return request.path.starts_with("/user"); },
        [this](const Request& request, HttpServer::Reply reply) {
          if (request.path == "/user/held") return held.push_back(std::move(reply));
          reply({200, "{}", std::nullopt, false});
        });
    server->start();
  }
  // Sends a request, which opens a connection if the client has none. Returns the response.
  Response get(const std::shared_ptr<HttpClient>& client, const char* path) {
    std::optional<Result> result;
    client->request("GET", path, "", kTimeout, [&](Result received) { result = std::move(received); });
    fakes::run_until(
        io, [&] { return result.has_value(); }, kTimeout + std::chrono::seconds(1));
    return result && *result ? **result : Response{0, "", std::nullopt, false};
  }
  std::shared_ptr<HttpClient> new_client() {
    clients.push_back(std::make_shared<HttpClient>(io, server->local(), 1));
    return clients.back();
  }
  Clients new_clients(std::size_t count) {
    Clients created;
    for (std::size_t i = 0; i < count; ++i) created.push_back(new_client());
    return created;
  }
  // Returns connections over which one request was answered.
  RawClients connect_and_get(std::size_t count, const char* path) {
    RawClients connected;
    for (std::size_t i = 0; i < count; ++i) {
      connected.push_back(std::make_unique<RawClient>(io, server->local()));
      EXPECT_EQ(connected.back()->get(path), 200);
    }
    return connected;
  }
  static std::size_t count_open(const RawClients& connected) {
    return static_cast<std::size_t>(std::count_if(connected.begin(), connected.end(),
                                                  [](const auto& client) { return !client->closed(); }));
  }
  // Sends a request of a user that gets no response before release().
  void hold_user_request() {
    const auto already_held = held.size();
    new_client()->request("GET", "/user/held", "", kTimeout, [](const Result&) {});
    EXPECT_TRUE(fakes::run_until(
        io, [&] { return held.size() > already_held; }, kTimeout));
  }
  void release() {
    for (auto& reply : std::exchange(held, {})) reply({200, "{}", std::nullopt, false});
  }

  asio::io_context io;
  std::shared_ptr<HttpServer> server;
  std::vector<HttpServer::Reply> held;
  Clients clients;
};

// review/6: users poll every few seconds over connections that stay open. Those who connected first kept all
// places for users, and the others were refused for as long as these polled.
TEST_F(HttpServerLimits, IdleConnectionsOfUsersDoNotKeepOtherUsersOut) {
  for (std::size_t users : {kUserShare + 1, kMaxConnections, 2 * kMaxConnections}) {
    const auto polling = new_clients(users);
    for (int round = 0; round < 3; ++round)
      for (const auto& user : polling) EXPECT_EQ(get(user, "/user").status, 200) << users;
    EXPECT_LE(server->connection_count(), kMaxConnections);
  }
}

// Work for users is limited by their requests in progress. Workers and health checks are still served.
TEST_F(HttpServerLimits, RefusesUserRequestsBeyondTheShareInProgressWithRetryAfter) {
  for (std::size_t i = 0; i < kUserShare; ++i) hold_user_request();
  const auto refused = new_client();
  const auto response = get(refused, "/user");
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.retry_after_s, 1);
  EXPECT_EQ(get(new_client(), "/worker").status, 200);
  EXPECT_EQ(get(new_client(), "/up").status, 200);
  EXPECT_EQ(get(refused, "/user").status, 503);
  release();
  EXPECT_EQ(get(refused, "/user").status, 200);
}

// A user who disconnects while the request is in progress must not count forever.
TEST_F(HttpServerLimits, RequestsOfClosedConnectionsNoLongerCount) {
  for (std::size_t i = 0; i < kUserShare; ++i) hold_user_request();
  for (const auto& client : clients) client->stop();
  release();
  EXPECT_EQ(get(new_client(), "/user").status, 200);
}

// The load balancer prefers the controller with the fewest open connections. One that closes the connections
// of those that it refuses appears to have few, and would be sent all new users.
TEST_F(HttpServerLimits, RefusedUsersKeepTheirConnection) {
  for (std::size_t i = 0; i < kUserShare; ++i) hold_user_request();
  RawClient refused(io, server->local());
  EXPECT_EQ(refused.get("/user"), 503);
  release();
  EXPECT_EQ(refused.get("/user"), 200);
  EXPECT_FALSE(refused.closed());
}

// A flood of new connections of users closed the connections of workers, which were idle between two
// heartbeats, one after the other.
TEST_F(HttpServerLimits, FloodOfUsersLeavesWorkersTheirConnections) {
  const auto workers = connect_and_get(kMaxConnections - kUserShare, "/worker");
  connect_and_get(5 * kMaxConnections, "/user");
  EXPECT_EQ(count_open(workers), workers.size());
}

TEST_F(HttpServerLimits, FloodOfWorkersLeavesUsersTheirConnections) {
  // The connections of workers are added as users' until their first request.
  const auto users = connect_and_get(kUserShare - 1, "/user");
  connect_and_get(5 * kMaxConnections, "/worker");
  EXPECT_EQ(count_open(users), users.size());
}

TEST_F(HttpServerLimits, WorkersGetBackTheirShareFromUsers) {
  const auto users = connect_and_get(kMaxConnections, "/user");
  EXPECT_EQ(count_open(users), kMaxConnections);
  const auto workers = connect_and_get(kMaxConnections - kUserShare, "/worker");
  EXPECT_EQ(count_open(workers), workers.size());
  EXPECT_EQ(count_open(users), kUserShare);
}

// Connections over which no complete request arrives kept everyone else out until they timed out.
TEST_F(HttpServerLimits, UnfinishedRequestsDoNotKeepOthersOut) {
  for (const char* bytes :
       {"", "GET /user HTTP/1.1\r\nHost:", "POST /worker HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"}) {
    serve({kMaxConnections, kUserShare});
    RawClients unfinished;
    for (std::size_t i = 0; i < kMaxConnections; ++i) {
      unfinished.push_back(std::make_unique<RawClient>(io, server->local()));
      unfinished.back()->send(bytes);
      io.run_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(get(new_client(), "/worker").status, 200) << bytes;
    EXPECT_EQ(get(new_client(), "/user").status, 200) << bytes;
    EXPECT_EQ(get(new_client(), "/up").status, 200) << bytes;
  }
}

TEST_F(HttpServerLimits, AtConnectionLimitClosesLongestIdleConnection) {
  serve({2, 2});
  RawClient first(io, server->local());
  EXPECT_EQ(first.get("/user"), 200);
  RawClient second(io, server->local());
  EXPECT_EQ(second.get("/user"), 200);
  EXPECT_EQ(first.get("/user"), 200);
  RawClient third(io, server->local());
  EXPECT_EQ(third.get("/user"), 200);
  EXPECT_TRUE(second.closed());
  EXPECT_FALSE(first.closed());
  EXPECT_LE(server->connection_count(), 2u);
}

}  // namespace
}  // namespace beaconsill::net
