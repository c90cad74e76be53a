// Tests the HTTP parser that the server and the client share.
#include "net/message_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace beaconsill::net {
namespace {

using Status = MessageParser::Status;

// Collects the parts of the message, and rejects bodies larger than `max_body_bytes`.
struct CollectingSink : MessageParser::Sink {
  bool on_target(std::string_view text) override {
    target.append(text);
    return true;
  }
  bool on_header_field(std::string_view text) override {
    headers.append(text);
    return true;
  }
  bool on_header_value(std::string_view text) override {
    headers.append(text);
    return true;
  }
  bool on_body(std::string_view text) override {
    body.append(text);
    return body.size() <= max_body_bytes;
  }

  std::string target, headers, body;
  std::size_t max_body_bytes = 10;
};

TEST(MessageParser, ResultDoesNotDependOnHowBytesAreSplit) {
  struct Case {
    const char* description;
    std::string bytes;
    Status status;
    std::string target, body;
    bool keep_alive;
  };
  const Case cases[] = {
      {"request without a body", "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n", Status::kComplete, "/a?b", "", true},
      {"request with a body", "POST /p HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz", Status::kComplete, "/p",
       "xyz", true},
      {"request that closes the connection", "GET /z HTTP/1.1\r\nConnection: close\r\n\r\n",
       Status::kComplete, "/z", "", false},
      {"truncated request", "POST /p HTTP/1.1\r\nContent-Length: 9\r\n\r\nxyz", Status::kIncomplete, "/p",
       "xyz", true},
      {"rejected by the sink", "POST /p HTTP/1.1\r\nContent-Length: 11\r\n\r\nxyzxyzxyzxy",
       Status::kMalformed, "/p", "xyzxyzxyzxy", true},
      {"not HTTP", "hello\r\n\r\n", Status::kMalformed, "", "", true},
  };
  for (const auto& test_case : cases) {
    for (std::size_t chunk_size : {std::size_t{1}, std::size_t{7}, test_case.bytes.size()}) {
      CollectingSink sink;
      MessageParser parser(HTTP_REQUEST, sink);
      auto status = Status::kIncomplete;
      for (std::size_t i = 0; i < test_case.bytes.size() && status == Status::kIncomplete; i += chunk_size)
        status = parser.parse(std::string_view(test_case.bytes).substr(i, chunk_size)).status;
      EXPECT_EQ(status, test_case.status) << test_case.description << ", " << chunk_size;
      EXPECT_EQ(sink.target, test_case.target) << test_case.description << ", " << chunk_size;
      if (test_case.status != Status::kMalformed) {
        EXPECT_EQ(sink.body, test_case.body) << test_case.description << ", " << chunk_size;
      }
      if (test_case.status == Status::kComplete) {
        EXPECT_EQ(parser.keep_alive(), test_case.keep_alive) << test_case.description;
        EXPECT_EQ(parser.method(), test_case.bytes.substr(0, test_case.bytes.find(' ')))
            << test_case.description;
      }
    }
  }
}

TEST(MessageParser, DoesNotConsumeBytesAfterCompleteMessage) {
  const std::string first = "POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
  const std::string second = "GET /2 HTTP/1.1\r\n\r\n";
  CollectingSink sink;
  MessageParser parser(HTTP_REQUEST, sink);
  std::string bytes = first + second;
  auto progress = parser.parse(bytes);
  EXPECT_EQ(progress.status, Status::kComplete);
  EXPECT_EQ(sink.target, "/1");
  bytes.erase(0, progress.consumed);
  progress = parser.parse(bytes);
  EXPECT_EQ(progress.status, Status::kComplete);
  EXPECT_EQ(sink.target, "/1/2");
  EXPECT_EQ(sink.body, "ab");
}

TEST(MessageParser, ReturnsStatusCodeOfResponse) {
  CollectingSink sink;
  MessageParser parser(HTTP_RESPONSE, sink);
  for (int status : {200, 409, 503}) {
    const auto bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(parser.parse(bytes).status, Status::kComplete);
    EXPECT_EQ(parser.status_code(), status);
    parser.reset();
  }
}

}  // namespace
}  // namespace beaconsill::net
