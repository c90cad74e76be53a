// Tests the HTTP server, the HTTP client and the peer links over loopback on ephemeral ports.
#include <gtest/gtest.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <thread>

#include "fakes/loopback.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_link.h"

namespace beaconsill::net {
namespace {

using fakes::any_port;

// Runs the event loop until `done` returns true. Fails after ten seconds.
void run_until(asio::io_context& io, const std::function<bool()>& done) {
  ASSERT_TRUE(fakes::run_until(io, done, std::chrono::seconds(10)));
}

// A server that responds with the content of each request. Paths "/user" count as requests of users.
struct EchoServer {
  explicit EchoServer(ServerLimits limits = {}) {
    server = std::make_shared<HttpServer>(
        io, any_port(), limits, [](const Request& request) { return request.path == "/user"; },
        [this](Request request, HttpServer::Reply reply) {
          ++handled;
          reply({200, request.method + " " + request.path + "?" + request.query + " " + request.body,
                 std::nullopt, false});
        });
    server->start();
  }
  ~EchoServer() {
    server->stop();
    io.poll();
  }
  // Sends the bytes over a new connection. Returns everything received until the server closes the
  // connection.
  std::string send_bytes(const std::string& bytes, bool close_sending = false) {
    Tcp::socket socket(io);
    socket.connect(server->local());
    std::string received;
    bool finished = false;
    std::array<char, 4096> buffer;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(buffer), [&](std::error_code error, std::size_t size) {
        if (error) {
          finished = true;
          return;
        }
        received.append(buffer.data(), size);
        read();
      });
    };
    read();
    asio::write(socket, asio::buffer(bytes));
    if (close_sending) socket.shutdown(Tcp::socket::shutdown_send);
    run_until(io, [&] { return finished; });
    return received;
  }
  asio::io_context io;
  std::shared_ptr<HttpServer> server;
  int handled = 0;
};

std::size_t count_occurrences(const std::string& text, const std::string& pattern) {
  std::size_t found = 0;
  for (auto position = text.find(pattern); position != std::string::npos;
       position = text.find(pattern, position + 1))
    ++found;
  return found;
}

TEST(HttpServer, AnswersValidRequestsAndRejectsMalformedOnes) {
  struct Case {
    const char* description;
    std::string bytes;
    std::size_t ok_responses, error_responses;
  };
  const std::string get = "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string last = "GET /z HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  const Case cases[] = {
      {"two requests", get + last, 2, 0},
      {"pipelined requests", get + get + get + last, 4, 0},
      {"request with a body", "POST /p HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz" + last, 2, 0},
      {"request with a chunked body",
       "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n" + last, 2, 0},
      {"not HTTP", "hello\r\n\r\n", 0, 1},
      {"Content-Length is not a number", "POST /p HTTP/1.1\r\nContent-Length: x\r\n\r\n", 0, 1},
      {"conflicting Content-Length fields",
       "POST /p HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 0, 1},
      {"body too long", "POST /p HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x'), 0, 1},
      {"header too long", "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 0, 1},
      {"target too long", "GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n", 0, 1},
      {"valid request followed by a malformed one", get + "\x01\x02\r\n\r\n", 1, 1},
  };
  for (const auto& test_case : cases) {
    EchoServer echo;
    auto got = echo.send_bytes(test_case.bytes);
    EXPECT_EQ(count_occurrences(got, "HTTP/1.1 200"), test_case.ok_responses) << test_case.description << "\n"
                                                                              << got;
    EXPECT_EQ(count_occurrences(got, "HTTP/1.1 4"), test_case.error_responses)
        << test_case.description << "\n"
        << got;
  }
}

TEST(HttpServer, DoesNotHandleTruncatedRequests) {
  for (const char* bytes : {"", "GET / HT", "POST /p HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"}) {
    EchoServer echo;
    auto got = echo.send_bytes(bytes, true);
    EXPECT_EQ(count_occurrences(got, "HTTP/1.1 200"), 0u) << bytes;
    EXPECT_EQ(echo.handled, 0) << bytes;
    EXPECT_EQ(echo.server->connection_count(), 0u) << bytes;
  }
}

TEST(HttpServer, AtConnectionLimitClosesLongestIdleConnection) {
  ServerLimits limits;
  limits.max_connections = 2;
  EchoServer echo(limits);
  std::vector<std::shared_ptr<HttpClient>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_shared<HttpClient>(echo.io, echo.server->local(), 1));
    int status = 0;
    clients.back()->request("GET", "/w", "", std::chrono::seconds(5), [&](Result result) {
      ASSERT_TRUE(result);
      status = result->status;
    });
    run_until(echo.io, [&] { return status != 0; });
    EXPECT_EQ(status, 200);
    EXPECT_LE(echo.server->connection_count(), 2u);
  }
  for (auto& client : clients) client->stop();
}

TEST(HttpClient, ErrorDistinguishesUnsentRequestsFromUnansweredOnes) {
  asio::io_context io;
  // No server listens on this port, so the request can't be sent.
  fakes::ReservedPort unused_port(io);
  // This server accepts the connection but never responds, so the request is sent without a response.
  Tcp::acceptor silent(io, any_port());
  std::vector<Tcp::socket> open_sockets;
  silent.async_accept(
      [&](std::error_code, Tcp::socket socket) { open_sockets.push_back(std::move(socket)); });
  struct Case {
    Tcp::endpoint remote;
    RequestError error;
  };
  for (const auto& test_case : {Case{unused_port.endpoint(), RequestError::kNotSent},
                                Case{silent.local_endpoint(), RequestError::kNoResponse}}) {
    auto client = std::make_shared<HttpClient>(io, test_case.remote, 1);
    std::optional<Result> result;
    client->request("POST", "/x", "{}", std::chrono::milliseconds(200),
                    [&](Result received) { result = std::move(received); });
    run_until(io, [&] { return result.has_value(); });
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error(), test_case.error);
    client->stop();
  }
}

TEST(HttpClient, InvalidOrMissingResponseIsReportedAsNoResponse) {
  for (const char* bytes : {"garbage\r\n\r\n", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", ""}) {
    asio::io_context io;
    Tcp::acceptor acceptor(io, any_port());
    std::vector<Tcp::socket> open_sockets;
    acceptor.async_accept([&](std::error_code, Tcp::socket socket) {
      asio::write(socket, asio::buffer(std::string_view(bytes)));
      socket.shutdown(Tcp::socket::shutdown_send);
      open_sockets.push_back(std::move(socket));
    });
    auto client = std::make_shared<HttpClient>(io, acceptor.local_endpoint(), 1);
    std::optional<Result> result;
    client->request("POST", "/x", "{}", std::chrono::seconds(5),
                    [&](Result received) { result = std::move(received); });
    run_until(io, [&] { return result.has_value(); });
    ASSERT_FALSE(*result) << bytes;
    EXPECT_EQ(result->error(), RequestError::kNoResponse) << bytes;
    client->stop();
  }
}

TEST(HttpClient, RequestsAfterStopAreReportedAsNotSent) {
  asio::io_context io;
  auto client = std::make_shared<HttpClient>(io, any_port(), 1);
  client->stop();
  std::optional<Result> result;
  client->request("POST", "/x", "{}", std::chrono::seconds(5),
                  [&](Result received) { result = std::move(received); });
  EXPECT_FALSE(result);  // the callback must not be called before request() returns
  run_until(io, [&] { return result.has_value(); });
  ASSERT_FALSE(*result);
  EXPECT_EQ(result->error(), RequestError::kNotSent);
}

TEST(HttpClient, QueuedRequestsExpireAtTheirDeadlines) {
  asio::io_context io;
  Tcp::acceptor silent(io, any_port());
  auto client = std::make_shared<HttpClient>(io, silent.local_endpoint(), 1);
  int finished = 0;
  for (int i = 0; i < 3; ++i)
    client->request("GET", "/x", "", std::chrono::milliseconds(100 + 100 * i), [&](Result result) {
      EXPECT_FALSE(result);
      ++finished;
    });
  run_until(io, [&] { return finished == 3; });
  client->stop();
}

TEST(PeerLink, DeliversMessagesInOrderAndClosesOnlyConnectionsWithOversizedFrames) {
  asio::io_context io;
  std::vector<std::string> got;
  auto receiver = std::make_shared<PeerReceiver>(
      io, any_port(), 4, [&](std::string_view message) { got.emplace_back(message); });
  receiver->start();
  auto sender = std::make_shared<PeerSender>(io, receiver->local());
  sender->start();
  run_until(io, [&] { return sender->connected(); });
  for (int i = 0; i < 50; ++i) sender->send(std::string(static_cast<std::size_t>(i * 100), 'x'));
  run_until(io, [&] { return got.size() == 50; });
  EXPECT_EQ(got[49].size(), 4900u);
  // A frame header with a length above the limit closes that connection only.
  Tcp::socket bad(io);
  bad.connect(receiver->local());
  asio::write(bad, asio::buffer(std::string("\xff\xff\xff\xff")));
  bool closed = false;
  char byte = 0;
  bad.async_read_some(asio::buffer(&byte, 1),
                      [&](std::error_code error, std::size_t) { closed = bool(error); });
  run_until(io, [&] { return closed; });
  sender->send("message after the oversized frame");
  run_until(io, [&] { return got.size() == 51; });
  sender->stop();
  receiver->stop();
  io.poll();
}

TEST(ParseEndpoint, AcceptsIpAddressWithPortOnly) {
  for (const char* good : {"10.0.0.1:8080", "127.0.0.1:1"}) EXPECT_TRUE(parse_endpoint(good)) << good;
  for (const char* bad : {"", "10.0.0.1", "host:80", "10.0.0.1:", "10.0.0.1:99999", "10.0.0.1:8x"})
    EXPECT_FALSE(parse_endpoint(bad)) << bad;
}

}  // namespace
}  // namespace beaconsill::net
