// Tests who gets a connection, and whose requests are refused, when the HTTP server reaches its limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback.h"
#include "net/http_server.h"

namespace beaconsill::net {
namespace {

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

// A server with few connections. Requests of the path "/user" count as requests of users.
struct HttpServerLimits : testing::Test {
  HttpServerLimits() { serve({kMaxConnections, kUserShare}); }
  ~HttpServerLimits() override {
    server->stop();
    io.poll();
  }
  void serve(ServerLimits limits) {
    if (server) server->stop();
    server = std::make_shared<HttpServer>(
        io, fakes::any_port(), limits,
        [](const Request& request) { return request.path.starts_with("/user"); },
        [](const Request&, const HttpServer::Reply& reply) {
          reply({200, "{}", std::nullopt, false});
        });
    server->start();
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
  asio::io_context io;
  std::shared_ptr<HttpServer> server;
};

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
